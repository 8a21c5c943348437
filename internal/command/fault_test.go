package command_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"bamboowood/internal/command"
	"bamboowood/internal/platform"
	"bamboowood/internal/standin"
	"bamboowood/internal/state"
	"bamboowood/internal/statement"
	"bamboowood/internal/structs"
	"bamboowood/internal/verdict"
)

// commands has one command of each kind.
var commands = []string{
	"drain zone norte", "refill zone norte", "drain worker sur-1", "refill worker sur-1",
	"stop job job-1", "stop watch watch-1", "cancel job job-2", "cancel jobs where team = guild confirm",
	"set service glint-check wait = 300ms", "set team guild quota cores = 100",
	"create service lid-check wait = 1s", "create team archive quota cores = 4 memory = 8GB",
	"create watch lash-watch team = guild cores = 1 memory = 1GB gap = 30s",
	"submit job recalibration", "undo 2",
}

const (
	wantApplied = iota
	wantRefused
	wantUnknown
)

var errConnectionCut = errors.New("connection cut")

// tableFaults lists the faults of the table during a command and the outcome that must
// be reported to its sender.
var tableFaults = []struct {
	name string
	set  func(table *standin.Table, h *hookedTable)
	want int
}{
	{"none", func(*standin.Table, *hookedTable) {}, wantApplied},
	{"refuses all", func(table *standin.Table, _ *hookedTable) {
		table.Faults().Set(standin.AnyOperation, standin.Fault{Refuse: true})
	}, wantRefused},
	{"refuses commits", func(table *standin.Table, _ *hookedTable) {
		table.Faults().Set(standin.OpCommit, standin.Fault{Refuse: true})
	}, wantRefused},
	{"does not answer reads", func(table *standin.Table, _ *hookedTable) {
		table.Faults().Set(standin.OpGet, standin.Fault{Down: true})
	}, wantRefused},
	{"does not answer commits", func(table *standin.Table, _ *hookedTable) {
		table.Faults().Set(standin.OpCommit, standin.Fault{Down: true})
	}, wantUnknown},
	{"is slow", func(table *standin.Table, _ *hookedTable) {
		table.Faults().Set(standin.AnyOperation, standin.Fault{Latency: 20 * time.Millisecond})
	}, wantApplied},
	{"answers later than the deadline", func(table *standin.Table, _ *hookedTable) {
		table.Faults().Set(standin.OpCommit, standin.Fault{AnswerLatency: time.Hour})
	}, wantApplied},
	{"loses one response", func(table *standin.Table, _ *hookedTable) {
		table.Faults().Set(standin.OpCommit, standin.Fault{LoseNext: 1})
	}, wantApplied},
	{"loses all responses", func(table *standin.Table, _ *hookedTable) {
		table.Faults().Set(standin.OpCommit, standin.Fault{LoseProbability: 1})
	}, wantApplied},
	{"cuts one commit before it takes effect", func(_ *standin.Table, h *hookedTable) {
		calls := 0
		h.beforeCommit = func(platform.Tx) error {
			if calls++; calls == 1 {
				return errConnectionCut
			}
			return nil
		}
	}, wantApplied},
	{"cuts all commits before they take effect", func(_ *standin.Table, h *hookedTable) {
		h.beforeCommit = func(platform.Tx) error { return errConnectionCut }
	}, wantUnknown},
}

// Runs each command under each fault of the table. A reported refusal or success must be
// true, and a repeat with the same id after the fault leaves the command applied once.
//
// Without the create-if-absent of the command row, the repeats raise the version again.
// If each failed commit is reported as a refusal, "does not answer commits" fails.
// Without readBack, "loses all responses" and "answers later than the deadline" are
// reported as unknown.
func TestRun_Faults(t *testing.T) {
	for _, f := range tableFaults {
		for _, text := range commands {
			t.Run(f.name+"/"+text, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { checkFault(t, text, f.set, f.want) })
			})
		}
	}
}

