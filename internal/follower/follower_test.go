package follower

import (
	"context"
	"math"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"bamboowood/internal/boottime"
	"bamboowood/internal/job"
	"bamboowood/internal/ledger"
	"bamboowood/internal/runner"
	"bamboowood/internal/supervisor"
	"bamboowood/internal/wire"
	"bamboowood/internal/wire/wirepb"
)

// fakeRunner starts every run and lists it as active.
type fakeRunner struct {
	mu     sync.Mutex
	active []job.Activity
	// payloads are the payloads of the starts, in order.
	payloads  []string
	startedAt time.Time
	// throttled is the speed limit of the last throttle call.
	throttled int
}

func (f *fakeRunner) Start(_ context.Context, _ runner.Fence, o runner.StartRequest) (runner.Refusal, time.Duration, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.active = append(f.active, job.Activity{Run: o.Run})
	f.payloads = append(f.payloads, o.Payload)
	return "", time.Since(f.startedAt), nil
}

func (f *fakeRunner) Stop(context.Context, runner.Fence, job.Run) (runner.Refusal, error) {
	return "", nil
}

func (f *fakeRunner) Throttle(_ context.Context, _ runner.Fence, _ job.Run, percent int) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.throttled = percent
	return nil
}

func (f *fakeRunner) percent() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.throttled
}

func (f *fakeRunner) RenewLease(_ context.Context, _ runner.Fence, o runner.RenewRequest) (runner.Report, error) {
	time.Sleep(min(o.Wait, 10*time.Millisecond))
	f.mu.Lock()
	defer f.mu.Unlock()
	return runner.Report{Clock: time.Since(f.startedAt), Active: append([]job.Activity(nil), f.active...)}, nil
}

func (f *fakeRunner) runs() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.active)
}

// startAgent runs a follower with its supervisor and returns the follower's address.
func startAgent(t *testing.T) (address string, r *fakeRunner) {
	r = &fakeRunner{startedAt: time.Now().Add(-time.Minute)}
	logger := &log.Logger{Handler: discard.Default}
	s := supervisor.New(supervisor.Options{
		Runner: r, Logger: logger, Now: boottime.Now, SteadyNow: boottime.Now, MaxLease: 5 * time.Second, FirstToken: 1,
	})
	s.BootRegistered(supervisor.LaterInBoot)
	must.NoError(t, s.RunnerReported(t.Context(), job.Runner{ID: "i-1", Service: "desk", Sequence: 1}, ""))
	f := New(Options{Supervisor: s, Logger: logger, Name: "a", Now: boottime.Now})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	group.Go(func() { _ = s.Run(ctx) })
	group.Go(func() { _ = f.Serve(ctx, ln) })
	t.Cleanup(func() {
		cancel()
		group.Wait()
	})
	return ln.Addr().String(), r
}

// openLeaderSession opens a session as the leader of a term.
func openLeaderSession(t *testing.T, address string, term int64) wire.Stream {
	session, err := wire.Dial(t.Context(), address, nil)
	must.NoError(t, err)
	t.Cleanup(func() { _ = session.Close() })
	stream, err := session.Open(t.Context())
	must.NoError(t, err)
	must.NoError(t, stream.SetDeadline(time.Now().Add(5*time.Second)))
	must.NoError(t, stream.Send(&wirepb.LeaderMessage{Term: term, Agent: "a"}))
	return stream
}

// waitForSnapshot reads the agent's messages up to its snapshot and answers each heartbeat with
// a lease.
func waitForSnapshot(t *testing.T, stream wire.Stream) {
	for {
		var m wirepb.AgentMessage
		must.NoError(t, stream.Recv(&m))
		must.Zero(t, m.LaterTerm)
		must.NoError(t, stream.Send(&wirepb.LeaderMessage{Grant: &wirepb.LeaseGrant{Beat: m.Beat, HoldMs: 4000}}))
		if m.Snapshot {
			return
		}
	}
}

func startMessage(number int64) *wirepb.LeaderMessage {
	run := job.Run{Task: job.Task{Job: "00000000000000a1", Index: int(number)}, Number: number}
	return &wirepb.LeaderMessage{Starts: []*wirepb.StartOrder{{Details: &wirepb.RunDetails{Run: wire.RunRef(run)}}}}
}

