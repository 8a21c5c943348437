package planner

import (
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// Guards against a start that does not name the incarnation for which it was planned, so that any other one
// would carry it out (ROUTE).
func TestPlanner_StartNamesIncarnation(t *testing.T) {
	f := newFixture(t, 1)
	r := testRunner("a")
	r.StartTime = 77
	f.AgentConnected(f.now, "a", Snapshot{Runner: r})
	f.add(testJob(1, step(1)), nil, false)
	starts := f.plan().Starts
	must.Len(t, 1, starts)
	test.Eq(t, r.ID, starts[0].RunnerID)
	test.Eq(t, 77, starts[0].StartTime)
}
