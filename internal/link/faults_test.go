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

// A session that goes silent costs the requests that were in flight on it. The
// next ones are refused as NotRun at once, and go through again as soon as the
// agent has dialed beside it.
func TestLink_SilentSessionCostsOnlyItsRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		e := c.startEntry("e1")
		a := c.startAgent("vm1", 1, newRunner(20*time.Millisecond))
		settle(time.Second)
		a.faults("e1").Silence()

		var wg sync.WaitGroup
		lost := make([]error, 8)
		for i := range lost {
			wg.Go(func() { _, lost[i] = e.do("vm1", fmt.Sprintf("lost%d", i), true) })
		}
		wg.Wait()
		for _, err := range lost {
			must.Eq(t, verdict.SessionSilent, verdict.ReasonOf(err))
			must.Eq(t, verdict.MayHaveRun, outcomeOf(err))
		}
		must.True(t, e.upstreams()[0].Silent)
		start := time.Now()
		_, err := e.do("vm1", "next", true)
		must.Eq(t, verdict.NotRun, outcomeOf(err))
		must.Eq(t, 0, time.Since(start))

		settle(link.SilentAfter + 2*link.HeartbeatInterval)
		must.False(t, e.upstreams()[0].Silent)
		_, err = e.do("vm1", "after", true)
		must.NoError(t, err)
		settle(link.DropAfter)
		must.Eq(t, 1, e.Sessions())
	})
}

// Requests that were committed before a session was replaced keep it and end by
// their own answer.
func TestLink_OldStreamsFinishOnReplacedSession(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		e := c.startEntry("e1")
		a := c.startAgent("vm1", 1, newRunner(5*time.Second))
		settle(time.Second)
		old := a.faults("e1")
		result := make(chan error, 1)
		go func() {
			req := request("long", true)
			req.Deadline = time.Now().Add(10 * time.Second)
			_, _, err := e.Do(context.Background(), "vm1", req)
			result <- err
		}()
		settle(10 * time.Millisecond)
		old.Silence()
		settle(4 * time.Second)
		must.True(t, old != a.faults("e1"))
		old.Restore()
		must.NoError(t, <-result)
		must.Eq(t, 1, a.runner.ran("long"))
	})
}

// A session whose agent was only slow is used again after it answers the probe.
func TestLink_ProbeEndsFalseSuspicion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		e := c.startEntry("e1")
		a := c.startAgent("vm1", 1, newRunner(time.Millisecond))
		settle(time.Second)
		dials := a.dials()
		a.faults("e1").SetDelay(100 * time.Millisecond)
		_, err := e.do("vm1", "slow", true)
		must.Eq(t, verdict.SessionSilent, verdict.ReasonOf(err))
		a.faults("e1").SetDelay(linkDelay)
		settle(500 * time.Millisecond)
		_, err = e.do("vm1", "again", true)
		must.NoError(t, err)
		must.Eq(t, dials, a.dials())
	})
}

// Silence of one direction only is found as well, by both ends, and costs one
// request. Were any heartbeat taken for a recovery, a session that works only
// from agent to entry would lose another request after each.
func TestLink_HalfSilentSessionIsReplaced(t *testing.T) {
	for _, side := range []struct {
		name string
		from func(a *testAgent)
	}{
		{"agent to entry", func(a *testAgent) { a.faults("e1").SilenceFrom(0) }},
		{"entry to agent", func(a *testAgent) { a.faults("e1").SilenceFrom(1) }},
	} {
		t.Run(side.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t)
				e := c.startEntry("e1")
				a := c.startAgent("vm1", 1, newRunner(time.Millisecond))
				settle(time.Second)
				side.from(a)
				_, err := e.do("vm1", "first", true)
				must.Eq(t, verdict.MayHaveRun, outcomeOf(err))
				for i := range 50 {
					if _, err = e.do("vm1", fmt.Sprintf("r%d", i), true); err != nil {
						must.Eq(t, verdict.NotRun, outcomeOf(err))
					}
					settle(link.HeartbeatInterval / 10)
				}
				must.NoError(t, err)
			})
		})
	}
}

