package contain_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"bamboowood/internal/contain"
)

func TestDo_Panic(t *testing.T) {
	logs := memory.New()
	logger := &log.Logger{Handler: logs, Level: log.InfoLevel}
	err := contain.Do(logger.WithField("job", "a1"), "planner", func() error {
		var steps []int
		_ = steps[len(logs.Entries)]
		return nil
	})
	test.ErrorIs(t, err, contain.ErrPanicked)
	must.Len(t, 1, logs.Entries)
	fields := logs.Entries[0].Fields
	test.Eq(t, "a1", fields["job"].(string))
	test.StrContains(t, fields["panic"].(string), "out of range")
	test.StrContains(t, fields["stack"].(string), "TestDo_Panic")
}

func TestDo_Error(t *testing.T) {
	want := errors.New("refused")
	test.ErrorIs(t, contain.Do(log.Log, "planner", func() error { return want }), want)
}

func TestLoop_RestartsAfterPanic(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		logger := &log.Logger{Handler: memory.New(), Level: log.InfoLevel}
		runs := 0
		err := contain.Loop(t.Context(), logger, "watcher", func(context.Context) error {
			runs++
			if runs < 3 {
				panic("malformed")
			}
			return nil
		})
		test.NoError(t, err)
		test.Eq(t, 3, runs)
	})
}
