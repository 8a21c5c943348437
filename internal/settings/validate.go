package settings

import (
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/go-playground/validator/v10"
	"github.com/pelletier/go-toml/v2/unstable"
)

// newValidator returns a validator whose errors name fields by their TOML keys.
func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		name, _, _ := strings.Cut(f.Tag.Get("toml"), ",")
		return name
	})
	return v
}

// violationMessage returns the message of an error: the value given and the values allowed.
func violationMessage(f validator.FieldError) string {
	if f.Tag() == "required" {
		return "is required"
	}
	return fmt.Sprintf("value %s is not allowed: must be %s", formatValue(f.Value()), formatConstraint(f))
}

func formatValue(value any) string {
	switch v := value.(type) {
	case Duration:
		return strconv.Quote(v.Value().String())
	case string:
		return strconv.Quote(v)
	}
	return fmt.Sprint(value)
}

func formatConstraint(f validator.FieldError) string {
	param := f.Param()
	if f.Type() == reflect.TypeFor[Duration]() {
		if n, err := strconv.ParseInt(param, 10, 64); err == nil {
			param = time.Duration(n).String()
		}
	}
	switch f.Tag() {
	case "gte":
		return "at least " + param
	case "lte":
		return "at most " + param
	case "gt":
		return "more than " + param
	case "max":
		return "at most " + param + " long"
	case "min":
		return "at least " + param + " long"
	case "oneof":
		return "one of " + strings.ReplaceAll(param, " ", ", ")
	case "eq":
		return param
	case "gtefield":
		return "at least the value of " + param
	case "hostname_port":
		return "HOST:PORT"
	case "http_url":
		return "an http:// or https:// URL"
	case "required_with":
		return "set together with " + param
	}
	return f.Tag() + " " + param
}

// keyLine returns the line, counted from 1, on which key, such as "callers.tls.cert" or
// "vms[1].vm", is set in the TOML document. It returns 0 if the key is not set.
func keyLine(data []byte, key string) int {
	parser := unstable.Parser{}
	parser.Reset(data)
	table := ""
	arrays := map[string]int{}
	for parser.NextExpression() {
		expression := parser.Expression()
		name, offset := joinKey(expression.Key())
		line := 1 + strings.Count(string(data[:min(offset, len(data))]), "\n")
		switch expression.Kind {
		case unstable.Table:
			table = name + "."
		case unstable.ArrayTable:
			table = fmt.Sprintf("%s[%d].", name, arrays[name])
			arrays[name]++
		case unstable.KeyValue:
			if table+name == key || strings.HasPrefix(key, table+name+"[") {
				return line
			}
		}
	}
	return 0
}

func joinKey(it unstable.Iterator) (name string, offset int) {
	var parts []string
	for it.Next() {
		if len(parts) == 0 {
			offset = int(it.Node().Raw.Offset)
		}
		parts = append(parts, string(it.Node().Data))
	}
	return strings.Join(parts, "."), offset
}
