package statement

import (
	"crypto/rand"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"bamboowood/internal/structs"
)

// Settings are the parsed values of a statement's assignments. A nil pointer
// means that the key was not set.
type Settings struct {
	Wait         *time.Duration
	Idempotent   *bool
	MilliCPU     *int64
	MemoryMB     *int64
	Accelerators *int64
	Team         string
	Duration     time.Duration
	Gap          time.Duration
	Priority     structs.Priority
	Payload      string
	ID           string
}

// Resources returns base with the amounts that were set.
func (s Settings) Resources(base structs.Resources) structs.Resources {
	if s.MilliCPU != nil {
		base.MilliCPU = *s.MilliCPU
	}
	if s.MemoryMB != nil {
		base.MemoryMB = *s.MemoryMB
	}
	if s.Accelerators != nil {
		base.Accelerators = *s.Accelerators
	}
	return base
}

// Assignment keys of each kind of statement.
var (
	serviceKeys = []string{"wait", "idempotent"}
	quotaKeys   = []string{"cores", "memory", "accelerators"}
	watchKeys   = []string{"team", "cores", "memory", "accelerators", "gap", "priority", "payload", "id"}
	jobKeys     = []string{"team", "cores", "memory", "accelerators", "duration", "priority", "payload", "id"}
)

// Bounds of values.
const (
	maxCores        = 1 << 20
	maxMemoryMB     = 1 << 40
	maxAccelerators = 1 << 20
	maxDuration     = 365 * 24 * time.Hour
	maxNameBytes    = 63
	maxPayloadBytes = 64 << 10
)

// assignments returns the assignments of s, the keys that s allows and those
// that it requires.
func assignments(s *Statement) (given []Assignment, allowed, required []string) {
	switch {
	case s.Set != nil && s.Set.Service != nil:
		return s.Set.Settings, serviceKeys, nil
	case s.Set != nil:
		return s.Set.Settings, quotaKeys, nil
	case s.Create != nil && s.Create.Service != nil:
		return s.Create.Settings, serviceKeys, []string{"wait"}
	case s.Create != nil && s.Create.Team != nil:
		return s.Create.Settings, quotaKeys, nil
	case s.Create != nil:
		return s.Create.Settings, watchKeys, nil
	case s.Submit != nil:
		return s.Submit.Settings, jobKeys, nil
	}
	return nil, nil, nil
}

// ReadSettings parses the assignments of s. It returns an *Error at the first
// invalid assignment.
func ReadSettings(s *Statement) (Settings, error) {
	given, allowed, required := assignments(s)
	var settings Settings
	var seen []string
	for _, a := range given {
		key := strings.ToLower(a.Key.Value)
		if !slices.Contains(allowed, key) {
			e := errorAt(a.Key.Pos, UnknownField, "there is no setting %q here", a.Key.Value)
			e.Expected, e.Suggestion = allowed, Nearest(key, allowed)
			return settings, e
		}
		if slices.Contains(seen, key) {
			return settings, errorAt(a.Key.Pos, InvalidValue, "%s is set twice", key)
		}
		seen = append(seen, key)
		if expected := settings.parseSetting(key, a.Value.Value); expected != "" {
			e := errorAt(a.Value.Pos, InvalidValue, "%s is %s, not %q", key, expected, a.Value.Value)
			e.Expected = []string{expected}
			return settings, e
		}
	}
	for _, key := range required {
		if !slices.Contains(seen, key) {
			e := errorAt(newObjectName(s).Pos, Syntax, "%s of this service is missing", key)
			e.Expected = []string{key + " ="}
			return settings, e
		}
	}
	return settings, nil
}

func checkSettings(s *Statement) error {
	if name := newObjectName(s); name != nil && !ValidName(name.Value) {
		e := errorAt(name.Pos, InvalidValue, "a name has 1 to %d letters, digits, '-', '_' or '.'", maxNameBytes)
		e.Expected = []string{"a name"}
		return e
	}
	_, err := ReadSettings(s)
	return err
}

// newObjectName returns the name of the object that s creates, or nil.
func newObjectName(s *Statement) *Name {
	switch {
	case s.Create != nil && s.Create.Service != nil:
		return s.Create.Service
	case s.Create != nil && s.Create.Team != nil:
		return s.Create.Team
	case s.Create != nil:
		return s.Create.Watch
	case s.Submit != nil:
		return &s.Submit.Job
	}
	return nil
}

