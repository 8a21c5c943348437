package statement_test

import (
	"errors"
	"slices"
	"strings"
	"testing"
	"time"
	"unicode/utf8"

	"github.com/shoenig/test/must"

	"bamboowood/internal/statement"
	"bamboowood/internal/structs"
	"bamboowood/internal/verdict"
)

// forms has one valid statement of each form.
var forms = []string{
	"show upstreams", "SHOW Tasks", "show jobs where state = pending and age_ms > 5m order by age_ms desc limit 10;",
	`show changes where author = "ana lópez" and statement ~ drain order by version asc`, "show capacity by rack",
	"show watches where silent = true", "show zones where changed >= 2026-03-01", "show capacity",
	"explain task t-1", "explain job j", "explain watch w", "explain worker sur-1", "explain zone norte",
	"drain zone norte", "drain zone norte force", "drain worker sur-1", "refill zone norte", "refill worker sur-1",
	"dry run drain zone norte", "stop job j-1", "stop watch w-1", "cancel job j-1",
	"cancel jobs where team = guild and cores > 2.5 confirm", "set service glint-check wait = 300ms idempotent = true",
	"set team guild quota cores = 0.5 memory = 16GB accelerators = 1", "create service s wait = 1s",
	"create team t quota cores = 4", "create watch w team = t cores = 1 memory = 512MB gap = 30s priority = urgent",
	`submit job j team = t cores = 1 memory = 1024 duration = 2h payload = "a=\"1\"" id = x-1`, "submit job j", "undo 12",
}

func TestParse_Forms(t *testing.T) {
	for _, text := range forms {
		s, err := statement.Parse(text)
		must.NoError(t, err, must.Sprint(text))
		query := strings.HasPrefix(strings.ToLower(text), "show") || strings.HasPrefix(text, "explain")
		must.Eq(t, !query, s.IsCommand())
		must.Eq(t, strings.HasPrefix(text, "dry run"), s.DryRun)
	}
}

func TestParse_Errors(t *testing.T) {
	cases := []struct {
		text       string
		column     int
		reason     statement.Reason
		expected   string // prefix of the comma-separated list
		suggestion string
	}{
		{"", 1, statement.Syntax, "show,explain,drain", ""},
		{"shwo tasks", 1, statement.Syntax, "show,explain,drain", "show"},
		{"show taskss", 6, statement.Syntax, "tasks,jobs", "tasks"},
		{"show tasks were state = x", 12, statement.Syntax, "where,order by,limit", "where"},
		{"show tasks where", 17, statement.Syntax, "id,kind,name", ""},
		{"show tasks where stat = x", 18, statement.UnknownField, "id,kind,name", "state"},
		{"show tasks where state running", 24, statement.Syntax, "=,!=,<", ""},
		{"show tasks where state = ", 26, statement.Syntax, "<value>", ""},
		{"show tasks where age_ms > soon", 27, statement.InvalidValue, "duration", ""},
		{"show tasks where cores > NaN", 26, statement.InvalidValue, "number", ""},
		{"show watches where silent = maybe", 29, statement.InvalidValue, "true or false", ""},
		{"show zones where changed > yesterday", 28, statement.InvalidValue, "time", ""},
		{"show tasks limit 0", 18, statement.InvalidValue, "", ""},
		{"show tasks order by aeg_ms", 21, statement.UnknownField, "id,kind", "age_ms"},
		{"drain zonne norte", 7, statement.Syntax, "zone,worker", "zone"},
		{"drain zone", 11, statement.Syntax, "<zone>", ""},
		{"drain zone norte forse", 18, statement.Syntax, "force", "force"},
		{"refill zone norte force", 19, statement.Syntax, "", ""},
		{"set service a", 14, statement.Syntax, "wait,idempotent", ""},
		{"set service a wiat = 300ms", 15, statement.UnknownField, "wait,idempotent", "wait"},
		{"set service a wait = 300", 22, statement.InvalidValue, "a duration, such as 300ms, 30s or 2h", ""},
		{"set service a wait = 11m", 22, statement.InvalidValue, "from 1ms to 10m", ""},
		{"set service a wait = 1s wait = 2s", 25, statement.InvalidValue, "", ""},
		{"set team t cores = 4", 12, statement.Syntax, "quota", ""},
		{"set team t quota memory = -1", 27, statement.Syntax, "<value>", ""},
		{"set team t quota memory = NaNGB", 27, statement.InvalidValue, "an amount of memory, such as 16GB or 512MB", ""},
		{"create service a idempotent = true", 16, statement.Syntax, "wait =", ""},
		{"create team a/b quota cores = 1", 13, statement.InvalidValue, "a name", ""},
		{"submit job j id = a/b", 19, statement.InvalidValue, "1 to 128 letters, digits, '-', '_' or '.'", ""},
		{"cancel jobs", 12, statement.Syntax, "where", ""},
		{`show tasks "open`, 12, statement.Syntax, "where,order by,limit", ""},
		{"show tasks @", 12, statement.Syntax, "where,order by,limit", ""},
		{"dry run show tasks", 1, statement.Syntax, "", ""},
	}
	for _, c := range cases {
		t.Run(c.text, func(t *testing.T) {
			_, err := statement.Parse(c.text)
			var e *statement.Error
			must.True(t, errors.As(err, &e))
			must.Eq(t, verdict.NotRun, e.Outcome)
			must.Eq(t, c.reason, e.Reason)
			must.Eq(t, statement.Position{Line: 1, Column: c.column}, *e.Position)
			must.StrHasPrefix(t, c.expected, strings.Join(e.Expected, ","))
			must.Eq(t, c.suggestion, e.Suggestion)
		})
	}
}

