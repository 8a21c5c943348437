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

// commands are one of each kind.
var commands = []string{
	"drain zone norte", "refill zone norte", "drain worker sur-1", "refill worker sur-1",
	"stop job job-1", "stop watch watch-1", "cancel job job-2", "cancel jobs where team = guild confirm",
	"set service glint-check wait = 300ms", "set team guild quota cores = 100",
	"create service lid-check wait = 1s", "create team archive quota cores = 4 memory = 8GB",
	"create watch lash-watch team = guild cores = 1 memory = 1GB gap = 30s",
	"submit job recalibration", "undo 2",
}

const (
	applied = iota
	refused
	unknown
)

var errCut = errors.New("connection cut")

// tableFaults are the ways in which the table fails a command, and what its
// sender must be told.
var tableFaults = []struct {
	name string
	set  func(table *standin.Table, h *hooked)
	want int
}{
	{"none", func(*standin.Table, *hooked) {}, applied},
	{"refuses all", func(table *standin.Table, _ *hooked) {
		table.Faults().Set(standin.AnyOperation, standin.Fault{Refuse: true})
	}, refused},
	{"refuses commits", func(table *standin.Table, _ *hooked) {
		table.Faults().Set(standin.OpCommit, standin.Fault{Refuse: true})
	}, refused},
	{"does not answer reads", func(table *standin.Table, _ *hooked) {
		table.Faults().Set(standin.OpGet, standin.Fault{Down: true})
	}, refused},
	{"does not answer commits", func(table *standin.Table, _ *hooked) {
		table.Faults().Set(standin.OpCommit, standin.Fault{Down: true})
	}, unknown},
	{"is slow", func(table *standin.Table, _ *hooked) {
		table.Faults().Set(standin.AnyOperation, standin.Fault{Latency: 20 * time.Millisecond})
	}, applied},
	{"answers later than the deadline", func(table *standin.Table, _ *hooked) {
		table.Faults().Set(standin.OpCommit, standin.Fault{AnswerLatency: time.Hour})
	}, applied},
	{"loses one answer", func(table *standin.Table, _ *hooked) {
		table.Faults().Set(standin.OpCommit, standin.Fault{LoseNext: 1})
	}, applied},
	{"loses all answers", func(table *standin.Table, _ *hooked) {
		table.Faults().Set(standin.OpCommit, standin.Fault{LoseProbability: 1})
	}, applied},
	{"cuts one commit before it takes effect", func(_ *standin.Table, h *hooked) {
		calls := 0
		h.beforeCommit = func(platform.Tx) error {
			if calls++; calls == 1 {
				return errCut
			}
			return nil
		}
	}, applied},
	{"cuts all commits before they take effect", func(_ *standin.Table, h *hooked) {
		h.beforeCommit = func(platform.Tx) error { return errCut }
	}, unknown},
}

// Each command under each fault: "did not happen" is true, "done" is true, and
// after the fault a repeat with the same id ends with the command done once.
//
// Without the command row's create-if-absent: the repeats raise the version
// again. With every failed commit reported as a refusal: "does not
// answer commits" fails. Without readBack: "loses all answers" and "answers
// later than the deadline" are reported as unknown.
func TestRun_Faults(t *testing.T) {
	for _, f := range tableFaults {
		for _, text := range commands {
			t.Run(f.name+"/"+text, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { checkFault(t, text, f.set, f.want) })
			})
		}
	}
}

func checkFault(t *testing.T, text string, set func(*standin.Table, *hooked), want int) {
	table := newTable(t)
	setup := command.New(table, clock)
	_, err := setup.Run(t.Context(), order(t, "earlier", "ana", "set service glint-check wait = 250ms"))
	must.NoError(t, err)
	must.Eq(t, 2, version(t, table))
	before := dump(t, table)
	h := &hooked{Table: table}
	set(table, h)

	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	result, err := command.New(h, clock).Run(ctx, order(t, "c-1", "ana", text))
	table.Faults().Clear()
	done := rowExists(t, table, state.CommandKey("c-1"))
	switch want {
	case applied:
		must.NoError(t, err)
		must.True(t, done)
		must.Eq(t, 3, result.Version)
	case refused:
		must.Eq(t, verdict.NotRun, outcome(t, err))
		must.Eq(t, before, dump(t, table))
	case unknown:
		must.Eq(t, verdict.MayHaveRun, outcome(t, err))
		must.ErrorIs(t, err, state.ErrOutcomeUnknown)
	}

	repeat := order(t, "c-1", "ana", text)
	repeat.Repeat = true
	result, err = command.New(table, clock).Run(t.Context(), repeat)
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

// A repeat that cannot read the table must not say that the command did not
// happen: the earlier request may have taken effect. Without
// settleRefusal: the outcome is NotRun although the zone is out.
func TestRun_RepeatWithoutTableIsUnknown(t *testing.T) {
	table := newTable(t)
	c := command.New(table, clock)
	_, err := c.Run(t.Context(), order(t, "c-1", "ana", "drain zone norte"))
	must.NoError(t, err)
	table.Faults().Set(standin.AnyOperation, standin.Fault{Refuse: true})
	repeat := order(t, "c-1", "ana", "drain zone norte")
	repeat.Repeat = true
	_, err = c.Run(t.Context(), repeat)
	must.Eq(t, verdict.MayHaveRun, outcome(t, err))
}

// Submission and cancellation by callers, under the same faults.
func TestTasks_Faults(t *testing.T) {
	spec := structs.TaskSpec{Name: "recalibration", Kind: structs.KindBatch, Team: "guild", Declared: size}
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
					h := &hooked{Table: table}
					f.set(table, h)
					ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
					defer cancel()
					_, err := call(ctx, command.New(h, clock))
					table.Faults().Clear()
					switch {
					case err == nil:
						must.Eq(t, applied, f.want)
						must.NotEq(t, before, dump(t, table))
					case outcome(t, err) == verdict.NotRun:
						must.Eq(t, refused, f.want)
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
