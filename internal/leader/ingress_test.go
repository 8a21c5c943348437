package leader

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"bamboowood/internal/job"
	"bamboowood/internal/store"
)

// Guards against peers that have the leader keep cancels of unknown jobs without a bound, and against a
// bound that drops the cancel of a job that the leader has.
func TestLeader_EarlyCancelsBounded(t *testing.T) {
	hooked, _ := newHookedStore(t)
	var blocked atomic.Bool
	release := make(chan struct{})
	hooked.onRead = func(store.ReadRequest) error {
		if blocked.Load() {
			<-release
		}
		return nil
	}
	jobLedger := newLedger(hooked)
	l, _ := runLeader(t, jobLedger)
	t.Cleanup(func() { close(release) })
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(l.Leading), wait.Timeout(5*time.Second), wait.Gap(5*time.Millisecond)))
	must.True(t, l.jobAccepted(testJob(1)))
	blocked.Store(true)
	for i := range 2 * maxEarlyCancels {
		must.True(t, l.jobCancelled(fmt.Sprintf("%016x", 0xa0000+i)))
	}
	r := l.leadership.Load()
	r.mu.Lock()
	test.LessEq(t, maxEarlyCancels, len(r.earlyCancels))
	r.mu.Unlock()
	must.True(t, l.jobCancelled(testJob(1).ID))
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool {
		state, known, _ := l.Status(testJob(1).ID)
		return known && state == job.Cancelled
	}), wait.Timeout(30*time.Second), wait.Gap(5*time.Millisecond)))
}