func TestParse_TooLong(t *testing.T) {
	_, err := statement.Parse("show zones" + strings.Repeat(" ", statement.MaxBytes-10))
	must.NoError(t, err)
	_, err = statement.Parse("show zones" + strings.Repeat(" ", statement.MaxBytes-9))
	must.ErrorContains(t, err, "longer than 16384 bytes")
	_, err = statement.Parse("show tasks where id = a" + strings.Repeat(" and id = a", 1400) + " forse")
	var e *statement.Error
	must.True(t, errors.As(err, &e))
	must.SliceEmpty(t, e.Expected, must.Sprint("long statements are not probed"))
}

func TestReadSettings(t *testing.T) {
	s, err := statement.Parse(`create watch w team = t cores = 0.5 memory = 1.5GB accelerators = 2 gap = 30s priority = urgent payload = "x y"`)
	must.NoError(t, err)
	settings, err := statement.ReadSettings(s)
	must.NoError(t, err)
	must.Eq(t, structs.Resources{MilliCPU: 500, MemoryMB: 1536, Accelerators: 2}, settings.Resources(structs.Resources{}))
	must.Eq(t, 30*time.Second, settings.Gap)
	must.Eq(t, structs.PriorityUrgent, settings.Priority)
	must.Eq(t, "x y", settings.Payload)
}

func TestSelect(t *testing.T) {
	rows := []statement.TaskRow{
		{ID: "a", State: "running", AgeMS: 400_000, Cores: 2},
		{ID: "b", State: "pending", AgeMS: 100, Cores: 8},
		{ID: "c", State: "running", AgeMS: 900_000, Cores: 0.5},
	}
	cases := []struct{ text, want string }{
		{"show tasks", "a b c"},
		{"show tasks where state = RUNNING", "a c"},
		{"show tasks where state != running", "b"},
		{"show tasks where state ~ RUN and cores < 1", "c"},
		{"show tasks where age_ms >= 400s", "a c"},
		{"show tasks where age_ms > 400s", "c"},
		{"show tasks where cores <= 2", "a c"},
		{"show tasks order by cores", "c a b"},
		{"show tasks order by age_ms desc limit 2", "c a"},
	}
	for _, c := range cases {
		s, err := statement.Parse(c.text)
		must.NoError(t, err)
		result, err := statement.Select(s.Show, slices.Clone(rows))
		must.NoError(t, err)
		var ids []string
		for _, raw := range result.Rows {
			ids = append(ids, strings.Split(string(raw), `"`)[3])
		}
		must.Eq(t, c.want, strings.Join(ids, " "), must.Sprint(c.text))
	}
}

// Guards against panics on arbitrary text, errors without a position inside the
// text, and statements whose canonical text does not parse to itself.
func FuzzParse(f *testing.F) {
	for _, text := range forms {
		f.Add(text)
		f.Add(text[:len(text)/2])
	}
	f.Add("show tasks where \"\x00\xff")
	f.Add("set team t quota memory = 1e999")
	f.Fuzz(func(t *testing.T, text string) {
		s, err := statement.Parse(text)
		if err == nil {
			again, err := statement.Parse(s.Text)
			must.NoError(t, err)
			must.Eq(t, s.Text, again.Text)
			return
		}
		var e *statement.Error
		must.True(t, errors.As(err, &e))
		must.Eq(t, verdict.NotRun, e.Outcome)
		must.NotNil(t, e.Position)
		lines := strings.Count(text, "\n") + 1
		must.Between(t, 1, e.Position.Line, lines)
		must.Between(t, 1, e.Position.Column, utf8.RuneCountInString(text)+1)
		must.NotEq(t, "", e.Detail)
	})
}