// A leader of an earlier term is refused and receives the later term.
func TestFollower_OlderTermRefused(t *testing.T) {
	address, _ := startAgent(t)
	waitForSnapshot(t, openLeaderSession(t, address, 5))
	stream := openLeaderSession(t, address, 4)
	var m wirepb.AgentMessage
	must.NoError(t, stream.Recv(&m))
	test.Eq(t, 5, m.LaterTerm)
	test.False(t, m.Snapshot)
}

// An agent has the address that another agent had. The leader must not take this agent's runs for
// those of the other one, whose tasks it would start again.
func TestFollower_LeaderOfAnotherAgent(t *testing.T) {
	address, _ := startAgent(t)
	current := openLeaderSession(t, address, 5)
	waitForSnapshot(t, current)
	session, err := wire.Dial(t.Context(), address, nil)
	must.NoError(t, err)
	t.Cleanup(func() { _ = session.Close() })
	stream, err := session.Open(t.Context())
	must.NoError(t, err)
	must.NoError(t, stream.SetDeadline(time.Now().Add(5*time.Second)))
	var m wirepb.AgentMessage
	// Send fails if the agent ends the session before Send returns.
	if err := stream.Send(&wirepb.LeaderMessage{Term: 6, Agent: "b"}); err == nil {
		must.Error(t, stream.Recv(&m))
	}
	must.NoError(t, current.Recv(&m))
}

// Guards against agents that refuse the leader of an earlier version, which does not name the agent,
// during an upgrade.
func TestFollower_LeaderThatDoesNotNameTheAgent(t *testing.T) {
	address, _ := startAgent(t)
	session, err := wire.Dial(t.Context(), address, nil)
	must.NoError(t, err)
	t.Cleanup(func() { _ = session.Close() })
	stream, err := session.Open(t.Context())
	must.NoError(t, err)
	must.NoError(t, stream.SetDeadline(time.Now().Add(5*time.Second)))
	must.NoError(t, stream.Send(&wirepb.LeaderMessage{Term: 5}))
	waitForSnapshot(t, stream)
}

// After the agent has followed a leader of a later term, orders of the previous leader have
// no effect, although its connection is still open.
func TestFollower_OrdersOfReplacedLeader(t *testing.T) {
	address, r := startAgent(t)
	old := openLeaderSession(t, address, 5)
	waitForSnapshot(t, old)
	must.NoError(t, old.Send(startMessage(1)))
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return r.runs() == 1 }),
		wait.Timeout(5*time.Second), wait.Gap(5*time.Millisecond)))
	next := openLeaderSession(t, address, 6)
	waitForSnapshot(t, next)
	_ = old.Send(startMessage(2)) // fails or is dropped
	must.NoError(t, next.Send(startMessage(3)))
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return r.runs() == 2 }),
		wait.Timeout(5*time.Second), wait.Gap(5*time.Millisecond)))
	r.mu.Lock()
	defer r.mu.Unlock()
	test.Eq(t, 3, r.active[1].Run.Number)
}

// A start order that is delayed until its validity has expired is not carried out, and the run
// is reported as refused.
func TestFollower_ExpiredOrder(t *testing.T) {
	address, r := startAgent(t)
	stream := openLeaderSession(t, address, 5)
	waitForSnapshot(t, stream)
	expired, valid := startMessage(1), startMessage(2)
	expired.Starts[0].ValidUntil = int64(boottime.Now() - time.Millisecond)
	valid.Starts[0].ValidUntil = int64(boottime.Now() + time.Minute)
	must.NoError(t, stream.Send(expired))
	must.NoError(t, stream.Send(valid))
	for {
		var m wirepb.AgentMessage
		must.NoError(t, stream.Recv(&m))
		if len(m.Refusals) > 0 {
			test.Eq(t, string(runner.RefusedLate), m.Refusals[0].Reason)
			test.Eq(t, 1, m.Refusals[0].Run.Number)
			break
		}
	}
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return r.runs() == 1 }),
		wait.Timeout(5*time.Second), wait.Gap(5*time.Millisecond)))
	r.mu.Lock()
	defer r.mu.Unlock()
	test.Eq(t, 2, r.active[0].Run.Number)
}