func checkFault(t *testing.T, text string, set func(*standin.Table, *hookedTable), want int) {
	table := newTable(t)
	setup := command.New(table, clock)
	_, err := setup.Run(t.Context(), newRequest(t, "earlier", "ana", "set service glint-check wait = 250ms"))
	must.NoError(t, err)
	must.Eq(t, 2, version(t, table))
	before := dump(t, table)
	h := &hookedTable{Table: table}
	set(table, h)

	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	result, err := command.New(h, clock).Run(ctx, newRequest(t, "c-1", "ana", text))
	table.Faults().Clear()
	recorded := rowExists(t, table, state.CommandKey("c-1"))
	switch want {
	case wantApplied:
		must.NoError(t, err)
		must.True(t, recorded)
		must.Eq(t, 3, result.Version)
	case wantRefused:
		must.Eq(t, verdict.NotRun, outcome(t, err))
		must.Eq(t, before, dump(t, table))
	case wantUnknown:
		must.Eq(t, verdict.MayHaveRun, outcome(t, err))
		must.ErrorIs(t, err, state.ErrOutcomeUnknown)
	}

	repeated := newRequest(t, "c-1", "ana", text)
	repeated.Repeat = true
	result, err = command.New(table, clock).Run(t.Context(), repeated)
	must.NoError(t, err)
	must.Eq(t, 3, result.Version)
	must.Eq(t, 3, version(t, table))
	must.Eq(t, "c-1", get[structs.Change](t, table, state.ChangeKey(3)).ID)
	must.False(t, rowExists(t, table, state.ChangeKey(4)))
}

func rowExists(t tb, table platform.Table, key string) bool {
	row, err := state.Get[any](t.Context(), table, key)
	must.NoError(t, err)
	return row.Exists()
}

func outcome(t tb, err error) verdict.Outcome {
	var e *statement.Error
	must.True(t, errors.As(err, &e), must.Sprintf("%v is not a *statement.Error", err))
	return e.Outcome
}

// Guards against a repeat that is refused although the earlier request has taken effect:
// the table refuses all calls, so the outcome is unknown. Without recordRefusal, the
// outcome is NotRun although the zone is drained.
func TestRun_RepeatWithoutTableIsUnknown(t *testing.T) {
	table := newTable(t)
	c := command.New(table, clock)
	_, err := c.Run(t.Context(), newRequest(t, "c-1", "ana", "drain zone norte"))
	must.NoError(t, err)
	table.Faults().Set(standin.AnyOperation, standin.Fault{Refuse: true})
	repeated := newRequest(t, "c-1", "ana", "drain zone norte")
	repeated.Repeat = true
	_, err = c.Run(t.Context(), repeated)
	must.Eq(t, verdict.MayHaveRun, outcome(t, err))
}

// Runs submissions and cancellations by callers under the same faults. A reported refusal
// or success must be true, and repeats after the fault return the same task.
func TestTasks_Faults(t *testing.T) {
	spec := structs.TaskSpec{Name: "recalibration", Kind: structs.KindBatch, Team: "guild", Declared: taskResources}
	for _, f := range tableFaults {
		for name, call := range map[string]func(ctx context.Context, c *command.Commander) (structs.Task, error){
			"submit": func(ctx context.Context, c *command.Commander) (structs.Task, error) {
				return c.SubmitTask(ctx, "new-1", spec)
			},
			"cancel": func(ctx context.Context, c *command.Commander) (structs.Task, error) {
				return c.CancelTask(ctx, "job-1", "ana")
			},
		} {
			t.Run(f.name+"/"+name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					table := newTable(t)
					before := dump(t, table)
					h := &hookedTable{Table: table}
					f.set(table, h)
					ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
					defer cancel()
					_, err := call(ctx, command.New(h, clock))
					table.Faults().Clear()
					switch {
					case err == nil:
						must.Eq(t, wantApplied, f.want)
						must.NotEq(t, before, dump(t, table))
					case outcome(t, err) == verdict.NotRun:
						must.Eq(t, wantRefused, f.want)
						must.Eq(t, before, dump(t, table))
					}
					first, err := call(t.Context(), command.New(table, clock))
					must.NoError(t, err)
					after := dump(t, table)
					second, err := call(t.Context(), command.New(table, clock))
					must.NoError(t, err)
					must.Eq(t, first, second)
					must.Eq(t, after, dump(t, table))
				})
			})
		}
	}
}