// An entry that restarts with an empty memory, at its old or at a new address,
// has every agent again within seconds; so do several entries at once.
func TestLink_EntryRestart(t *testing.T) {
	for _, restart := range []struct {
		name      string
		to        []string
		directory bool
		within    time.Duration
	}{
		{"same addresses", []string{"e1", "e2"}, true, 10 * time.Second},
		{"new addresses", []string{"e3", "e4"}, true, 10 * time.Second},
		{"same addresses, table down", []string{"e1", "e2"}, false, 10 * time.Second},
		{"new addresses, table down", []string{"e3", "e4"}, false, 4 * link.DiscoverInterval},
	} {
		t.Run(restart.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t)
				c.directory = restart.directory
				c.startEntry("e1")
				c.startEntry("e2")
				c.startAgent("vm1", 1, newRunner(time.Millisecond))
				c.startAgent("vm2", 1, newRunner(time.Millisecond))
				settle(2 * link.DiscoverInterval)
				c.killEntry("e1")
				c.killEntry("e2")
				settle(10 * time.Second)
				fresh := []*testEntry{c.startEntry(restart.to[0]), c.startEntry(restart.to[1])}
				settle(restart.within)
				for _, e := range fresh {
					must.SliceLen(t, 2, e.upstreams())
					_, err := e.do("vm2", fmt.Sprintf("r-%p", e), false)
					must.NoError(t, err)
				}
			})
		})
	}
}

// A new incarnation supersedes the old one at once; the old one's late
// announcement is refused.
func TestLink_NewIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		e := c.startEntry("e1")
		old := c.startAgent("vm1", 1, newRunner(time.Hour))
		settle(time.Second)
		stats := e.upstreams()[0].Stats
		hanging := make(chan error, 1)
		go func() {
			_, err := e.do("vm1", "on-old", true)
			hanging <- err
		}()
		settle(10 * time.Millisecond)
		fresh := c.startAgent("vm1", 2, newRunner(time.Millisecond))
		settle(100 * time.Millisecond)
		must.Eq(t, verdict.SessionLost, verdict.ReasonOf(<-hanging))
		must.SliceLen(t, 1, e.upstreams())
		must.Eq(t, 2, e.upstreams()[0].Incarnation)
		must.True(t, stats != e.upstreams()[0].Stats)
		settle(20 * time.Second) // the old one dials again and again
		must.Eq(t, 2, e.upstreams()[0].Incarnation)
		_, err := e.do("vm1", "on-new", true)
		must.NoError(t, err)
		must.Eq(t, 1, fresh.runner.ran("on-new"))
		must.Eq(t, 0, old.runner.ran("on-new"))
	})
}

// A configuration reaches every node from whichever node has it, also an entry
// that can learn it only from an agent, and none goes back.
func TestLink_ConfigSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		e1, e2 := c.startEntry("e1"), c.startEntry("e2")
		a1 := c.startAgent("vm1", 1, newRunner(time.Millisecond))
		a2 := c.startAgent("vm2", 1, newRunner(time.Millisecond))
		settle(2 * link.DiscoverInterval)
		e1.holder.Merge(zoneConfig(7, structs.ZoneDrained))
		e1.PublishConfig()
		settle(100 * time.Millisecond) // a few hops, no heartbeat needed
		must.Eq(t, 7, e2.holder.Version())
		must.Eq(t, 7, a1.holder.Version())
		must.Eq(t, 7, a2.holder.Version())
		must.True(t, e2.upstreams()[0].ZoneDrained)
		_, err := e2.do("vm1", "refused", false)
		must.Eq(t, verdict.NotRun, outcomeOf(err))
		must.Eq(t, verdict.ZoneDrained, verdict.ReasonOf(err))

		e3 := c.startEntry("e3")
		settle(2 * link.DiscoverInterval)
		must.Eq(t, 7, e3.holder.Version())
		e3.holder.Merge(zoneConfig(8, structs.ZoneActive))
		e3.PublishConfig()
		settle(100 * time.Millisecond)
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

