package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"bamboowood/internal/job"
	"bamboowood/internal/ledger"
	"bamboowood/platform/platformtest"
)

// Guards against review/6 (TWICE): an agent that was killed came back while its runner had more ends than it lists at
// a time, took its first list for complete, and tasks that were done were started again on the other runner. In the
// second case the leader is killed as well, while the ends are being listed.
func TestSoak_AgentRestartsBesideManyEnds(t *testing.T) {
	reserveAddressBlock(t)
	for slot, killLeader := range []bool{false, true} {
		t.Run(fmt.Sprintf("kill leader %t", killLeader), func(t *testing.T) {
			t.Parallel()
			testManyEnds(t, slot, killLeader)
		})
	}
}

func testManyEnds(t *testing.T, slot int, killLeader bool) {
	const (
		tasks = 1500
		// perRunner is the number of tasks at least that run on a runner when its agent is killed.
		perRunner = 700
	)
	cl := newCluster(t, 1, slot, 2, 2, options{oldRunner})
	t.Cleanup(func() {
		if t.Failed() {
			cl.saveLogs("")
		}
	})
	s := cl.jobs.next(rand.New(rand.NewPCG(1, 1)))
	s.tasks, s.longRunning, s.taskTime, s.accepted = []int{tasks}, false, 2*time.Second, true
	value, err := ledger.EncodeJob(&job.Job{
		ID: s.id, AcceptedAt: time.Now(), Queue: job.Queue{Name: "r", Service: service, MaxAttempts: maxAttempts, Stretch: 2, Slack: time.Second},
		Steps: []job.Step{{Tasks: tasks, CPU: 10, MemoryMB: 1, Estimate: time.Second}},
	})
	must.NoError(t, err)
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool {
		return cl.agents[0].logs.contains("session with leader opened") && cl.agents[1].logs.contains("session with leader opened")
	}), wait.Timeout(20*time.Second), wait.Gap(20*time.Millisecond)))
	cl.store.Write("jobs", s.id[:1], s.id, value)
	first := cl.vms[0].current()
	started := func() (n int) {
		cl.history.mu.Lock()
		defer cl.history.mu.Unlock()
		for _, e := range cl.history.events {
			if e.Kind == platformtest.RunStarted && e.Runner == first.ID {
				n++
			}
		}
		return n
	}
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return started() >= perRunner }), wait.Timeout(20*time.Second), wait.Gap(time.Millisecond)))
	cl.vms[0].agent.killFor(3 * time.Second)
	if killLeader {
		must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool {
			return cl.agents[0].logs.count("session with leader opened") > 1
		}), wait.Timeout(5*time.Second), wait.Gap(time.Millisecond)))
		for _, p := range cl.entries {
			p.killFor(0)
		}
	}
	c := &callers{cluster: cl, client: &http.Client{Transport: &http.Transport{}}}
	r := rand.New(rand.NewPCG(1, 2))
	must.Wait(t, wait.InitialSuccess(wait.ErrorFunc(func() error {
		if state, _ := c.state(s, r); state != job.Completed && state != job.Failed {
			return fmt.Errorf("state is %q", state)
		}
		return nil
	}), wait.Timeout(convergeTimeout), wait.Gap(100*time.Millisecond)))
	for task, list := range cl.history.executions() {
		cl.checkRuns(task, list)
	}
	for _, failure := range cl.history.failures() {
		t.Error(failure)
	}
	must.True(t, cl.agents[0].logs.contains("snapshot without all ends of the runner"), must.Sprint("the runner lists all ends at once"))
}
