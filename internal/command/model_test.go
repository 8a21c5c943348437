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

// faultyTable is a table whose commits fail before or after they take effect, and which
// runs a concurrent command before a commit, as rapid draws.
type faultyTable struct {
	platform.Table
	rt         *rapid.T
	concurrent func()
}

var errResponseLost = errors.New("response lost")

func (t *faultyTable) Commit(ctx context.Context, tx platform.Tx) (int64, error) {
	if concurrent := t.concurrent; concurrent != nil && rapid.Bool().Draw(t.rt, "concurrent command") {
		t.concurrent = nil
		concurrent()
	}
	fault := rapid.SampledFrom([]string{"ok", "ok", "ok", "cut", "lost", "unavailable"}).Draw(t.rt, "fault")
	switch fault {
	case "cut":
		return 0, errResponseLost
	case "unavailable":
		return 0, platform.ErrUnavailable
	}
	version, err := t.Table.Commit(ctx, tx)
	if fault == "lost" {
		return 0, errResponseLost
	}
	return version, err
}

// expectedConfig is the configuration that results from the accepted changes.
type expectedConfig struct {
	wait         string
	drainedZones map[string]bool
	drainingVMs  map[string]bool
}

func (e *expectedConfig) apply(t tb, table platform.Table, text string) {
	words := strings.Fields(text)
	switch strings.Join(words[:2], " ") {
	case "set service":
		e.wait = words[5]
	case "drain zone":
		e.drainedZones[words[2]] = true
	case "refill zone":
		delete(e.drainedZones, words[2])
	case "drain worker":
		e.drainingVMs[words[2]] = true
	case "refill worker":
		delete(e.drainingVMs, words[2])
	default:
		var version int64
		_, err := fmt.Sscan(words[1], &version)
		must.NoError(t, err)
		e.apply(t, table, get[structs.Change](t, table, state.ChangeKey(version)).Undo)
	}
}

// Guards against lost or duplicated commands: two operators send commands to two entries
// at once, and commits or their responses are lost or refused. The control version rises
// by one with each command, each id takes effect at most once, a reported refusal is
// true, the rows are the result of the accepted changes, and the control version seen by
// repeated calls of LoadConfig never decreases.
//
// Without the check of the command row, an id takes effect twice. Without the check of
// the control row, changes overwrite each other.
func TestModel_TwoOperators(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		table := newTable(rt)
		m := &model{rt: rt, table: table, texts: map[string]string{}, refused: map[string]bool{}}
		nodes := []*control.Holder{control.NewHolder(), control.NewHolder()}
		steps := rapid.IntRange(1, 25).Draw(rt, "steps")
		for range steps {
			m.runCommand(true)
			node := nodes[rapid.IntRange(0, 1).Draw(rt, "node")]
			before := node.Version()
			config, err := state.LoadConfig(rt.Context(), table)
			must.NoError(rt, err)
			if rapid.Bool().Draw(rt, "merge from peer") {
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
	// refused is the set of ids whose repeat was answered with a refusal.
	refused map[string]bool
	// running has the ids of the commands in execution.
	running []string
	// lastID is the id of the last command.
	lastID string
}

// runCommand executes one command. If nested, another command may run before a commit of
// it.
func (m *model) runCommand(nested bool) {
	rt := m.rt
	id := fmt.Sprintf("c-%d", rapid.IntRange(0, 11).Draw(rt, "id"))
	text, isRepeat := m.texts[id]
	if !isRepeat {
		text = rapid.SampledFrom([]string{
			"set service glint-check wait = 300ms", "set service glint-check wait = 400ms",
			"drain zone norte force", "refill zone norte", "drain zone sur",
			"drain worker sur-1 force", "refill worker sur-1", "undo 2", "undo 3", "undo 5",
		}).Draw(rt, "text")
		m.texts[id] = text
	}
	req := newRequest(rt, id, "ana", text)
	req.Repeat = isRepeat
	m.lastID = id
	overlapping := slices.Contains(m.running, id)
	m.running = append(m.running, id)
	defer func() { m.running = m.running[:len(m.running)-1] }()
	table := &faultyTable{Table: m.table, rt: rt}
	if nested {
		table.concurrent = func() { m.runCommand(false); overlapping = overlapping || m.lastID == id }
	}
	result, err := command.New(table, clock).Run(rt.Context(), req)
	recorded := rowExists(rt, m.table, state.CommandKey(id)) && get[structs.Change](rt, m.table, state.CommandKey(id)).Version > 0
	switch {
	case err == nil:
		must.True(rt, recorded)
		must.Eq(rt, id, get[structs.Change](rt, m.table, state.ChangeKey(result.Version)).ID)
	case outcome(rt, err) == verdict.NotRun && isRepeat:
		m.refused[id] = true
		must.False(rt, recorded, must.Sprint("the command was refused but has taken effect"))
	case outcome(rt, err) == verdict.NotRun && !overlapping:
		must.False(rt, recorded, must.Sprint("the command was refused but has taken effect"))
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
	e := &expectedConfig{wait: "200ms", drainedZones: map[string]bool{}, drainingVMs: map[string]bool{}}
	seen := map[string]bool{}
	for i, change := range changes {
		must.Eq(rt, int64(i)+2, change.Value.Version)
		must.False(rt, seen[change.Value.ID], must.Sprint("an id has taken effect twice"))
		seen[change.Value.ID] = true
		must.False(rt, m.refused[change.Value.ID], must.Sprint("a repeat was refused and the command took effect afterwards"))
		e.apply(rt, table, change.Value.Statement)
	}
	config, err := state.LoadConfig(rt.Context(), table)
	must.NoError(rt, err)
	must.Eq(rt, int64(len(changes))+1, config.Version)
	must.Eq(rt, e.wait, fmt.Sprintf("%dms", config.Services["glint-check"].WaitMS))
	for name, zone := range config.Zones {
		must.Eq(rt, e.drainedZones[name], zone.State == structs.ZoneDrained)
	}
	for _, vm := range []string{"sur-1", "sur-2", "norte-1"} {
		must.Eq(rt, e.drainingVMs[vm], config.DrainingVMs[vm])
	}
}
