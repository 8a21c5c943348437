package follower

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/shoenig/test"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"bamboowood/internal/job"
	"bamboowood/internal/planner"
	"bamboowood/internal/supervisor"
	"bamboowood/internal/wire"
	"bamboowood/internal/wire/wirepb"
)

const (
	modelTick = 20 * time.Millisecond
	// modelReorder bounds by how much an order is delayed and thereby overtaken by others.
	modelReorder  = 600 * time.Millisecond
	modelMargin   = 300 * time.Millisecond
	modelValidity = 1800 * time.Millisecond
)

// modelSession is a session whose messages the model carries.
type modelSession struct {
	wire.Session
	m    *machine
	done chan struct{}
	in   []timedMessage
}

type timedMessage struct {
	at time.Duration
	m  *wirepb.AgentMessage
}

func (s *modelSession) Done() <-chan struct{} { return s.done }

func (s *modelSession) Close() error {
	s.m.mu.Lock()
	defer s.m.mu.Unlock()
	s.closeLocked()
	return nil
}

func (s *modelSession) closeLocked() {
	select {
	case <-s.done:
	default:
		close(s.done)
	}
}

type modelStream struct {
	wire.Stream
	s *modelSession
}

func (s modelStream) Send(m proto.Message) error {
	w := s.s.m.world
	w.mu.Lock()
	defer w.mu.Unlock()
	at := w.now()
	if n := len(s.s.in); n > 0 {
		at = max(at, s.s.in[n-1].at)
	}
	if w.chance(4) {
		at += time.Duration(w.rand.IntN(300)) * time.Millisecond
	}
	s.s.in = append(s.s.in, timedMessage{at, proto.Clone(m).(*wirepb.AgentMessage)})
	return nil
}

type timedOrder struct {
	at time.Duration
	m  *wirepb.LeaderMessage
}

// machine is an agent with its runner, and the leader's end of its session.
type machine struct {
	*world
	name    string
	runner  *modelRunner
	agent   *Follower
	ctx     context.Context
	kill    func()
	serial  int64
	reports int64

	session            *modelSession
	out                []timedOrder
	connected          bool
	grantedAt, retryAt time.Duration
	ends               int64
	endsOf             string
}

// startAgent starts a new agent process. The runner lives on.
func (m *machine) startAgent(t *testing.T) {
	if m.kill != nil {
		m.kill()
	}
	m.serial++
	logger := &log.Logger{Handler: discard.Default}
	sup := supervisor.New(supervisor.Options{
		Runner: m.runner, Logger: logger, Now: m.now, SteadyNow: m.now, MaxLease: modelLease, FirstToken: m.serial * 1000,
	})
	sup.BootRegistered(supervisor.LaterInBoot)
	m.agent = New(Options{Supervisor: sup, Logger: logger, Name: m.name, Now: m.now})
	ctx, cancel := context.WithCancel(t.Context())
	m.ctx, m.kill = ctx, cancel
	go func() { _ = sup.Run(ctx) }()
	go func() {
		for ctx.Err() == nil {
			m.mu.Lock()
			m.reports++
			r := job.Runner{
				ID: m.runner.id, StartTime: m.runner.born, Service: "desk", Zone: "z1", Sequence: m.reports,
				Capacity: job.Resources{CPU: 6000, MemoryMB: 6000},
			}
			m.mu.Unlock()
			_ = sup.RunnerReported(ctx, r, "")
			time.Sleep(100 * time.Millisecond)
		}
	}()
	m.dial()
}

// dial opens a session.
func (m *machine) dial() {
	s := &modelSession{m: m, done: make(chan struct{})}
	m.agent.setCurrent(s, &wirepb.LeaderMessage{Term: 1})
	m.session, m.out, m.connected = s, nil, false
	go m.agent.sendLoop(m.ctx, s, modelStream{s: s})
}

// script is what happens in one run of the model.
type script struct {
	Seed   uint64
	Events []event
}

type event struct {
	Kind    string
	Machine int
	After   int
}

// play runs a script and returns what was seen against the invariants.
func play(t *testing.T, sc script, limit time.Duration) (problems []string, starts int) {
	synctest.Test(t, func(t *testing.T) {
		w := &world{
			rand: rand.New(rand.NewPCG(sc.Seed, 1)), faults: true, limit: limit, origin: time.Now().Add(-time.Hour), alive: map[job.Task]map[job.Run]bool{},
			planned: map[job.Run]string{}, done: map[job.Task]bool{}, lasting: map[string]bool{},
		}
		l := &leader{world: w, network: rand.New(rand.NewPCG(sc.Seed, 2)), stopped: map[job.Run]time.Duration{}, p: planner.New(planner.Options{Term: 1, EndedRetention: time.Hour, RemoteFactor: 1})}
		duty := func(task job.Task) time.Duration {
			if w.lasting[task.Job] {
				return time.Hour
			}
			return time.Duration(200+100*task.Index) * time.Millisecond
		}
		for i := range 3 {
			m := &machine{world: w, name: fmt.Sprintf("a%d", i), runner: &modelRunner{world: w, duty: duty}}
			m.runner.restart(m.name+"-0", 1)
			m.startAgent(t)
			l.machines = append(l.machines, m)
		}
		jobs := 0
		advance := func(d time.Duration) {
			for end := w.now() + d; w.now() < end; {
				time.Sleep(modelTick)
				l.step()
			}
		}
		for _, e := range sc.Events {
			advance(time.Duration(e.After) * modelTick)
			l.event(t, e, &jobs)
		}
		w.mu.Lock()
		w.faults, l.calm = false, true
		w.mu.Unlock()
		advance(9 * time.Second)
		w.mu.Lock()
		for _, runs := range w.alive {
			for run := range runs {
				if at, stopped := l.stopped[run]; stopped && w.now()-at > 3*time.Second {
					w.problem("%v runs on, ordered to stop at %s", run, at)
				}
			}
		}
		problems, starts = w.problems, w.starts
		w.mu.Unlock()
		for _, m := range l.machines {
			_ = m.session.Close()
			m.kill()
		}
		time.Sleep(10 * time.Second)
	})
	return problems, starts
}

