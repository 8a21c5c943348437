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

// Guards against peers whose notifications of jobs, which they may not have stored, take more memory
// than the leader has for jobs.
func TestLeader_NotifiedJobsBounded(t *testing.T) {
	hooked, _ := newHookedStore(t)
	l, _ := runLeader(t, newLedger(hooked))
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(l.Leading), wait.Timeout(5*time.Second), wait.Gap(5*time.Millisecond)))
	r := l.leadership.Load()
	r.mu.Lock()
	r.opts.JobMemory = 1 << 20
	r.mu.Unlock()
	for i := range 100 {
		j := testJob(100 + i)
		j.Steps[0].Tasks = 1000
		must.True(t, l.jobAccepted(j))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	test.LessEq(t, r.opts.JobMemory, r.planner.JobMemory())
	test.Positive(t, r.planner.JobMemory())
}

// Guards against large jobs that several entries accept at the same time, each of which fits alone.
func TestLeader_ReservesJobRoom(t *testing.T) {
	hooked, _ := newHookedStore(t)
	l, _ := runLeader(t, newLedger(hooked))
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(l.Leading), wait.Timeout(5*time.Second), wait.Gap(5*time.Millisecond)))
	r := l.leadership.Load()
	r.mu.Lock()
	r.opts.JobMemory = 10 << 20
	r.mu.Unlock()
	admitted := int64(0)
	for i := range 100 {
		const cost = 1 << 20
		if room, _, _ := l.JobRoom(testJob(100+i).ID, cost); job.FitsRoom(cost, room) {
			admitted += cost
		}
	}
	test.Positive(t, admitted)
	test.LessEq(t, 10<<20, admitted)
	before, _, _ := l.JobRoom("", 1)
	again, _, _ := l.JobRoom(testJob(100).ID, 1<<20)
	test.Greater(t, before, again, test.Sprint("the job's own reservation does not count against it"))
}
