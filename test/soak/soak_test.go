// Package soak runs the real programs as separate processes against stand-ins of the
// platform, injects faults from outside the processes, and checks the scheduler's guarantees
// against what callers and runners observe.
package soak

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"bamboowood/internal/daemoncli"
	"bamboowood/internal/job"
)

var (
	firstSeed = flag.Int64("soak.seed", 1, "first seed")
	seeds     = flag.Int("soak.seeds", 1, "number of seeds to run in addition to the regression seeds")
	parallel  = flag.Int("soak.parallel", 4, "number of seeds to run in parallel")
	entries   = flag.Int("soak.entries", 3, "number of entries in each deployment")
	agents    = flag.Int("soak.agents", 4, "number of agents in each deployment")
	faults    = flag.Int("soak.faults", 14, "number of faults injected in each run")
	kinds     = flag.String("soak.kinds", "", "comma-separated options of TestSoak_Membership, instead of all")
	keep      = flag.String("soak.keep", "", "folder in which to keep the process logs of failed runs")
)

const (
	// faultWindow is the period in which faults start; convergeTimeout bounds the time from
	// the end of the last fault until all jobs have converged.
	faultWindow     = 10 * time.Second
	convergeTimeout = 40 * time.Second
	// settleTime is how long the load continues after the last fault, so that entries are in
	// touch for a while.
	settleTime = contactTime + time.Second
	// submitInterval is the mean time between two submitted jobs.
	submitInterval = 250 * time.Millisecond
)

// runAs names the program that the test binary runs as instead of the tests.
const runAs = "BAMBOOWOOD_TEST_RUN_AS"

func TestMain(m *testing.M) {
	if os.Getenv(runAs) == "bamboowoodd" {
		os.Exit(daemoncli.Main(os.Args[1:]))
	}
	flag.Parse()
	os.Exit(m.Run())
}

// regressions are seeds that once failed and always run.
var regressions = []int64{
	8,  // a start reached a runner's next incarnation under the same id, and its run was forgotten
	12, // the same, with a slow connection between agent and runner
	// 113 fails only with -faults 22: an acknowledgement for a runner's previous incarnation
	// made the next incarnation discard the end of a run.
	113,
	// An entry answered 404 for a confirmed route, and served a dropped one: its connections to
	// the store had gone silent, and it tried one after another.
	201, 214,
	216, // an acknowledgement reached a runner's next incarnation, as in 113, after a failed renewal
}

func TestSoak(t *testing.T) { runSeeds(t, regressions, nil) }

// Guards against an agent that takes the report of another VM's runner for its own runner's
// successor, and has all tasks of its own runner started again while they run.
func TestSoak_ReportReachesAnotherAgent(t *testing.T) {
	runSeeds(t, []int64{300, 303, 306, 311}, options{fallback})
}

// Guards against a third run of a task with a copy, a start after its recorded end, and jobs that never end
// since the runs of a task wait for each other, when leaders, agents and runners change meanwhile.
func TestSoak_SpeculativeSteps(t *testing.T) {
	runSeeds(t, []int64{500, 502}, options{speculative})
}

// Guards against an agent that drops runs which go on: their lease has neither ended nor is their
// runner's VM gone.
func TestSoak_Membership(t *testing.T) {
	chosen := options{fallback, membership, newID, pausedRunner, slowClock, refusedRunner, oddReport, oddRow}
	if *kinds != "" {
		chosen = strings.Split(*kinds, ",")
	}
	// 823: an agent restarted while its runner was replaced; the new process did not know the runs of the
	// old runner.
	// 1002: an entry started while its settings file was being written, and ended.
	runSeeds(t, []int64{400, 401, 402, 823, 1002}, chosen)
}

// Guards against an agent process that takes its VM for newly booted, and has all tasks of its runner started again
// while they run, because the store's clock has fallen behind since an earlier process.
func TestSoak_StoreClock(t *testing.T) {
	runSeeds(t, []int64{622, 631, 634}, options{storeClock})
}

// Guards against runs that are given up while they go on, when VMs lose power, zones are cut in one direction and
// writes to the store are late.
func TestSoak_Power(t *testing.T) {
	runSeeds(t, []int64{901, 902}, options{power})
}

// runSeeds runs the regression seeds and those that the flags name.
func runSeeds(t *testing.T, regressions []int64, o options) {
	reserveAddressBlock(t)
	all := append([]int64(nil), regressions...)
	for i := range *seeds {
		if seed := *firstSeed + int64(i); !slices.Contains(regressions, seed) {
			all = append(all, seed)
		}
	}
	slots := make(chan int, *parallel)
	for i := range *parallel {
		slots <- i
	}
	t.Run("seeds", func(t *testing.T) {
		for _, seed := range all {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				slot := <-slots
				t.Cleanup(func() { slots <- slot })
				soak(t, seed, slot, o)
			})
		}
	})
}