// A leaving agent finishes its requests, refuses others as NotRun, and ends only
// when its answers have arrived, whatever happens meanwhile.
func TestLink_GracefulLeave(t *testing.T) {
	for _, fault := range []struct {
		name     string
		during   func(c *cluster, a *testAgent)
		answered bool // the request on e1 still gets its answer
	}{
		{"nothing", func(*cluster, *testAgent) {}, true},
		{"slow link", func(_ *cluster, a *testAgent) { a.faults("e1").SetDelay(40 * time.Millisecond) }, true},
		{"another entry dies", func(c *cluster, _ *testAgent) { c.killEntry("e2") }, true},
		{"another entry silent", func(_ *cluster, a *testAgent) { a.faults("e2").Silence() }, true},
		{"session cut", func(_ *cluster, a *testAgent) { a.faults("e1").Cut() }, false},
	} {
		t.Run(fault.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t)
				e := c.startEntry("e1")
				c.startEntry("e2")
				a := c.startAgent("vm1", 1, newRunner(100*time.Millisecond))
				settle(2 * link.DiscoverInterval)
				results := make([]error, 8)
				var wg sync.WaitGroup
				for i := range results {
					wg.Go(func() { _, results[i] = e.do("vm1", fmt.Sprintf("r%d", i), i%2 == 0) })
				}
				settle(20 * time.Millisecond)
				fault.during(c, a)
				left := make(chan error, 1)
				go func() {
					left <- a.Leave(context.Background())
					a.cancel() // the process exits
				}()
				synctest.Wait()
				_, err := e.do("vm1", "late", true)
				must.NotEq(t, nil, err)
				must.Eq(t, 0, a.runner.ran("late"))
				must.NoError(t, <-left)
				wg.Wait()
				for i, err := range results {
					must.Eq(t, fault.answered, err == nil, must.Sprintf("request %d: %v", i, err))
					must.Eq(t, 1, a.runner.ran(fmt.Sprintf("r%d", i)))
				}
			})
		})
	}
}

// Leave gives up when its context ends and says that requests are in flight.
func TestLink_LeaveBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		e := c.startEntry("e1")
		a := c.startAgent("vm1", 1, newRunner(time.Hour))
		settle(time.Second)
		go func() { _, _ = e.do("vm1", "stuck", true) }()
		synctest.Wait()
		settle(10 * time.Millisecond)
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		err := a.Leave(ctx)
		must.True(t, errors.Is(err, context.DeadlineExceeded))
	})
}

// An entry with many sessions asks for fewer heartbeats, so that it takes no more
// than 200 a second from all, and still finds a silent session.
func TestLink_HeartbeatsOfManySessions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const agents, seconds = 400, 30
		c := newCluster(t)
		e := c.startEntry("e1")
		var beats atomic.Int64
		for i := range agents {
			c.startAgent(fmt.Sprintf("vm%d", i), 1, newRunner(time.Millisecond))
		}
		settle(5 * time.Second)
		must.Eq(t, agents, e.Sessions())
		for _, a := range c.agents {
			a.faults("e1").SetHook(func(_ wire.Side, m proto.Message) wire.MessageFault {
				if _, ok := m.(*wirepb.Heartbeat); ok {
					beats.Add(1)
				}
				return wire.MessageFault{}
			})
		}
		settle(seconds * time.Second)
		must.Between(t, 180*seconds, beats.Load(), 210*seconds)
		silent := c.agents[0]
		silent.faults("e1").Silence()
		settle(6 * time.Second)
		_, err := e.do(silent.vm, "after", true)
		must.NoError(t, err)
	})
}
