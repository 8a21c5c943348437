package placement

import (
	"bamboowood/internal/structs"
)

// Candidate is a ready VM with the state of the current pass.
type Candidate struct {
	*VM
	// Free is the capacity that this pass has not assigned. It is negative where
	// capacity of tasks that are still leaving has been assigned.
	Free structs.Resources
	// Leaving is the capacity reserved for tasks that are leaving.
	Leaving structs.Resources
	// Bindings counts the bindings to the VM in this pass.
	Bindings int

	evictable     []*ReservedTask // see victims
	victimsSorted bool

	slowdownSum     float64 // see sumSlowdowns
	unknown         int
	countByName     map[string]int
	slowdownsSummed bool
}

// Filter removes VMs that are not feasible for a task.
type Filter interface {
	Keep(t *Task, vm *Candidate) bool
}

// Scorer rates a feasible VM for a task; a lower score is better. The scores of all
// scorers are added. Each is roughly between 0 and 1 at weight 1.
type Scorer interface {
	Score(t *Task, vm *Candidate) float64
}

// Slowdowns estimates how much the tasks of a spec name slow down a service on the same
// VM.
type Slowdowns interface {
	// Slowdown returns the estimated slowdown factor, 1 without effect, and its
	// standard error.
	Slowdown(service, taskName string) (factor, stderr float64)
}

// slowdownCache caches the estimates read during a pass, so that all decisions of the
// pass use the same values.
type slowdownCache struct {
	source    Slowdowns
	estimates map[estimateKey]estimate
}

type estimateKey struct{ service, taskName string }

type estimate struct{ factor, stderr float64 }

// Slowdown implements Slowdowns.
func (c *slowdownCache) Slowdown(service, taskName string) (factor, stderr float64) {
	key := estimateKey{service, taskName}
	e, ok := c.estimates[key]
	if !ok {
		e.factor, e.stderr = c.source.Slowdown(service, taskName)
		c.estimates[key] = e
	}
	return e.factor, e.stderr
}

// limitPerVM limits the bindings per pass, so that an empty VM is not filled at once.
type limitPerVM struct{ limit int }

// Keep implements Filter.
func (f limitPerVM) Keep(_ *Task, vm *Candidate) bool { return vm.Bindings < f.limit }

// limitSlowdown limits the slowdown of the services on a VM: it excludes tasks whose
// spec name slows a service down too much, keeps the sum of the estimated slowdowns within a
// budget, and limits the tasks of unknown effect that run at the same time.
type limitSlowdown struct {
	slowdowns Slowdowns
	// limit is the maximum slowdown factor of one task, compared with the estimate less
	// two standard errors.
	limit float64
	// budget limits the sum of the estimated slowdowns above 1 of all tasks.
	budget float64
	// unknown limits the tasks whose standard error is above maxKnownStdErr.
	unknown int
}

// maxSumStdErr limits the sum of the standard errors of all tasks of one spec
// name on a VM. These tasks share the error of their estimate, so the errors add up: the
// more precise the estimate, the more tasks of the name may run.
const maxSumStdErr = 0.2

// negligibleSlowdown is the slowdown above 1 up to which a task is allowed even if the
// budget is used up.
const negligibleSlowdown = 0.02

// maxKnownStdErr is the standard error up to which a slowdown counts as known.
const maxKnownStdErr = 0.1

// Keep implements Filter.
func (f limitSlowdown) Keep(t *Task, vm *Candidate) bool {
	if len(vm.Services) == 0 {
		return true
	}
	vm.sumSlowdowns(f.slowdowns)
	slowdown, stderr := worstSlowdown(f.slowdowns, vm.Services, t.Name)
	switch {
	case 1+slowdown-2*stderr > f.limit:
		return false
	case stderr > maxKnownStdErr:
		return vm.unknown < f.unknown
	}
	if float64(vm.countNamed(t.Name)+1)*stderr > maxSumStdErr {
		return false
	}
	return slowdown <= negligibleSlowdown || vm.slowdownSum+slowdown <= f.budget
}

// worstSlowdown returns the greatest estimated slowdown above 1 over the services, and
// its standard error.
func worstSlowdown(slowdowns Slowdowns, services []string, taskName string) (slowdown, stderr float64) {
	for i, service := range services {
		factor, deviation := slowdowns.Slowdown(service, taskName)
		if i == 0 || factor-1 > slowdown {
			slowdown, stderr = factor-1, deviation
		}
	}
	return slowdown, stderr
}

