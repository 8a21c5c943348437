package link_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"bamboowood/internal/link"
	"bamboowood/internal/structs"
	"bamboowood/internal/verdict"
	"bamboowood/internal/wire"
	"bamboowood/internal/wire/wirepb"
)

func outcomeOf(err error) verdict.Outcome { return verdict.OutcomeOf(err, verdict.Ran) }

// Only the requests in flight on a silent session are lost. Further requests are refused
// as NotRun at once and succeed again as soon as the agent has opened a new session.
func TestLink_SilentSessionFailsOnlyItsRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		e := c.startEntry("e1")
		a := c.startAgent("vm1", 1, newFakeRunner(20*time.Millisecond))
		advance(time.Second)
		a.faults("e1").Silence()

		var wg sync.WaitGroup
		lostErrs := make([]error, 8)
		for i := range lostErrs {
			wg.Go(func() { _, lostErrs[i] = e.do("vm1", fmt.Sprintf("lost%d", i), true) })
		}
		wg.Wait()
		for _, err := range lostErrs {
			must.Eq(t, verdict.SessionSilent, verdict.ReasonOf(err))
			must.Eq(t, verdict.MayHaveRun, outcomeOf(err))
		}
		must.True(t, e.upstreams()[0].Silent)
		start := time.Now()
		_, err := e.do("vm1", "next", true)
		must.Eq(t, verdict.NotRun, outcomeOf(err))
		must.Eq(t, 0, time.Since(start))

		advance(link.SilentAfter + 2*link.HeartbeatInterval)
		must.False(t, e.upstreams()[0].Silent)
		_, err = e.do("vm1", "after", true)
		must.NoError(t, err)
		advance(link.DropAfter)
		must.Eq(t, 1, e.Sessions())
	})
}

// Requests that were committed before their session was replaced stay on it and receive
// their answers.
func TestLink_OldStreamsFinishOnReplacedSession(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		e := c.startEntry("e1")
		a := c.startAgent("vm1", 1, newFakeRunner(5*time.Second))
		advance(time.Second)
		old := a.faults("e1")
		result := make(chan error, 1)
		go func() {
			req := request("long", true)
			req.Deadline = time.Now().Add(10 * time.Second)
			_, _, err := e.Do(context.Background(), "vm1", req)
			result <- err
		}()
		advance(10 * time.Millisecond)
		old.Silence()
		advance(4 * time.Second)
		must.True(t, old != a.faults("e1"))
		old.Restore()
		must.NoError(t, <-result)
		must.Eq(t, 1, a.runner.runCount("long"))
	})
}

// A suspected session whose agent was only slow is used again after it answers the probe.
func TestLink_ProbeEndsFalseSuspicion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		e := c.startEntry("e1")
		a := c.startAgent("vm1", 1, newFakeRunner(time.Millisecond))
		advance(time.Second)
		dials := a.dials()
		a.faults("e1").SetDelay(100 * time.Millisecond)
		_, err := e.do("vm1", "slow", true)
		must.Eq(t, verdict.SessionSilent, verdict.ReasonOf(err))
		a.faults("e1").SetDelay(linkDelay)
		advance(500 * time.Millisecond)
		_, err = e.do("vm1", "again", true)
		must.NoError(t, err)
		must.Eq(t, dials, a.dials())
	})
}

// Both ends detect a session that is silent in one direction, and only one request is
// lost. If any heartbeat ended the suspicion, a session that works only from agent to
// entry would lose another request after each heartbeat.
func TestLink_HalfSilentSessionIsReplaced(t *testing.T) {
	for _, side := range []struct {
		name    string
		silence func(a *testAgent)
	}{
		{"agent to entry", func(a *testAgent) { a.faults("e1").SilenceFrom(0) }},
		{"entry to agent", func(a *testAgent) { a.faults("e1").SilenceFrom(1) }},
	} {
		t.Run(side.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t)
				e := c.startEntry("e1")
				a := c.startAgent("vm1", 1, newFakeRunner(time.Millisecond))
				advance(time.Second)
				side.silence(a)
				_, err := e.do("vm1", "first", true)
				must.Eq(t, verdict.MayHaveRun, outcomeOf(err))
				for i := range 50 {
					if _, err = e.do("vm1", fmt.Sprintf("r%d", i), true); err != nil {
						must.Eq(t, verdict.NotRun, outcomeOf(err))
					}
					advance(link.HeartbeatInterval / 10)
				}
				must.NoError(t, err)
			})
		})
	}
}

