package statement

import (
	"cmp"
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Match reports whether a row of the table meets all conditions. Parse must have
// validated the conditions.
func Match(table string, where []Condition, row any) bool {
	for _, c := range where {
		field, _ := findField(Tables[table], c.Field.Value)
		if !satisfies(field.Kind, c.Op, reflect.ValueOf(row).Field(field.Index).Interface(), c.Value.Value) {
			return false
		}
	}
	return true
}

func satisfies(kind Kind, op string, have any, want string) bool {
	if op == "~" {
		return strings.Contains(strings.ToLower(fmt.Sprint(have)), strings.ToLower(want))
	}
	value, err := parseValue(kind, want)
	if err != nil {
		return false
	}
	order := compare(have, value)
	switch op {
	case "=":
		return order == 0
	case "!=":
		return order != 0
	case "<":
		return order < 0
	case "<=":
		return order <= 0
	case ">":
		return order > 0
	}
	return order >= 0
}

// parseValue parses the value of a condition into the type that compare expects for kind.
func parseValue(kind Kind, text string) (any, error) {
	switch kind {
	case Number:
		return strconv.ParseFloat(text, 64)
	case Duration:
		return parseMillis(text)
	case Bool:
		return strconv.ParseBool(strings.ToLower(text))
	case Time:
		return parseTime(text)
	}
	return text, nil
}

func parseMillis(text string) (float64, error) {
	if n, err := strconv.ParseFloat(text, 64); err == nil {
		return n, nil
	}
	d, err := time.ParseDuration(text)
	return float64(d) / float64(time.Millisecond), err
}

// parseTime parses a date or an RFC 3339 timestamp.
func parseTime(text string) (time.Time, error) {
	if t, err := time.Parse(time.DateOnly, text); err == nil {
		return t, nil
	}
	return time.Parse(time.RFC3339, text)
}

func compare(a, b any) int {
	switch x := a.(type) {
	case string:
		y, _ := b.(string)
		return cmp.Compare(strings.ToLower(x), strings.ToLower(y))
	case bool:
		y, _ := b.(bool)
		return cmp.Compare(boolRank(x), boolRank(y))
	case time.Time:
		y, _ := b.(time.Time)
		return x.Compare(y)
	}
	return cmp.Compare(toFloat(a), toFloat(b))
}

func boolRank(b bool) int {
	if b {
		return 1
	}
	return 0
}

func toFloat(v any) float64 {
	switch x := v.(type) {
	case int64:
		return float64(x)
	case float64:
		return x
	}
	return 0
}

// Select filters, sorts and limits rows as specified by a show statement, and
// returns them as a Result. It modifies rows.
func Select[R any](show *Show, rows []R) (Result, error) {
	rows = slices.DeleteFunc(rows, func(r R) bool { return !Match(show.Table, show.Where, r) })
	if show.Order != nil {
		field, _ := findField(Tables[show.Table], show.Order.Field.Value)
		slices.SortStableFunc(rows, func(a, b R) int {
			order := compare(reflect.ValueOf(a).Field(field.Index).Interface(), reflect.ValueOf(b).Field(field.Index).Interface())
			if show.Order.Desc {
				return -order
			}
			return order
		})
	}
	if show.Limit != nil && len(rows) > show.Limit.Rows {
		rows = rows[:show.Limit.Rows]
	}
	return ResultOf(rows)
}

// ResultOf returns rows of one type as a Result.
func ResultOf[R any](rows []R) (Result, error) {
	var zero R
	result := Result{Columns: columnsOf(FieldsOf(zero)), Rows: make([]json.RawMessage, 0, len(rows))}
	for _, row := range rows {
		data, err := json.Marshal(row)
		if err != nil {
			return Result{}, fmt.Errorf("encode row: %w", err)
		}
		result.Rows = append(result.Rows, data)
	}
	return result, nil
}