// ValidName reports whether name is valid as an object's name in the key of a row.
func ValidName(name string) bool {
	return name != "" && len(name) <= maxNameBytes && validKey(name)
}

// MaxIDBytes is the maximum length of the ids of commands and tasks.
const MaxIDBytes = 128

// idLength gives ids 65 random bits. They are short enough to type; the table
// rejects an id that already exists.
const idLength = 13

// NewID returns a random id for a command or a task.
func NewID() string { return strings.ToLower(rand.Text()[:idLength]) }

// ValidID reports whether id is valid as the id of a command or a task.
func ValidID(id string) bool { return id != "" && len(id) <= MaxIDBytes && validKey(id) }

// validKey reports whether text has only characters that are allowed in the keys of rows.
func validKey(text string) bool {
	for _, r := range text {
		letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9'
		if !letter && !strings.ContainsRune("-_.", r) {
			return false
		}
	}
	return true
}

// parseSetting parses the value of one key. It returns "", or a description of the
// expected value if text is invalid.
func (s *Settings) parseSetting(key, text string) (expected string) {
	switch key {
	case "wait":
		return s.parseWait(text)
	case "idempotent":
		b, err := strconv.ParseBool(strings.ToLower(text))
		s.Idempotent = &b
		return expectedUnless(err == nil, "true or false")
	case "cores":
		cores, err := strconv.ParseFloat(text, 64)
		ok := err == nil && cores >= 0 && cores <= maxCores
		if ok {
			s.MilliCPU = ptr(int64(math.Round(cores * 1000)))
		}
		return expectedUnless(ok, "a number of cores, such as 4 or 0.5")
	case "memory":
		mb, ok := parseMemory(text)
		s.MemoryMB = &mb
		return expectedUnless(ok, "an amount of memory, such as 16GB or 512MB")
	case "accelerators":
		n, err := strconv.ParseInt(text, 10, 64)
		s.Accelerators = &n
		return expectedUnless(err == nil && n >= 0 && n <= maxAccelerators, "a whole number")
	case "duration":
		return parseDuration(&s.Duration, text)
	case "gap":
		return parseDuration(&s.Gap, text)
	case "priority":
		return s.parsePriority(text)
	case "payload":
		s.Payload = text
		return expectedUnless(len(text) <= maxPayloadBytes, "at most 65536 bytes")
	case "team":
		s.Team = text
		return expectedUnless(ValidName(text), "the name of a team")
	}
	s.ID = text
	return expectedUnless(ValidID(text), "1 to 128 letters, digits, '-', '_' or '.'")
}

func (s *Settings) parseWait(text string) string {
	var d time.Duration
	if expected := parseDuration(&d, text); expected != "" {
		return expected
	}
	s.Wait = &d
	return expectedUnless(d >= time.Millisecond && d <= 10*time.Minute, "from 1ms to 10m")
}

func (s *Settings) parsePriority(text string) string {
	switch strings.ToLower(text) {
	case "urgent":
		s.Priority = structs.PriorityUrgent
	case "normal":
		s.Priority = structs.PriorityNormal
	default:
		return "normal or urgent"
	}
	return ""
}

func parseDuration(d *time.Duration, text string) string {
	v, err := time.ParseDuration(text)
	*d = v
	return expectedUnless(err == nil && v >= 0 && v <= maxDuration, "a duration, such as 300ms, 30s or 2h")
}

// parseMemory parses an amount of memory in MB (2^20 bytes), with or without a unit.
func parseMemory(text string) (mb int64, ok bool) {
	lower := strings.ToLower(text)
	factor := int64(1)
	for _, unit := range []struct {
		suffix string
		mb     int64
	}{{"mb", 1}, {"gb", 1 << 10}, {"tb", 1 << 20}} {
		if rest, found := strings.CutSuffix(lower, unit.suffix); found {
			lower, factor = rest, unit.mb
		}
	}
	n, err := strconv.ParseFloat(lower, 64)
	if err != nil || !(n >= 0) || n*float64(factor) > maxMemoryMB {
		return 0, false
	}
	return int64(math.Round(n * float64(factor))), true
}

func expectedUnless(ok bool, expected string) string {
	if ok {
		return ""
	}
	return expected
}

func ptr[T any](v T) *T { return &v }