// A refused leader receives the address of the current leader, since it may be unable to reach
// the store.
func TestFollower_ReportsLaterLeader(t *testing.T) {
	address, _ := startAgent(t)
	session, err := wire.Dial(t.Context(), address, nil)
	must.NoError(t, err)
	t.Cleanup(func() { _ = session.Close() })
	current, err := session.Open(t.Context())
	must.NoError(t, err)
	must.NoError(t, current.Send(&wirepb.LeaderMessage{Term: 7, Leader: "10.0.0.7:1", Agent: "a"}))
	waitForSnapshot(t, current)
	var m wirepb.AgentMessage
	must.NoError(t, openLeaderSession(t, address, 6).Recv(&m))
	test.Eq(t, 7, m.LaterTerm)
	test.Eq(t, "10.0.0.7:1", m.LaterLeader)
}

// A later start of a job is sent without its payload. A start that refers to a payload not
// received in the session ends the session and starts nothing.
func TestFollower_PayloadOnce(t *testing.T) {
	address, r := startAgent(t)
	stream := openLeaderSession(t, address, 5)
	waitForSnapshot(t, stream)
	first, second := startMessage(1), startMessage(2)
	first.Starts[0].Payload = "p"
	second.Starts[0].SamePayload = true
	must.NoError(t, stream.Send(first))
	must.NoError(t, stream.Send(second))
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return r.runs() == 2 }),
		wait.Timeout(5*time.Second), wait.Gap(5*time.Millisecond)))
	r.mu.Lock()
	test.Eq(t, []string{"p", "p"}, r.payloads)
	r.mu.Unlock()

	next := openLeaderSession(t, address, 5)
	waitForSnapshot(t, next)
	missing := startMessage(3)
	missing.Starts[0].SamePayload = true
	// Send fails if the agent ends the session before Send returns.
	for err := next.Send(missing); err == nil; {
		var m wirepb.AgentMessage
		err = next.Recv(&m)
	}
	test.Eq(t, 2, r.runs())
}

// namedSession is a session of which only the identity matters.
type namedSession struct {
	wire.Session
	name string
}

// Guards against an update that a replaced session takes and never delivers: a refused run would count
// as starting for good.
func TestFollower_ReplacedSessionTakesNoUpdate(t *testing.T) {
	s := supervisor.New(supervisor.Options{
		Logger: &log.Logger{Handler: discard.Default}, Now: boottime.Now, SteadyNow: boottime.Now, MaxLease: 5 * time.Second,
	})
	replaced, current := &namedSession{name: "replaced"}, &namedSession{name: "current"}
	f := New(Options{Supervisor: s, Now: boottime.Now})
	f.current = current
	s.Start(t.Context(), supervisor.Order{Details: supervisor.RunDetails{Run: job.Run{Number: 1}}})
	_, _, ok := f.nextMessage(replaced, true)
	must.False(t, ok)
	m, _, ok := f.nextMessage(current, true)
	must.True(t, ok)
	test.Len(t, 1, m.Refusals)
}

// Guards against a term out of range that makes the agent refuse all leaders, for ever.
func TestFollower_TermOutOfRange(t *testing.T) {
	address, _ := startAgent(t)
	for _, term := range []int64{ledger.MaxTermNumber + 1, math.MaxInt64, 0, -1, math.MinInt64} {
		session, err := wire.Dial(t.Context(), address, nil)
		must.NoError(t, err)
		t.Cleanup(func() { _ = session.Close() })
		stream, err := session.Open(t.Context())
		must.NoError(t, err)
		must.NoError(t, stream.SetDeadline(time.Now().Add(5*time.Second)))
		var m wirepb.AgentMessage
		// Send fails if the agent ends the session before Send returns.
		if err := stream.Send(&wirepb.LeaderMessage{Term: term, Agent: "a"}); err == nil {
			test.Error(t, stream.Recv(&m), test.Sprint(term))
		}
	}
	waitForSnapshot(t, openLeaderSession(t, address, 1))
	waitForSnapshot(t, openLeaderSession(t, address, ledger.MaxTermNumber))
}
