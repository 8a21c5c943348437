package placement

import (
	"bamboowood/internal/structs"
)

// Candidate is a VM during a pass, with what the pass has given away already.
type Candidate struct {
	*VM
	// Free is what is left; it is below zero where room that is still being
	// cleared has been promised.
	Free structs.Resources
	// Releasing is held by tasks that are leaving.
	Releasing structs.Resources
	// Placed counts the bindings of this pass.
	Placed int

	evictable []*ReservedTask // see victims
	sorted    bool

	harm    float64 // see countHarm
	unknown int
	kinds   map[string]int
	counted bool
}

// Filter drops VMs that must not take a task.
type Filter interface {
	Keep(t *Task, vm *Candidate) bool
}

// Scorer rates a VM that may take a task; lower is better. Scores of several
// scorers are added; each is about within 0 and 1 at weight 1.
type Scorer interface {
	Score(t *Task, vm *Candidate) float64
}

// Slowdowns is what is known of the slowdown that a kind of task brings to a counter
// service on the same VM.
type Slowdowns interface {
	// Slowdown returns the estimated factor (1: none) and its standard error.
	Slowdown(service, kind string) (factor, stderr float64)
}

// passPairs keeps the estimates that a pass has asked for, so that all its
// decisions are made on the same ones.
type passPairs struct {
	pairs Slowdowns
	known map[pairKey]estimate
}

type pairKey struct{ service, kind string }

type estimate struct{ factor, stderr float64 }

// Slowdown implements Slowdowns.
func (p *passPairs) Slowdown(service, kind string) (factor, stderr float64) {
	key := pairKey{service, kind}
	e, ok := p.known[key]
	if !ok {
		e.factor, e.stderr = p.pairs.Slowdown(service, kind)
		p.known[key] = e
	}
	return e.factor, e.stderr
}

// limitPerVM keeps a VM that has just become free from being filled at once.
type limitPerVM struct{ limit int }

// Keep implements Filter.
func (f limitPerVM) Keep(_ *Task, vm *Candidate) bool { return vm.Placed < f.limit }

// avoidHarmful bounds what tasks may do to the counter services of a VM: it drops
// pairs that are known to be harmful, keeps the sum of the estimated slowdowns
// within a budget, and lets only a few tasks of unknown effect run at once.
type avoidHarmful struct {
	pairs Slowdowns
	// limit is the slowdown factor of one task: the estimate less two standard
	// errors must not be above it.
	limit float64
	// budget bounds the sum of all tasks' estimated slowdowns above 1.
	budget float64
	// unknown bounds the tasks whose standard error is above knownStdErr.
	unknown int
}

// maxSumStdErr bounds the uncertainty of all tasks of a kind on a VM, which share
// the error of their estimate: the better a kind is known, the more may come.
const maxSumStdErr = 0.2

// negligibleHarm is a slowdown above 1 that the budget is not asked for.
const negligibleHarm = 0.02

// knownStdErr is the standard error below which a slowdown counts as known.
const knownStdErr = 0.1

// Keep implements Filter.
func (f avoidHarmful) Keep(t *Task, vm *Candidate) bool {
	if len(vm.Services) == 0 {
		return true
	}
	vm.countHarm(f.pairs)
	harm, stderr := worstHarm(f.pairs, vm.Services, t.Name)
	switch {
	case 1+harm-2*stderr > f.limit:
		return false
	case stderr > knownStdErr:
		return vm.unknown < f.unknown
	}
	if float64(vm.named(t.Name)+1)*stderr > maxSumStdErr {
		return false
	}
	return harm <= negligibleHarm || vm.harm+harm <= f.budget
}

// worstHarm returns the greatest estimated slowdown above 1 over the services,
// and its standard error.
func worstHarm(pairs Slowdowns, services []string, kind string) (harm, stderr float64) {
	for i, service := range services {
		factor, deviation := pairs.Slowdown(service, kind)
		if i == 0 || factor-1 > harm {
			harm, stderr = factor-1, deviation
		}
	}
	return harm, stderr
}