func (l *leader) event(t *testing.T, e event, jobs *int) {
	m := l.machines[e.Machine]
	now := planner.Instant{Mono: l.now(), Wall: time.Unix(0, 0).Add(l.now())}
	switch e.Kind {
	case "job", "lasting job":
		*jobs++
		l.mu.Lock()
		l.lasting[fmt.Sprintf("%016x", *jobs)] = e.Kind != "job"
		l.mu.Unlock()
		l.p.AddJob(now, &job.Job{
			ID: fmt.Sprintf("%016x", *jobs), AcceptedAt: now.Wall,
			Queue: job.Queue{Name: "q", Service: "desk", MaxAttempts: 100, Stretch: 2, Slack: time.Second},
			Steps: []job.Step{{Tasks: 5, CPU: 1000, MemoryMB: 1000, Estimate: time.Second, Continuous: e.Kind != "job"}},
		}, nil, false)
	case "cancel":
		if *jobs > 0 {
			l.p.Cancel(l.now(), fmt.Sprintf("%016x", *jobs))
		}
	case "cut":
		_ = m.session.Close()
		m.agent.release(m.session)
	case "agent":
		_ = m.session.Close()
		l.p.AgentLost(m.name, m.grantedAt+modelLease+modelMargin)
		m.retryAt = 0
		m.startAgent(t)
	case "away":
		_ = m.session.Close()
		m.agent.release(m.session)
		l.p.AgentLost(m.name, m.grantedAt+modelLease+modelMargin)
		m.connected, m.retryAt = false, l.now()+2*modelLease
	case "same id":
		l.mu.Lock()
		m.serial++
		m.runner.restart(m.runner.id, m.serial+1)
		m.reports = 0
		l.mu.Unlock()
	case "runner":
		l.mu.Lock()
		m.serial++
		m.runner.restart(fmt.Sprintf("%s-%d", m.name, m.serial), m.serial+1)
		m.reports = 0
		l.mu.Unlock()
	}
}

// Guards against orders that take effect other than as decided when messages are split, repeated, reordered
// and delayed, and runners and agents restart in between: a run that was ordered to stop runs on (UNASKED), a
// start is carried out on another incarnation than planned (ROUTE), or a task has two live runs or is started
// after its end as done was acknowledged (TWICE).
func TestFollower_OrdersTakeEffectAsDecided(t *testing.T) {
	total := 0
	rapid.Check(t, func(rt *rapid.T) {
		sc := script{Seed: rapid.Uint64().Draw(rt, "seed"), Events: rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) event {
			return event{
				Kind:    rapid.SampledFrom([]string{"job", "job", "lasting job", "cancel", "cut", "agent", "runner"}).Draw(rt, "kind"),
				Machine: rapid.IntRange(0, 2).Draw(rt, "machine"),
				After:   rapid.IntRange(0, 30).Draw(rt, "after"),
			}
		}), 10, 30).Draw(rt, "events")}
		problems, starts := play(t, sc, modelLease)
		total += starts
		if len(problems) > 0 {
			rt.Fatalf("%d problems, the first: %s", len(problems), problems[0])
		}
	})
	t.Logf("%d starts", total)
}

// Guards against runs that are given up while they go on, where runners limit leases later than agents do: a call
// for an incarnation that takes effect on the next one under its id gives that a lease until the runner's limit, for
// which neither the agent nor the leader allows.
func TestFollower_RunnersLimitLeasesLater(t *testing.T) {
	for name, limit := range map[string]time.Duration{"limit as the agent's": modelLease, "limit of 10 s beside 6 s": modelLease * 10 / 6} {
		t.Run(name, func(t *testing.T) {
			total, failed := 0, 0
			for seed := range uint64(100) {
				r := rand.New(rand.NewPCG(seed, 3))
				sc := script{Seed: seed}
				for range 8 {
					m := r.IntN(3)
					sc.Events = append(sc.Events, event{"lasting job", m, 10 + r.IntN(150)}, event{"same id", m, 0}, event{"away", m, 10 + r.IntN(60)})
				}
				problems, starts := play(t, sc, limit)
				total += starts
				if len(problems) > 0 {
					failed++
					t.Logf("seed %d: %s", seed, problems[0])
				}
			}
			test.Zero(t, failed, test.Sprintf("of 100 scripts, with %d starts", total))
		})
	}
}
