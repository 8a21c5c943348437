package soak

import (
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
)

// Guards against an entry that is killed at the end of its grace period, and cuts off its requests:
// they arrive shortly before it stops listening, the store turns it away, and the leader is suspended.
func TestSoak_TerminatedWhileRequestsWait(t *testing.T) {
	const (
		// requestDelay is the time from SIGTERM to a request; the entry listens for 2.5 s.
		requestDelay  = 2350 * time.Millisecond
		suspendedTime = requestDelay + gracePeriod
	)
	reserveAddressBlock(t)
	cl := newCluster(t, 1, 0, 2, 1, nil)
	c := &callers{cluster: cl, client: &http.Client{Transport: &http.Transport{}}}
	leader, entry := cl.entries[0], cl.entries[1]
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool {
		if entry.logs.contains("scheduling started") {
			leader, entry = entry, leader
		}
		return leader.logs.contains("scheduling started")
	}), wait.Timeout(10*time.Second), wait.Gap(20*time.Millisecond)))
	cl.entries = []*process{entry} // that callers call
	r := rand.New(rand.NewPCG(1, 1))
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool {
		status, _ := c.call(http.MethodPost, cl.jobs.next(r).id, cl.jobs.all()[0].body(), r)
		return status == http.StatusOK
	}), wait.Timeout(10*time.Second), wait.Gap(20*time.Millisecond)))

	suspended := make(chan struct{})
	go func() {
		defer close(suspended)
		leader.pause(suspendedTime)
	}()
	entry.storeGate.Close()
	answered := make(chan int, 1)
	go func() {
		<-time.After(requestDelay)
		s := cl.jobs.next(r)
		status, _ := c.call(http.MethodPost, s.id, s.body(), r)
		answered <- status
	}()
	took, killed := entry.terminate(gracePeriod)
	test.False(t, killed, test.Sprintf("no exit within %s of SIGTERM", gracePeriod))
	test.SliceContains(t, []int{http.StatusServiceUnavailable, http.StatusGatewayTimeout}, <-answered)
	t.Logf("exit %s after SIGTERM", took)
	<-suspended
}
