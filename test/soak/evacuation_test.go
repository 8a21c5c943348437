package soak

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test"

	"bamboowood/internal/job"
	"bamboowood/platform/platformtest"
)

// Bounds of the platform for starts. startSlack allows for the time between a confirmation and its observation.
const (
	evacuationDeadline = 5 * time.Second
	cancelDeadline     = 3 * time.Second
	startSlack         = 250 * time.Millisecond
)

const (
	drainableZone = "z2"
	// partialFaults is the number of times in a run that the store refuses an entry's reads of one table.
	partialFaults = 6
)

// drain is a time in which drainableZone is drained, from the confirmation of the evacuation to its end.
type drain struct{ from, to time.Time }

// zoneOf returns the zone of a VM: one of two in turn if a zone is drained.
func (cl *cluster) zoneOf(vm int) string {
	if cl.options.has(evacuation) && vm%2 == 1 {
		return drainableZone
	}
	return "z1"
}

// Guards against starts in a drained zone or of a cancelled job by a leader that renews its term while it cannot read
// the operator settings or the cancels.
func TestSoak_ReadsOfOneTableRefused(t *testing.T) {
	runSeeds(t, []int64{700, 7000}, options{evacuation})
}

// evacuationFaults returns two drains of a zone, and faults in which the store refuses an entry's reads of one
// table. They have random numbers of their own.
func (cl *cluster) evacuationFaults(window time.Duration) (schedule []fault) {
	r := rand.New(rand.NewPCG(uint64(cl.seed), 10))
	first, pause := randomDuration(r, 0, window/4), randomDuration(r, time.Second, 2*time.Second)
	lengths := []time.Duration{randomDuration(r, window/2, window), randomDuration(r, window/2, window)}
	schedule = append(schedule, fault{
		at: first, description: fmt.Sprintf("drain %s for %s, and after %s for %s", drainableZone, lengths[0], pause, lengths[1]),
		run: func() {
			cl.drainFor(lengths[0])
			<-time.After(pause)
			cl.drainFor(lengths[1])
		},
	})
	for range partialFaults {
		p, table, d := pick(r, cl.entries), pick(r, []string{"op", "cancels"}), randomDuration(r, time.Second, window)
		schedule = append(schedule, fault{
			at: randomDuration(r, 0, window), description: fmt.Sprintf("store refuses reads of %s by %s for %s", table, p.name, d),
			run: func() {
				allow := p.storeGate.RefuseReads(table)
				<-time.After(d)
				allow()
			},
			disturbs: []*process{p}, how: refused,
		})
	}
	return schedule
}

func (cl *cluster) drainFor(d time.Duration) {
	cl.store.WriteOperator("evacuate/"+drainableZone, []byte("{}"))
	from := time.Now()
	<-time.After(d)
	// Starts that follow the end of the evacuation are observed later than now.
	cl.drains = append(cl.drains, drain{from, time.Now()})
	cl.store.WriteOperator("evacuate/"+drainableZone, nil)
}

// checkDeadlines checks that nothing started in a drained zone, and no task of a cancelled job, once the bound had
// passed, whatever happened to the entries. Starts through a disturbed agent may have been carried out late.
func (cl *cluster) checkDeadlines(c *settingsCheck) {
	vms := map[string]*vm{}
	for _, v := range cl.vms {
		for _, r := range v.runners {
			vms[r.ID] = v
		}
	}
	for _, e := range cl.history.all() {
		v := vms[e.Runner]
		if e.Kind != platformtest.RunStarted || c.disturbed(v.agent, e.ReceivedAt.Add(-contactTime), e.ReceivedAt) {
			continue
		}
		for _, d := range cl.drains {
			if late := e.ReceivedAt.Sub(d.from) - evacuationDeadline; v.zone == drainableZone && late > startSlack && e.ReceivedAt.Before(d.to) {
				cl.history.failf("%s (run %d) started on %s %s after its zone had to be drained", e.Task, e.Run, e.Runner, late)
			}
		}
		parsed, err := job.ParseTask(e.Task)
		if s := cl.jobs.find(parsed.Job); err == nil && s != nil && s.cancelled {
			if late := e.ReceivedAt.Sub(s.cancelledAt) - cancelDeadline; late > startSlack {
				cl.history.failf("%s (run %d) started on %s %s after its cancel had to be in force", e.Task, e.Run, e.Runner, late)
			}
		}
	}
}

// disturbed reports whether a fault affected a process between two times.
func (c *settingsCheck) disturbed(p *process, from, to time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, d := range c.disturbances[p] {
		if d.from.Before(to) && d.to.After(from) {
			return true
		}
	}
	return false
}

// Guards against a check that counts an order which a paused runner carries out after the bound, though it arrived
// before, or lets pass one that arrived after it.
func TestCheckDeadlines_OrderCarriedOutLate(t *testing.T) {
	for _, c := range []struct {
		received time.Duration // after the cancel
		failures int
	}{{cancelDeadline, 0}, {cancelDeadline + time.Second, 1}} {
		cl := &cluster{t: t, jobs: newWorkload(1, 1), vms: []*vm{{agent: &process{}, runners: []*platformtest.Runner{{ID: "i"}}}}}
		s := cl.jobs.next(rand.New(rand.NewPCG(1, 1)))
		s.cancelled, s.cancelledAt = true, time.Now()
		cl.history.add(platformtest.RunnerEvent{
			Kind: platformtest.RunStarted, Runner: "i", Task: job.Task{Job: s.id}.String(), Run: 1,
			ReceivedAt: s.cancelledAt.Add(c.received), At: s.cancelledAt.Add(2 * cancelDeadline),
		})
		cl.checkDeadlines(&settingsCheck{})
		test.Len(t, c.failures, cl.history.failures())
	}
}
