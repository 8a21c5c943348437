package settings

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/go-playground/validator/v10"
	"github.com/pelletier/go-toml/v2"
)

// Error is one error in a settings file. Line is 0 if the key is not set in the file.
type Error struct {
	File    string
	Line    int
	Key     string
	Message string
}

// Error implements the error interface.
func (e *Error) Error() string {
	position := e.File
	if e.Line > 0 {
		position = fmt.Sprintf("%s:%d", e.File, e.Line)
	}
	if e.Key == "" {
		return fmt.Sprintf("%s: %s", position, e.Message)
	}
	return fmt.Sprintf("%s: %s: %s", position, e.Key, e.Message)
}

// LoadEntry reads the settings file of an entry.
func LoadEntry(file string) (Entry, error) { return load(file, DefaultEntry()) }

// LoadAgent reads the settings file of an agent.
func LoadAgent(file string) (Agent, error) { return load(file, DefaultAgent()) }

// LoadStandin reads the settings file of a stand-in of the platform.
func LoadStandin(file string) (Standin, error) { return load(file, DefaultStandin()) }

// Check reads and validates a settings file of any role and returns the role.
func Check(file string) (Role, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return "", fmt.Errorf("read settings: %w", err)
	}
	var header struct {
		Role Role `toml:"role"`
	}
	if err := toml.Unmarshal(data, &header); err != nil {
		return "", toErrors(file, data, err)
	}
	switch header.Role {
	case RoleEntry:
		_, err = LoadEntry(file)
	case RoleAgent:
		_, err = LoadAgent(file)
	case RoleStandin:
		_, err = LoadStandin(file)
	default:
		return "", &Error{
			File: file, Line: keyLine(data, "role"), Key: "role",
			Message: fmt.Sprintf("value %q is not allowed: must be one of entry, agent, standin", header.Role),
		}
	}
	return header.Role, err
}

func load[T any](file string, value T) (T, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return value, fmt.Errorf("read settings: %w", err)
	}
	decoder := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields()
	if err := decoder.Decode(&value); err != nil {
		return value, toErrors(file, data, err)
	}
	if err := newValidator().Struct(value); err != nil {
		return value, toErrors(file, data, err)
	}
	return value, nil
}

// toErrors converts errors of the TOML decoder and the validator to *Error values, joined
// if there are several.
func toErrors(file string, data []byte, err error) error {
	var unknownKeys *toml.StrictMissingError
	var malformed *toml.DecodeError
	var invalid validator.ValidationErrors
	switch {
	case errors.As(err, &unknownKeys):
		var all []error
		for _, e := range unknownKeys.Errors {
			line, _ := e.Position()
			all = append(all, &Error{File: file, Line: line, Key: strings.Join(e.Key(), "."), Message: "unknown key"})
		}
		return errors.Join(all...)
	case errors.As(err, &malformed):
		line, _ := malformed.Position()
		return &Error{File: file, Line: line, Key: strings.Join(malformed.Key(), "."), Message: malformed.Error()}
	case errors.As(err, &invalid):
		var all []error
		for _, f := range invalid {
			_, key, _ := strings.Cut(f.Namespace(), ".")
			all = append(all, &Error{File: file, Line: keyLine(data, key), Key: key, Message: violationMessage(f)})
		}
		return errors.Join(all...)
	}
	return &Error{File: file, Message: err.Error()}
}

// ReadSecret reads the first line of a secret file. A relative path is resolved against
// the directory of the settings file.
func ReadSecret(settingsFile, secretFile string) (string, error) {
	path := ResolvePath(settingsFile, secretFile)
	data, err := os.ReadFile(path)
	if err != nil {
		return "", fmt.Errorf("read secret: %w", err)
	}
	line, _, _ := strings.Cut(string(data), "\n")
	line = strings.TrimSpace(line)
	if line == "" {
		return "", fmt.Errorf("secret file %s is empty", path)
	}
	return line, nil
}

// ResolvePath resolves a relative path against the directory of the settings file. It
// returns absolute and empty paths unchanged.
func ResolvePath(settingsFile, path string) string {
	if path == "" || filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(filepath.Dir(settingsFile), path)
}