// After a restart without state, at its old or a new address, an entry has sessions with
// all agents again within seconds. The same holds for several entries at once.
func TestLink_EntryRestart(t *testing.T) {
	for _, restart := range []struct {
		name            string
		to              []string
		sharedAddresses bool
		within          time.Duration
	}{
		{"same addresses", []string{"e1", "e2"}, true, 10 * time.Second},
		{"new addresses", []string{"e3", "e4"}, true, 10 * time.Second},
		{"same addresses, table down", []string{"e1", "e2"}, false, 10 * time.Second},
		{"new addresses, table down", []string{"e3", "e4"}, false, 4 * link.DiscoverInterval},
	} {
		t.Run(restart.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t)
				c.sharedAddresses = restart.sharedAddresses
				c.startEntry("e1")
				c.startEntry("e2")
				c.startAgent("vm1", 1, newFakeRunner(time.Millisecond))
				c.startAgent("vm2", 1, newFakeRunner(time.Millisecond))
				advance(2 * link.DiscoverInterval)
				c.killEntry("e1")
				c.killEntry("e2")
				advance(10 * time.Second)
				restarted := []*testEntry{c.startEntry(restart.to[0]), c.startEntry(restart.to[1])}
				advance(restart.within)
				for _, e := range restarted {
					must.SliceLen(t, 2, e.upstreams())
					_, err := e.do("vm2", fmt.Sprintf("r-%p", e), false)
					must.NoError(t, err)
				}
			})
		})
	}
}

// A new incarnation supersedes the old one at once. A late announcement of the old one is
// refused.
func TestLink_NewIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		e := c.startEntry("e1")
		old := c.startAgent("vm1", 1, newFakeRunner(time.Hour))
		advance(time.Second)
		stats := e.upstreams()[0].Stats
		pending := make(chan error, 1)
		go func() {
			_, err := e.do("vm1", "on-old", true)
			pending <- err
		}()
		advance(10 * time.Millisecond)
		replacement := c.startAgent("vm1", 2, newFakeRunner(time.Millisecond))
		advance(100 * time.Millisecond)
		must.Eq(t, verdict.SessionLost, verdict.ReasonOf(<-pending))
		must.SliceLen(t, 1, e.upstreams())
		must.Eq(t, 2, e.upstreams()[0].Incarnation)
		must.True(t, stats != e.upstreams()[0].Stats)
		advance(20 * time.Second) // the old one dials repeatedly
		must.Eq(t, 2, e.upstreams()[0].Incarnation)
		_, err := e.do("vm1", "on-new", true)
		must.NoError(t, err)
		must.Eq(t, 1, replacement.runner.runCount("on-new"))
		must.Eq(t, 0, old.runner.runCount("on-new"))
	})
}

// A configuration reaches every node from any node, including an entry that can receive it
// only from an agent. No node returns to an older one.
func TestLink_ConfigPropagation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		e1, e2 := c.startEntry("e1"), c.startEntry("e2")
		a1 := c.startAgent("vm1", 1, newFakeRunner(time.Millisecond))
		a2 := c.startAgent("vm2", 1, newFakeRunner(time.Millisecond))
		advance(2 * link.DiscoverInterval)
		e1.holder.Merge(zoneConfig(7, structs.ZoneDrained))
		e1.PublishConfig()
		advance(100 * time.Millisecond) // a few hops, no heartbeat needed
		must.Eq(t, 7, e2.holder.Version())
		must.Eq(t, 7, a1.holder.Version())
		must.Eq(t, 7, a2.holder.Version())
		must.True(t, e2.upstreams()[0].ZoneDrained)
		_, err := e2.do("vm1", "refused", false)
		must.Eq(t, verdict.NotRun, outcomeOf(err))
		must.Eq(t, verdict.ZoneDrained, verdict.ReasonOf(err))

		e3 := c.startEntry("e3")
		advance(2 * link.DiscoverInterval)
		must.Eq(t, 7, e3.holder.Version())
		e3.holder.Merge(zoneConfig(8, structs.ZoneActive))
		e3.PublishConfig()
		advance(100 * time.Millisecond)
		must.Eq(t, 8, e1.holder.Version())
		_, err = e1.do("vm1", "admitted", false)
		must.NoError(t, err)
	})
}

