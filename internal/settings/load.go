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

// Error is one fault of a settings file. Line is 0 when the key is missing.
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

// LoadStandin reads the settings file of a stand-in.
func LoadStandin(file string) (Standin, error) { return load(file, DefaultStandin()) }

// Check reads any settings file and returns its role.
func Check(file string) (Role, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return "", fmt.Errorf("read settings: %w", err)
	}
	var head struct {
		Role Role `toml:"role"`
	}
	if err := toml.Unmarshal(data, &head); err != nil {
		return "", explain(file, data, err)
	}
	switch head.Role {
	case RoleEntry:
		_, err = LoadEntry(file)
	case RoleAgent:
		_, err = LoadAgent(file)
	case RoleStandin:
		_, err = LoadStandin(file)
	default:
		return "", &Error{
			File: file, Line: keyLine(data, "role"), Key: "role",
			Message: fmt.Sprintf("value %q is not allowed: must be one of entry, agent, standin", head.Role),
		}
	}
	return head.Role, err
}

func load[T any](file string, value T) (T, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return value, fmt.Errorf("read settings: %w", err)
	}
	decoder := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields()
	if err := decoder.Decode(&value); err != nil {
		return value, explain(file, data, err)
	}
	if err := newValidator().Struct(value); err != nil {
		return value, explain(file, data, err)
	}
	return value, nil
}

// explain turns the libraries' errors into joined *Error values.
func explain(file string, data []byte, err error) error {
	var missing *toml.StrictMissingError
	var decode *toml.DecodeError
	var invalid validator.ValidationErrors
	switch {
	case errors.As(err, &missing):
		var all []error
		for _, e := range missing.Errors {
			line, _ := e.Position()
			all = append(all, &Error{File: file, Line: line, Key: strings.Join(e.Key(), "."), Message: "unknown key"})
		}
		return errors.Join(all...)
	case errors.As(err, &decode):
		line, _ := decode.Position()
		return &Error{File: file, Line: line, Key: strings.Join(decode.Key(), "."), Message: decode.Error()}
	case errors.As(err, &invalid):
		var all []error
		for _, f := range invalid {
			_, key, _ := strings.Cut(f.Namespace(), ".")
			all = append(all, &Error{File: file, Line: keyLine(data, key), Key: key, Message: describe(f)})
		}
		return errors.Join(all...)
	}
	return &Error{File: file, Message: err.Error()}
}

// ReadSecret reads the first line of a secret file; a relative path is taken from
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

// ResolvePath returns path, taken from the directory of the settings file when it
// is relative.
func ResolvePath(settingsFile, path string) string {
	if path == "" || filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(filepath.Dir(settingsFile), path)
}
