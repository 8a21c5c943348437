package supervisor

import (
	"testing"
	"time"

	"github.com/shoenig/test"

	"bamboowood/internal/job"
)

// Guards against a first snapshot of a new process that counts as complete although an entry of its runner's list
// cannot be read: the leader gives up the run that it names, and starts its task a second time.
func TestSupervisor_FirstListWithUnreadableEntry(t *testing.T) {
	runTest(t, nil, func(h *harness) {
		h.fake.mu.Lock()
		h.fake.startTime = time.Now().Add(-time.Hour).UnixMilli()
		h.fake.unreadable = 1
		h.fake.mu.Unlock()
		_ = h.report(job.Runner{ID: "i-1", Service: "desk", StartTime: h.fake.startTime, Sequence: 1})
		time.Sleep(50 * time.Millisecond)
		if snapshot, ok := h.Snapshot(); ok {
			test.Positive(t, snapshot.UnlistedFor)
		}
	})
}