// countHarm sums up, once a pass, what the tasks held by the VM do.
func (c *Candidate) countHarm(pairs Slowdowns) {
	if c.counted {
		return
	}
	c.counted = true
	for i := range c.Tasks {
		if !c.Tasks[i].Leaving {
			c.addHarm(pairs, c.Tasks[i].Name)
		}
	}
}

// named returns how many tasks of a kind the VM has, after countHarm.
func (c *Candidate) named(kind string) int { return c.kinds[kind] }

func (c *Candidate) addHarm(pairs Slowdowns, kind string) {
	if c.kinds == nil {
		c.kinds = map[string]int{}
	}
	c.kinds[kind]++
	harm, stderr := worstHarm(pairs, c.Services, kind)
	if stderr > knownStdErr {
		c.unknown++
		return
	}
	c.harm += max(0, harm)
}

// bestFit prefers the VM that is left with the least, and keeps VMs with
// accelerators for tasks that use them.
type bestFit struct{}

// Score implements Scorer.
func (bestFit) Score(t *Task, vm *Candidate) float64 {
	score := ratio(vm.Free.MilliCPU-t.Size.MilliCPU, 2*vm.Capacity.MilliCPU) +
		ratio(vm.Free.MemoryMB-t.Size.MemoryMB, 2*vm.Capacity.MemoryMB)
	if t.Size.Accelerators == 0 && vm.Free.Accelerators > 0 {
		score++
	}
	return score
}

// leastHarm prefers VMs whose counter services the kind slows least.
type leastHarm struct {
	pairs  Slowdowns
	weight float64
	// explore lowers the estimate by this many standard errors, so that pairs
	// that nothing is known of are tried at times.
	explore float64
}

// Score implements Scorer.
func (s leastHarm) Score(t *Task, vm *Candidate) float64 {
	harm, stderr := worstHarm(s.pairs, vm.Services, t.Name)
	return s.weight * max(0, harm-s.explore*stderr)
}

// avoidFailing prefers VMs on which few different jobs have failed.
type avoidFailing struct{ weight float64 }

// Score implements Scorer.
func (s avoidFailing) Score(_ *Task, vm *Candidate) float64 {
	return s.weight * failureRatio(vm.VM)
}

// failurePrior is the number of successes that each VM is credited with.
const failurePrior = 2

func failureRatio(vm *VM) float64 {
	return float64(vm.Failed) / float64(max(vm.Ran, vm.Failed)+failurePrior)
}

// spread counts the watches of each name by zone, rack and VM and prefers places
// that have few of them.
type spread struct {
	weight float64
	counts map[spreadKey]int
}

type spreadKey struct{ name, scope, place string }

func newSpread(s *Snapshot, weight float64) *spread {
	c := &spread{weight: weight, counts: map[spreadKey]int{}}
	for i := range s.VMs {
		for j := range s.VMs[i].Tasks {
			if h := &s.VMs[i].Tasks[j]; h.Kind == structs.KindWatch {
				c.add(h.Name, &s.VMs[i])
			}
		}
	}
	return c
}

func (c *spread) add(name string, vm *VM) {
	c.counts[spreadKey{name, "zone", vm.Zone}]++
	c.counts[spreadKey{name, "rack", vm.Zone + "/" + vm.Rack}]++
	c.counts[spreadKey{name, "vm", vm.ID}]++
}

// Score implements Scorer.
func (c *spread) Score(t *Task, vm *Candidate) float64 {
	if t.Kind != structs.KindWatch {
		return 0
	}
	zone := c.counts[spreadKey{t.Name, "zone", vm.Zone}]
	rack := c.counts[spreadKey{t.Name, "rack", vm.Zone + "/" + vm.Rack}]
	own := c.counts[spreadKey{t.Name, "vm", vm.ID}]
	return c.weight * float64(zone+rack+own)
}