func zoneConfig(version int64, state structs.ZoneState) *structs.Config {
	return &structs.Config{
		Version: version, Zones: map[string]structs.Zone{"centro": {Name: "centro", State: state}},
	}
}

// A leaving agent finishes its requests, refuses others as NotRun, and returns from Leave
// only when its answers have arrived, also when links or entries fail during the leave.
func TestLink_GracefulLeave(t *testing.T) {
	for _, fault := range []struct {
		name     string
		during   func(c *cluster, a *testAgent)
		answered bool // the requests on e1 are answered
	}{
		{"no fault", func(*cluster, *testAgent) {}, true},
		{"slow link", func(_ *cluster, a *testAgent) { a.faults("e1").SetDelay(40 * time.Millisecond) }, true},
		{"another entry dies", func(c *cluster, _ *testAgent) { c.killEntry("e2") }, true},
		{"another entry goes silent", func(_ *cluster, a *testAgent) { a.faults("e2").Silence() }, true},
		{"session cut", func(_ *cluster, a *testAgent) { a.faults("e1").Cut() }, false},
	} {
		t.Run(fault.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t)
				e := c.startEntry("e1")
				c.startEntry("e2")
				a := c.startAgent("vm1", 1, newFakeRunner(100*time.Millisecond))
				advance(2 * link.DiscoverInterval)
				results := make([]error, 8)
				var wg sync.WaitGroup
				for i := range results {
					wg.Go(func() { _, results[i] = e.do("vm1", fmt.Sprintf("r%d", i), i%2 == 0) })
				}
				advance(20 * time.Millisecond)
				fault.during(c, a)
				leaveErr := make(chan error, 1)
				go func() {
					leaveErr <- a.Leave(context.Background())
					a.cancel() // the process exits
				}()
				synctest.Wait()
				_, err := e.do("vm1", "late", true)
				must.NotEq(t, nil, err)
				must.Eq(t, 0, a.runner.runCount("late"))
				must.NoError(t, <-leaveErr)
				wg.Wait()
				for i, err := range results {
					must.Eq(t, fault.answered, err == nil, must.Sprintf("request %d: %v", i, err))
					must.Eq(t, 1, a.runner.runCount(fmt.Sprintf("r%d", i)))
				}
			})
		})
	}
}

// Leave returns the context's error when requests are still in flight at its end.
func TestLink_LeaveBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		e := c.startEntry("e1")
		a := c.startAgent("vm1", 1, newFakeRunner(time.Hour))
		advance(time.Second)
		go func() { _, _ = e.do("vm1", "stuck", true) }()
		synctest.Wait()
		advance(10 * time.Millisecond)
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		err := a.Leave(ctx)
		must.True(t, errors.Is(err, context.DeadlineExceeded))
	})
}

// An entry with many sessions requests fewer heartbeats, so that it receives about 200 a
// second in total, and still detects a silent session.
func TestLink_HeartbeatsOfManySessions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const agents, seconds = 400, 30
		c := newCluster(t)
		e := c.startEntry("e1")
		var heartbeats atomic.Int64
		for i := range agents {
			c.startAgent(fmt.Sprintf("vm%d", i), 1, newFakeRunner(time.Millisecond))
		}
		advance(5 * time.Second)
		must.Eq(t, agents, e.Sessions())
		for _, a := range c.agents {
			a.faults("e1").SetHook(func(_ wire.Side, m proto.Message) wire.MessageFault {
				if _, ok := m.(*wirepb.Heartbeat); ok {
					heartbeats.Add(1)
				}
				return wire.MessageFault{}
			})
		}
		advance(seconds * time.Second)
		must.Between(t, 180*seconds, heartbeats.Load(), 210*seconds)
		silent := c.agents[0]
		silent.faults("e1").Silence()
		advance(6 * time.Second)
		_, err := e.do(silent.vm, "after", true)
		must.NoError(t, err)
	})
}
