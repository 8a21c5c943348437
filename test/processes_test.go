package test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"bamboowood/internal/entry"
	"bamboowood/internal/structs"
)

// testLease is short so that a VM is declared dead within the test.
const testLease = 3 * time.Second

// maxFailed is the number of requests that may fail because one agent is killed,
// one paused and one blackholed: one for each slot that the load's four callers
// occupied at each agent.
const maxFailed = 3 * 4

// load sends idempotent requests to both entries until stop is set, and checks
// that each answer is complete and belongs to its request.
type load struct {
	t      *testing.T
	c      *cluster
	stop   atomic.Bool
	served atomic.Int64
	failed atomic.Int64
	wg     sync.WaitGroup
}

func startLoad(t *testing.T, c *cluster) *load {
	l := &load{t: t, c: c}
	for worker := range 4 {
		l.wg.Add(1)
		go func() {
			defer l.wg.Done()
			for i := 0; !l.stop.Load(); i++ {
				l.send(worker, fmt.Sprintf("body-%d-%d", worker, i))
			}
		}()
	}
	return l
}

func (l *load) send(worker int, body string) {
	r := l.c.request(worker%2, body, nil)
	if r.err != nil || r.status != http.StatusOK {
		l.failed.Add(1)
		l.t.Logf("request %s failed: status %d, outcome %q, %v %s", body, r.status, r.outcome, r.err, r.body)
		return
	}
	l.served.Add(1)
	if !strings.Contains(r.body, body) || !strings.Contains(r.body, r.id) {
		l.t.Errorf("answer to %q (%s) is incomplete or belongs to another request: %q", body, r.id, r.body)
	}
}

// waitServed waits until n more requests have been served.
func (l *load) waitServed(n int64) {
	l.t.Helper()
	want := l.served.Load() + n
	eventually(l.t, fmt.Sprintf("%d more requests served", n), func() bool { return l.served.Load() >= want })
}

func (l *load) end() {
	l.stop.Store(true)
	l.wg.Wait()
	l.t.Logf("served %d, failed %d", l.served.Load(), l.failed.Load())
}

// Under load, one agent is killed, one is paused, and the connections of one are
// blackholed. Requests are still served, jobs that ran there succeed, and the
// second entry still serves requests after the first one is killed.
func TestProcesses_KillPauseBlackhole(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	c := newCluster(t, testLease)
	c.waitReady(4)
	l := startLoad(t, c)
	l.waitServed(200)

	watch := c.submit("lash-watch", "watch-1")
	eventually(t, "watch runs", func() bool { return c.job(watch).State == structs.StateRunning })
	var ids []string
	for i := range 8 {
		ids = append(ids, c.submit("recalibration", fmt.Sprintf("job-%d", i)))
	}
	must.Eq(t, ids[0], c.submit("recalibration", "job-0"))

	killed := c.job(watch).Owner.VM
	zone, _, _ := strings.Cut(killed, "-")
	c.agents[zone].signal(t, syscall.SIGKILL)
	l.waitServed(200)
	eventually(t, "watch runs elsewhere", func() bool {
		w := c.job(watch)
		return w.State == structs.StateRunning && w.Owner.VM != killed
	})

	others := make([]string, 0, 3)
	for _, z := range zones {
		if z != zone {
			others = append(others, z)
		}
	}
	c.agents[others[0]].signal(t, syscall.SIGSTOP)
	c.forwarders[others[1]].blackhole(true)
	l.waitServed(200)
	c.agents[others[0]].signal(t, syscall.SIGCONT)
	eventually(t, "three upstreams ready", func() bool { return c.readyUpstreams(0) == 3 })

	for _, id := range ids {
		eventually(t, "job succeeds", func() bool { return c.job(id).State == structs.StateSucceeded })
	}
	l.end()
	must.LessEq(t, int64(maxFailed), l.failed.Load())
	c.entries[0].signal(t, syscall.SIGKILL)
	for i := range 50 {
		r := c.request(1, fmt.Sprintf("after-%d", i), nil)
		must.NoError(t, r.err)
		must.Eq(t, http.StatusOK, r.status)
	}
}

// A non-idempotent request with an idempotency key runs at most once, even when
// it is repeated at another entry.
func TestProcesses_KeyedRepeatAtAnotherEntry(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	c := newCluster(t, testLease)
	c.waitReady(4)
	header := map[string]string{entry.HeaderIdempotent: "false", entry.HeaderKey: "fee-2026-12"}
	first := c.request(0, "bill", header)
	must.Eq(t, http.StatusOK, first.status)
	second := c.request(1, "bill", header)
	must.Eq(t, http.StatusOK, second.status)
	must.Eq(t, first.body, second.body)
	other := c.request(1, "another bill", header)
	must.Eq(t, http.StatusUnprocessableEntity, other.status)
	must.Eq(t, "not-run", other.outcome)
}

// A graceful stop of an agent and of an entry under load fails no request.
func TestProcesses_GracefulStop(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	c := newCluster(t, testLease)
	c.waitReady(4)
	l := startLoad(t, c)
	l.waitServed(200)
	c.agents["norte"].signal(t, syscall.SIGTERM)
	must.NoError(t, c.agents["norte"].cmd.Wait())
	l.waitServed(200)
	l.end()
	must.Eq(t, 0, l.failed.Load())
	must.True(t, c.agents["norte"].logContains(`"msg":"left"`))
	must.NoError(t, c.stopEntry(1))
}

// stopEntry stops an entry gracefully and waits for it.
func (c *cluster) stopEntry(i int) error {
	c.entries[i].signal(c.t, syscall.SIGTERM)
	return c.entries[i].cmd.Wait()
}

// A drained availability zone gets no new request and no task, and gets them
// again after a refill.
func TestProcesses_DrainAndRefill(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	c := newCluster(t, testLease)
	c.waitReady(4)
	l := startLoad(t, c)
	defer l.end()
	watch := c.submit("lash-watch", "watch-1")
	eventually(t, "watch runs", func() bool { return c.job(watch).State == structs.StateRunning })
	zone, _, _ := strings.Cut(c.job(watch).Owner.VM, "-")
	status, body := c.statement(0, "drain zone "+zone)
	must.Eq(t, http.StatusOK, status, must.Sprint(body))
	for i := range 2 {
		eventually(t, "zone out at both entries", func() bool { return c.readyUpstreams(i) == 3 })
	}
	eventually(t, "watch runs in another zone", func() bool {
		w := c.job(watch)
		return w.State == structs.StateRunning && !strings.HasPrefix(w.Owner.VM, zone)
	})
	l.waitServed(200)
	status, body = c.statement(1, "refill zone "+zone)
	must.Eq(t, http.StatusOK, status, must.Sprint(body))
	for i := range 2 {
		eventually(t, "zone in at both entries", func() bool { return c.readyUpstreams(i) == 4 })
	}
	must.Eq(t, 0, l.failed.Load())
}
