package planner

import (
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"bamboowood/internal/job"
)

// A run on a lost agent must not be started elsewhere while the lease of an earlier leader may
// keep it alive. A lease of this leader replaces the earlier one.
func TestPlanner_LostAgentKeepsLeaseOfEarlierLeader(t *testing.T) {
	const earlier, granted = 13 * time.Second, 6 * time.Second
	for name, lease := range map[string]time.Duration{"no lease of this leader": 0, "lease of this leader": granted} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 2)
			f.agent("b")
			f.AddUnreportedAgent("a", f.now+earlier)
			j := testJob(1, step(1))
			f.add(j, nil, true)
			f.agent("a", job.Activity{Run: job.Run{Task: job.Task{Job: j.ID}, Number: 1}})
			expiry := f.now + earlier
			if lease > 0 {
				expiry = f.now + lease
				f.AgentLeaseExtended("a", expiry)
			}
			f.AgentLost("a", lease)
			f.now = expiry - time.Millisecond
			must.SliceEmpty(t, f.plan().Starts)
			f.now = expiry
			test.Len(t, 1, f.plan().Starts)
		})
	}
}
