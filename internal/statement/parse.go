package statement

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"

	"bamboowood/internal/verdict"
)

// maxRows is the maximum of a limit clause.
const maxRows = 1_000_000

// Parse parses and validates one statement. Every error is an *Error with a Position.
func Parse(text string) (*Statement, error) {
	if len(text) > MaxBytes {
		e := Refuse(Syntax, "the statement is longer than %d bytes", MaxBytes)
		e.Position = &Position{Line: 1, Column: 1}
		return nil, e
	}
	s, err := parser.ParseString("", text)
	if err != nil {
		return nil, syntaxError(text, err)
	}
	s.Text = strings.TrimRight(strings.TrimSpace(text), "; \t\r\n")
	if err := check(s); err != nil {
		return nil, err
	}
	return s, nil
}

// errorAt returns an error at the position of a token.
func errorAt(pos lexer.Position, reason Reason, format string, args ...any) *Error {
	return &Error{
		Outcome: verdict.NotRun, Reason: reason, Detail: fmt.Sprintf(format, args...),
		Position: &Position{Line: max(pos.Line, 1), Column: max(pos.Column, 1)},
	}
}

func syntaxError(text string, err error) *Error {
	pos := lexer.Position{Line: 1, Column: 1}
	var pe participle.Error
	if errors.As(err, &pe) {
		pos = pe.Position()
	}
	offset := min(max(pos.Offset, 0), len(text))
	word := firstWord(text[offset:])
	e := errorAt(pos, Syntax, "unexpected %q", word)
	if word == "" {
		e.Detail = "the statement ends too early"
	}
	e.Expected = ExpectedAfter(text[:offset])
	e.Suggestion = Nearest(word, e.Expected)
	return e
}

// firstWord returns the first word of text, or "".
func firstWord(text string) string {
	word, _, _ := strings.Cut(strings.TrimSpace(text), " ")
	return word
}

// check validates what the grammar does not cover: fields, values and keys.
func check(s *Statement) error {
	switch {
	case s.DryRun && !s.IsCommand():
		return errorAt(lexer.Position{}, Syntax, "dry run goes before a command; a query changes nothing")
	case s.Show != nil:
		return checkShow(s.Show)
	case s.Cancel != nil:
		return checkConditions("jobs", s.Cancel.Where)
	}
	return checkSettings(s)
}

func checkShow(show *Show) error {
	if show.Capacity {
		return nil
	}
	show.Table = strings.ToLower(show.Table)
	if err := checkConditions(show.Table, show.Where); err != nil {
		return err
	}
	if show.Order != nil {
		if _, err := resolveField(show.Table, show.Order.Field); err != nil {
			return err
		}
	}
	if show.Limit != nil {
		n, err := strconv.Atoi(show.Limit.Value)
		if err != nil || n < 1 || n > maxRows {
			return errorAt(show.Limit.Pos, InvalidValue, "limit is a number from 1 to %d", maxRows)
		}
		show.Limit.Rows = n
	}
	return nil
}

func checkConditions(table string, where []Condition) error {
	for _, c := range where {
		field, err := resolveField(table, c.Field)
		if err != nil {
			return err
		}
		if c.Op == "~" {
			continue
		}
		v, perr := parseValue(field.Kind, c.Value.Value)
		if f, ok := v.(float64); perr != nil || ok && (math.IsNaN(f) || math.IsInf(f, 0)) {
			e := errorAt(c.Value.Pos, InvalidValue, "%s is compared with a %s, not with %q", field.Name, field.Kind, c.Value.Value)
			e.Expected = []string{string(field.Kind)}
			return e
		}
	}
	return nil
}

func resolveField(table string, name Name) (Field, error) {
	field, ok := findField(Tables[table], name.Value)
	if ok {
		return field, nil
	}
	e := errorAt(name.Pos, UnknownField, "%s have no field %q", table, name.Value)
	e.Expected = fieldNames(table)
	e.Suggestion = Nearest(name.Value, e.Expected)
	return Field{}, e
}

func findField(fields []Field, name string) (Field, bool) {
	i := slices.IndexFunc(fields, func(f Field) bool { return strings.EqualFold(f.Name, name) })
	if i < 0 {
		return Field{}, false
	}
	return fields[i], true
}

func fieldNames(table string) []string {
	var names []string
	for _, f := range Tables[table] {
		names = append(names, f.Name)
	}
	return names
}