// sumSlowdowns adds up, once per pass, the slowdowns of the tasks reserved on the VM
// that are not leaving.
func (c *Candidate) sumSlowdowns(slowdowns Slowdowns) {
	if c.slowdownsSummed {
		return
	}
	c.slowdownsSummed = true
	for i := range c.Tasks {
		if !c.Tasks[i].Leaving {
			c.addSlowdown(slowdowns, c.Tasks[i].Name)
		}
	}
}

// countNamed returns the number of tasks of a spec name on the VM. Call sumSlowdowns
// first.
func (c *Candidate) countNamed(taskName string) int { return c.countByName[taskName] }

func (c *Candidate) addSlowdown(slowdowns Slowdowns, taskName string) {
	if c.countByName == nil {
		c.countByName = map[string]int{}
	}
	c.countByName[taskName]++
	slowdown, stderr := worstSlowdown(slowdowns, c.Services, taskName)
	if stderr > maxKnownStdErr {
		c.unknown++
		return
	}
	c.slowdownSum += max(0, slowdown)
}

// bestFit prefers the VM with the least capacity left after the placement, and avoids
// VMs with free accelerators for tasks that use none.
type bestFit struct{}

// Score implements Scorer.
func (bestFit) Score(t *Task, vm *Candidate) float64 {
	score := fraction(vm.Free.MilliCPU-t.Size.MilliCPU, 2*vm.Capacity.MilliCPU) +
		fraction(vm.Free.MemoryMB-t.Size.MemoryMB, 2*vm.Capacity.MemoryMB)
	if t.Size.Accelerators == 0 && vm.Free.Accelerators > 0 {
		score++
	}
	return score
}

// leastSlowdown prefers VMs whose services the task slows down least.
type leastSlowdown struct {
	slowdowns Slowdowns
	weight    float64
	// explore is the number of standard errors subtracted from the estimate, so that
	// combinations without measurements are tried at times.
	explore float64
}

// Score implements Scorer.
func (s leastSlowdown) Score(t *Task, vm *Candidate) float64 {
	slowdown, stderr := worstSlowdown(s.slowdowns, vm.Services, t.Name)
	return s.weight * max(0, slowdown-s.explore*stderr)
}

// avoidFailing prefers VMs on which few different jobs have failed.
type avoidFailing struct{ weight float64 }

// Score implements Scorer.
func (s avoidFailing) Score(_ *Task, vm *Candidate) float64 {
	return s.weight * failureRatio(vm.VM)
}

// failurePrior is the number of successful jobs credited to each VM in its failure ratio.
const failurePrior = 2

func failureRatio(vm *VM) float64 {
	return float64(vm.Failed) / float64(max(vm.Ran, vm.Failed)+failurePrior)
}

// spread counts the watches of each name by zone, rack and VM, and prefers zones, racks
// and VMs with few of them.
type spread struct {
	weight float64
	counts map[spreadKey]int
}

type spreadKey struct{ name, scope, place string }

func newSpread(s *Snapshot, weight float64) *spread {
	result := &spread{weight: weight, counts: map[spreadKey]int{}}
	for i := range s.VMs {
		for j := range s.VMs[i].Tasks {
			if t := &s.VMs[i].Tasks[j]; t.Kind == structs.KindWatch {
				result.add(t.Name, &s.VMs[i])
			}
		}
	}
	return result
}

func (s *spread) add(name string, vm *VM) {
	s.counts[spreadKey{name, "zone", vm.Zone}]++
	s.counts[spreadKey{name, "rack", vm.Zone + "/" + vm.Rack}]++
	s.counts[spreadKey{name, "vm", vm.ID}]++
}

// Score implements Scorer.
func (s *spread) Score(t *Task, vm *Candidate) float64 {
	if t.Kind != structs.KindWatch {
		return 0
	}
	zone := s.counts[spreadKey{t.Name, "zone", vm.Zone}]
	rack := s.counts[spreadKey{t.Name, "rack", vm.Zone + "/" + vm.Rack}]
	onVM := s.counts[spreadKey{t.Name, "vm", vm.ID}]
	return s.weight * float64(zone+rack+onVM)
}
