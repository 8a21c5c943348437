package command_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"bamboowood/internal/command"
	"bamboowood/internal/control"
	"bamboowood/internal/platform"
	"bamboowood/internal/standin"
	"bamboowood/internal/state"
	"bamboowood/internal/structs"
	"bamboowood/internal/verdict"
)

// chaos is a table whose commits fail before or after they take effect, and
// between whose calls the other operator acts, as rapid draws.
type chaos struct {
	platform.Table
	rt        *rapid.T
	interlude func()
}

var errLost = errors.New("answer lost")

func (c *chaos) Commit(ctx context.Context, tx platform.Tx) (int64, error) {
	if act := c.interlude; act != nil && rapid.Bool().Draw(c.rt, "interlude") {
		c.interlude = nil
		act()
	}
	fate := rapid.SampledFrom([]string{"ok", "ok", "ok", "cut", "lost", "unavailable"}).Draw(c.rt, "fate")
	switch fate {
	case "cut":
		return 0, errLost
	case "unavailable":
		return 0, platform.ErrUnavailable
	}
	version, err := c.Table.Commit(ctx, tx)
	if fate == "lost" {
		return 0, errLost
	}
	return version, err
}

// expected is the configuration that the accepted changes add up to.
type expected struct {
	wait     string
	out      map[string]bool
	draining map[string]bool
}

func (e *expected) apply(t tb, table platform.Table, text string) {
	words := strings.Fields(text)
	switch strings.Join(words[:2], " ") {
	case "set service":
		e.wait = words[5]
	case "drain zone":
		e.out[words[2]] = true
	case "refill zone":
		delete(e.out, words[2])
	case "drain worker":
		e.draining[words[2]] = true
	case "refill worker":
		delete(e.draining, words[2])
	default:
		var version int64
		_, err := fmt.Sscan(words[1], &version)
		must.NoError(t, err)
		e.apply(t, table, get[structs.Change](t, table, state.ChangeKey(version)).Undo)
	}
}

// Two operators on two entries, with lost, cut and refused commits and commands
// inside each other: the control version rises by one with each command, each
// id takes effect at most once, "did not happen" is true, the rows are what the
// changes add up to, and no node that reads now and then goes back.
//
// Without the check of the command row: an id takes effect twice. Without the
// check of the control row: changes overwrite each other.
func TestModel_TwoOperators(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		table := newTable(rt)
		m := &model{rt: rt, table: table, texts: map[string]string{}, refused: map[string]bool{}}
		nodes := []*control.Holder{control.NewHolder(), control.NewHolder()}
		steps := rapid.IntRange(1, 25).Draw(rt, "steps")
		for range steps {
			m.act(true)
			node := nodes[rapid.IntRange(0, 1).Draw(rt, "node")]
			before := node.Version()
			config, err := state.LoadConfig(rt.Context(), table)
			must.NoError(rt, err)
			if rapid.Bool().Draw(rt, "from its peer") {
				config = nodes[0].Load()
			}
			node.Merge(config)
			must.GreaterEq(rt, before, node.Version())
		}
		m.checkHistory()
	})
}

type model struct {
	rt    *rapid.T
	table *standin.Table
	texts map[string]string
	// refused are the ids whose repeat was told that nothing happens.
	refused map[string]bool
	// acting are the ids of the commands that are being carried out.
	acting []string
	// last is the id of the last command.
	last string
}

// act sends one command, with another inside it if nested.
func (m *model) act(nested bool) {
	rt := m.rt
	id := fmt.Sprintf("c-%d", rapid.IntRange(0, 11).Draw(rt, "id"))
	text, repeated := m.texts[id]
	if !repeated {
		text = rapid.SampledFrom([]string{
			"set service glint-check wait = 300ms", "set service glint-check wait = 400ms",
			"drain zone norte force", "refill zone norte", "drain zone sur",
			"drain worker sur-1 force", "refill worker sur-1", "undo 2", "undo 3", "undo 5",
		}).Draw(rt, "text")
		m.texts[id] = text
	}
	o := order(rt, id, "ana", text)
	o.Repeat = repeated
	m.last = id
	twice := slices.Contains(m.acting, id)
	m.acting = append(m.acting, id)
	defer func() { m.acting = m.acting[:len(m.acting)-1] }()
	table := &chaos{Table: m.table, rt: rt}
	if nested {
		table.interlude = func() { m.act(false); twice = twice || m.last == id }
	}
	result, err := command.New(table, clock).Run(rt.Context(), o)
	has := rowExists(rt, m.table, state.CommandKey(id)) && get[structs.Change](rt, m.table, state.CommandKey(id)).Version > 0
	switch {
	case err == nil:
		must.True(rt, has)
		must.Eq(rt, id, get[structs.Change](rt, m.table, state.ChangeKey(result.Version)).ID)
	case outcome(rt, err) == verdict.NotRun && repeated:
		m.refused[id] = true
		must.False(rt, has, must.Sprint("refused, but it has taken effect"))
	case outcome(rt, err) == verdict.NotRun && !twice:
		must.False(rt, has, must.Sprint("refused, but it has taken effect"))
	}
}

func (m *model) checkHistory() {
	rt, table := m.rt, m.table
	changes, err := state.List[structs.Change](rt.Context(), table, state.ChangePrefix)
	must.NoError(rt, err)
	commands, err := state.List[structs.Change](rt.Context(), table, state.CommandPrefix)
	must.NoError(rt, err)
	commands = slices.DeleteFunc(commands, func(c state.Row[structs.Change]) bool { return c.Value.Version == 0 })
	must.Eq(rt, len(commands), len(changes))
	e := &expected{wait: "200ms", out: map[string]bool{}, draining: map[string]bool{}}
	seen := map[string]bool{}
	for i, change := range changes {
		must.Eq(rt, int64(i)+2, change.Value.Version)
		must.False(rt, seen[change.Value.ID], must.Sprint("an id has taken effect twice"))
		seen[change.Value.ID] = true
		must.False(rt, m.refused[change.Value.ID], must.Sprint("refused on a repeat, and it took effect afterwards"))
		e.apply(rt, table, change.Value.Statement)
	}
	config, err := state.LoadConfig(rt.Context(), table)
	must.NoError(rt, err)
	must.Eq(rt, int64(len(changes))+1, config.Version)
	must.Eq(rt, e.wait, fmt.Sprintf("%dms", config.Services["glint-check"].WaitMS))
	for name, zone := range config.Zones {
		must.Eq(rt, e.out[name], zone.State == structs.ZoneDrained)
	}
	for _, vm := range []string{"sur-1", "sur-2", "norte-1"} {
		must.Eq(rt, e.draining[vm], config.DrainingVMs[vm])
	}
}
