package link_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"bamboowood/internal/control"
	"bamboowood/internal/exchange"
	"bamboowood/internal/link"
	"bamboowood/internal/platform"
	"bamboowood/internal/routing"
	"bamboowood/internal/structs"
	"bamboowood/internal/wire"
)

const (
	service   = "eyes"
	linkDelay = time.Millisecond
)

// fakeRunner counts the runs of each request and answers after its service time.
type fakeRunner struct {
	mu          sync.Mutex
	runs        map[string]int
	serviceTime time.Duration
}

func newFakeRunner(serviceTime time.Duration) *fakeRunner {
	return &fakeRunner{runs: map[string]int{}, serviceTime: serviceTime}
}

func (r *fakeRunner) Call(ctx context.Context, req structs.Request) (structs.Answer, error) {
	r.mu.Lock()
	r.runs[req.ID]++
	r.mu.Unlock()
	select {
	case <-time.After(r.serviceTime):
		return structs.Answer{RequestID: req.ID, Status: 200, Body: req.Body}, nil
	case <-ctx.Done():
		return structs.Answer{}, ctx.Err()
	}
}

func (r *fakeRunner) runCount(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id]
}

// cluster is a network of entries and agents over in-memory sessions.
type cluster struct {
	wg sync.WaitGroup

	mu      sync.Mutex
	agents  []*testAgent
	entries map[string]*testEntry
	// balancer lists the entries behind the address "balancer", which are dialed in turn.
	balancer []string
	// sharedAddresses makes every entry's source list all entries, as the table does.
	sharedAddresses bool
	table           platform.Table
}

type testEntry struct {
	*link.Entry
	holder *control.Holder
	cancel context.CancelFunc
	ctx    context.Context

	mu       sync.Mutex
	snapshot *routing.Snapshot
}

func (e *testEntry) upstreams() []*routing.Upstream {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.snapshot == nil {
		return nil
	}
	return e.snapshot.Upstreams
}

type testAgent struct {
	*link.Agent
	vm     string
	holder *control.Holder
	server *exchange.Server
	runner *fakeRunner
	cancel context.CancelFunc

	balancerCalls int // dials of the balancer

	mu    sync.Mutex
	links []*agentLink
}

// agentLink is a session that an agent dialed at an entry's own address.
type agentLink struct {
	entry  string
	faults *wire.Faults
}

// newCluster returns an empty cluster that is stopped when the test ends.
func newCluster(t *testing.T) *cluster {
	c := &cluster{entries: map[string]*testEntry{}}
	t.Cleanup(c.stop)
	return c
}

func (c *cluster) startEntry(addr string) *testEntry {
	e := &testEntry{holder: control.NewHolder()}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	e.Entry = link.NewEntry(link.EntryOptions{
		Address: addr, Zone: "centro", Holder: e.holder, Table: c.table, Entries: c.listEntries,
		OnSnapshot: func(s *routing.Snapshot) {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.snapshot = s
		},
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entries[addr] = e
	c.balancer = append(c.balancer, addr)
	return e
}

// listEntries returns the entries that the table would list.
func (c *cluster) listEntries() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.sharedAddresses {
		return nil
	}
	return slices.Sorted(maps.Keys(c.entries))
}

// killEntry ends the entry's sessions; its address refuses connections.
func (c *cluster) killEntry(addr string) {
	c.mu.Lock()
	e := c.entries[addr]
	delete(c.entries, addr)
	kept := c.balancer[:0]
	for _, a := range c.balancer {
		if a != addr {
			kept = append(kept, a)
		}
	}
	c.balancer = kept
	c.mu.Unlock()
	e.cancel()
}

func (c *cluster) startAgent(vm string, incarnation int64, runner *fakeRunner) *testAgent {
	a := &testAgent{vm: vm, holder: control.NewHolder(), runner: runner}
	a.server = exchange.NewServer(exchange.ServerOptions{}, runner)
	ctx, cancel := context.WithCancel(context.Background())
	a.cancel = cancel
	a.Agent = link.NewAgent(link.AgentOptions{
		VM: vm, Zone: "centro", Rack: "r1", Incarnation: incarnation, Services: []string{service},
		Seeds: []string{"balancer"}, Holder: a.holder, Server: a.server,
		Dial: func(_ context.Context, addr string) (wire.Session, error) { return c.dial(a, addr) },
	})
	c.mu.Lock()
	a.balancerCalls = len(c.agents)
	c.agents = append(c.agents, a)
	c.mu.Unlock()
	c.wg.Go(func() { _ = a.Run(ctx) })
	return a
}

func (c *cluster) dial(a *testAgent, addr string) (wire.Session, error) {
	direct := addr != "balancer"
	c.mu.Lock()
	if addr == "balancer" && len(c.balancer) > 0 {
		addr = c.balancer[a.balancerCalls%len(c.balancer)]
		a.balancerCalls++
	}
	e := c.entries[addr]
	c.mu.Unlock()
	if e == nil {
		return nil, errors.New("connection refused")
	}
	faults := &wire.Faults{}
	faults.SetDelay(linkDelay)
	agentEnd, entryEnd := wire.Pipe(wire.WithFaults(faults))
	if direct {
		a.mu.Lock()
		a.links = append(a.links, &agentLink{entry: addr, faults: faults})
		a.mu.Unlock()
	}
	c.wg.Go(func() { _ = e.ServeSession(e.ctx, entryEnd) })
	return agentEnd, nil
}

// faults returns the faults of the agent's newest session with the entry.
func (a *testAgent) faults(entry string) *wire.Faults {
	a.mu.Lock()
	defer a.mu.Unlock()
	for i := len(a.links) - 1; i >= 0; i-- {
		if a.links[i].entry == entry {
			return a.links[i].faults
		}
	}
	return nil
}

// dials returns the number of sessions that the agent dialed at entries' own addresses.
func (a *testAgent) dials() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.links)
}

// stop stops all agents and entries so that the synctest bubble can end.
func (c *cluster) stop() {
	c.mu.Lock()
	for _, a := range c.agents {
		a.cancel()
	}
	for _, e := range c.entries {
		e.cancel()
	}
	c.mu.Unlock()
	c.wg.Wait()
}

func request(id string, idempotent bool) structs.Request {
	return structs.Request{
		ID: id, Service: service, Body: []byte("body of " + id), Idempotent: idempotent,
		Deadline: time.Now().Add(200 * time.Millisecond),
	}
}

func (e *testEntry) do(vm, id string, idempotent bool) (structs.Answer, error) {
	answer, _, err := e.Do(context.Background(), vm, request(id, idempotent))
	return answer, err
}

// advance advances the virtual time by d and waits until the cluster is idle.
func advance(d time.Duration) {
	<-time.After(d) // virtual time: used only inside synctest bubbles
	synctest.Wait()
}

// An agent that knows only the load balancer's address connects to every entry behind it
// and serves requests of each.
func TestLink_AgentReachesEveryEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		e1, e2 := c.startEntry("e1"), c.startEntry("e2")
		a := c.startAgent("vm1", 1, newFakeRunner(20*time.Millisecond))
		advance(2 * link.DiscoverInterval)
		for i, e := range []*testEntry{e1, e2} {
			for _, idempotent := range []bool{true, false} {
				id := fmt.Sprintf("r%d-%v", i, idempotent)
				answer, err := e.do("vm1", id, idempotent)
				must.NoError(t, err)
				must.Eq(t, "body of "+id, string(answer.Body))
				must.Eq(t, "vm1", answer.VM)
				must.Eq(t, 1, a.runner.runCount(id))
			}
		}
	})
}
