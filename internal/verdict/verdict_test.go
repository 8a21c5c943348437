package verdict_test

import (
	"errors"
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"bamboowood/internal/verdict"
)

// Wrapping may raise an outcome but never lowers it, for any chain of errors.
func TestWrap_NeverLowers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		err := errors.New("cause")
		highest := verdict.NotRun
		for i := range rapid.IntRange(1, 8).Draw(t, "wraps") {
			outcome := verdict.Outcome(rapid.IntRange(0, 2).Draw(t, "outcome"))
			highest = max(highest, outcome)
			err = verdict.Wrap(err, outcome, verdict.SessionLost)
			if i%2 == 0 {
				err = fmt.Errorf("context: %w", err)
			}
			must.Eq(t, highest, verdict.OutcomeOf(err, verdict.NotRun))
		}
	})
}

func TestOutcomeOf(t *testing.T) {
	cases := []struct {
		name string
		err  error
		want verdict.Outcome
	}{
		{"plain error gives the fallback", errors.New("x"), verdict.MayHaveRun},
		{"not run", verdict.New(verdict.NotRun, verdict.NoUpstream, nil), verdict.NotRun},
		{"greater inner outcome wins", verdict.New(verdict.NotRun, verdict.Internal, verdict.New(verdict.MayHaveRun, verdict.SessionLost, nil)), verdict.MayHaveRun},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			must.Eq(t, c.want, verdict.OutcomeOf(c.err, verdict.MayHaveRun))
		})
	}
}
