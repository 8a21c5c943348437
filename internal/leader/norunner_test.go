package leader

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"bamboowood/internal/boottime"
	"bamboowood/internal/follower"
	"bamboowood/internal/ledger"
	"bamboowood/internal/supervisor"
	"bamboowood/platform"
)

// runAgentWithoutRunner runs an agent's process whose runner's address refuses connections, until the test
// ends. The agent is registered already.
func runAgentWithoutRunner(t *testing.T, jobLedger *ledger.Ledger, name, bootID string, lease time.Duration, advisor follower.Advisor) (stop func()) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	must.NoError(t, jobLedger.RegisterAgent(t.Context(), name, ln.Addr().String()))
	logger := &log.Logger{Handler: discard.Default}
	started := time.Now()
	s := supervisor.New(supervisor.Options{
		Runner: platform.NewRunner("127.0.0.1:1"), Logger: logger, Now: boottime.Now,
		SteadyNow: func() time.Duration { return time.Since(started) }, MaxLease: lease, FirstToken: 1,
	})
	f := follower.New(follower.Options{
		Supervisor: s, Ledger: jobLedger, Logger: logger, Advisor: advisor, Name: name, Address: ln.Addr().String(), Now: boottime.Now,
		Boot: jobLedger.NewBootRegistration(name, testMachine(bootID)),
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{}, 3)
	for _, run := range []func(context.Context) error{s.Run, f.Register, func(ctx context.Context) error { return f.Serve(ctx, ln) }} {
		go func() {
			_ = run(ctx) // returns when ctx is done
			done <- struct{}{}
		}()
	}
	stop = sync.OnceFunc(func() {
		cancel()
		for range cap(done) {
			<-done
		}
	})
	t.Cleanup(stop)
	return stop
}

// startBesideAgentWithoutRunner returns how long after the begin of its term a leader starts a recovered job
// on an agent, while another one has come up without a runner.
func startBesideAgentWithoutRunner(t *testing.T, bootID string) time.Duration {
	hooked, _ := newHookedStore(t)
	jobLedger := newLedger(hooked)
	_, err := jobLedger.NewBootRegistration("a", testMachine("boot-1")).Register(t.Context())
	must.NoError(t, err)
	b := newFakeAgent(t)
	must.NoError(t, jobLedger.RegisterAgent(t.Context(), "b", b.address))
	must.NoError(t, jobLedger.Accept(t.Context(), testJob(1)))
	runAgentWithoutRunner(t, jobLedger, "a", bootID, 5*time.Second, nil)
	began := boottime.Now()
	runLeader(t, jobLedger)
	return b.await(t, hasStarts).at - began
}

// Guards against a leader that waits for the lease of an earlier process on a machine without a runner, on
// which nothing can be alive since its boot.
func TestLeader_FirstProcessOfABootWithoutRunner(t *testing.T) {
	test.Less(t, time.Second, startBesideAgentWithoutRunner(t, "boot-2"))
}

// Guards against a leader that waits for its own bound although the agent's wait for the lease of an earlier
// process has ended.
func TestLeader_LaterProcessOfABootWithoutRunner(t *testing.T) {
	t.Parallel()
	test.Less(t, 7*time.Second, startBesideAgentWithoutRunner(t, "boot-1"))
}

// testMachine returns a machine, the clock of which begins with the second boot.
func testMachine(bootID string) boottime.Machine {
	m := boottime.ThisMachine("vm")
	m.BootID = bootID
	if began := boottime.Now(); bootID == "boot-2" {
		m.Clock = func() time.Duration { return boottime.Now() - began }
	}
	return m
}