func soak(t *testing.T, seed int64, slot int, o options) {
	cl := newCluster(t, seed, slot, *entries, *agents, o)
	c := &callers{cluster: cl, client: &http.Client{Transport: &http.Transport{}}}
	schedule := append(cl.newSchedule(*faults, faultWindow), cl.optionalFaults(faultWindow)...)
	ctx, cancel := context.WithCancel(t.Context())
	settings := newSettingsCheck(cl)
	var load sync.WaitGroup
	load.Go(func() { c.run(ctx, submitInterval) })
	load.Go(func() { settings.run(ctx) })
	cl.injectFaults(schedule, settings)
	<-time.After(settleTime)
	cancel()
	load.Wait()
	faultsEnded := time.Now()
	cl.awaitConvergence(c)
	cl.checkInvariants()
	cl.checkDeadlines(settings)
	probes, judged := settings.check()
	t.Logf("%d jobs, %d runner events, %d copies, converged %s after the last fault; %d probes of %d configurations, %d of entries in touch",
		len(cl.jobs.all()), len(cl.history.all()), cl.copies, time.Since(faultsEnded).Round(time.Millisecond), probes, len(settings.versions), judged)
	for _, p := range cl.all() {
		if lines := p.logs.malformedLines(); lines != "" {
			cl.history.failf("%s wrote log lines that are not JSON:\n%s", p.name, lines)
		}
		if p.logs.contains("panic") {
			cl.history.failf("%s panicked", p.name)
		}
	}
	if failures := cl.history.failures(); len(failures) > 0 {
		t.Logf("fault schedule of seed %d:", seed)
		for _, f := range schedule {
			t.Log(f)
		}
		for _, f := range failures {
			t.Error(f)
		}
		dir := ""
		if *keep != "" {
			dir = filepath.Join(*keep, fmt.Sprint(seed))
		}
		cl.saveLogs(dir)
	}
}

// awaitConvergence waits until every accepted job has ended or, if it is long-running, is
// running. It records a failure for each job that has not converged within convergeTimeout.
func (cl *cluster) awaitConvergence(c *callers) {
	r := rand.New(rand.NewPCG(uint64(cl.seed), 6))
	deadline := time.Now().Add(convergeTimeout)
	problems := cl.unconverged(c, r)
	for len(problems) > 0 && time.Now().Before(deadline) {
		<-time.After(retryInterval)
		problems = cl.unconverged(c, r)
	}
	for _, problem := range problems {
		cl.history.failf("not converged %s after the last fault: %s", convergeTimeout, problem)
	}
}

func (cl *cluster) unconverged(c *callers, r *rand.Rand) (problems []string) {
	done := cl.history.doneTasks()
	active := 0
	for _, runner := range cl.runners {
		active += runner.Active()
	}
	requested := 0
	for _, s := range cl.jobs.all() {
		accepted, cancelSent, cancelled := s.outcome()
		if !accepted && !cancelled {
			continue
		}
		state, missing := c.state(s, r)
		switch {
		case missing && !cancelSent:
			problems = append(problems, s.id+" was accepted, but an entry answers that it is gone")
		case state == job.Completed && !cl.allTasksDone(s, done):
			problems = append(problems, s.id+" is reported as completed, but not all of its tasks are done")
		case cancelled && state != job.Cancelled && state != job.Completed && state != job.Failed:
			problems = append(problems, fmt.Sprintf("%s was cancelled, but its state is %q", s.id, state))
		case s.longRunning && !cancelSent && state == job.Running:
			requested += s.tasks[0]
		case !cancelSent && state != job.Completed && state != job.Failed:
			problems = append(problems, fmt.Sprintf("the state of %s is %q", s.id, state))
		}
	}
	if len(problems) == 0 && active < min(requested, cl.presentVMs()*runnerCPU/taskCPU) {
		problems = append(problems, fmt.Sprintf("%d tasks are running, %d long-running tasks were requested", active, requested))
	}
	return problems
}

func (cl *cluster) allTasksDone(s *submission, done map[string]bool) bool {
	for step, n := range s.tasks {
		for i := range n {
			if !done[job.Task{Job: s.id, Step: step, Index: i}.String()] {
				return false
			}
		}
	}
	return true
}
