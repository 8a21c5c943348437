package placement

import "bamboowood/internal/structs"

// Options are the limits and weights of a Planner. Zero values select the defaults.
type Options struct {
	// MaxBindings and MaxEvictions limit the bindings and evictions of one plan.
	MaxBindings  int
	MaxEvictions int
	// MaxPerVM limits the bindings of one plan to the same VM.
	MaxPerVM int
	// Slowdowns are the slowdown estimates; nil means none.
	Slowdowns Slowdowns
	// SlowdownLimit is the slowdown factor above which a task is not colocated with a
	// service. SlowdownBudget limits the sum of the slowdowns above 1 that all tasks of
	// a VM cause. MaxUnknown limits the tasks on a VM whose slowdown is unknown.
	SlowdownLimit  float64
	SlowdownBudget float64
	MaxUnknown     int
	// A VM is ejected when at least MinFailed different jobs have failed on it and they
	// are at least the share FailureLimit of the jobs that ran on it. At most the share
	// MaxEjected of all VMs is ejected.
	MinFailed    int
	FailureLimit float64
	MaxEjected   float64
	// Policy selects among the feasible VMs. The default is Scored.
	Policy Policy
	// Seed varies the choice among VMs with equal scores.
	Seed uint64
}

// Policy is the method that selects a VM among the feasible ones.
type Policy string

// Values of Policy. FirstFit and Random are baselines for measurements.
const (
	Scored   Policy = "scored"
	FirstFit Policy = "first-fit"
	Random   Policy = "random"
)

// Defaults of Options.
const (
	DefaultMaxBindings    = 128
	DefaultMaxEvictions   = 64
	DefaultMaxPerVM       = 8
	DefaultSlowdownLimit  = 1.15
	DefaultSlowdownBudget = 0.15
	DefaultMaxUnknown     = 1
	DefaultMinFailed      = 3
	DefaultFailureLimit   = 0.5
	DefaultMaxEjected     = 0.2
)

// Weights of the scorers.
const (
	spreadWeight        = 1.0
	slowdownWeight      = 2.0
	slowdownExploration = 1.0
	failureWeight       = 1.0
	// tieWeight scales the random tie-breaker. It is smaller than any significant
	// difference of scores.
	tieWeight = 1e-3
)

// Planner computes plans. It has no state between plans.
type Planner struct {
	options Options
}

// NewPlanner returns a Planner.
func NewPlanner(options Options) *Planner {
	setDefault(&options.MaxBindings, DefaultMaxBindings)
	setDefault(&options.MaxEvictions, DefaultMaxEvictions)
	setDefault(&options.MaxPerVM, DefaultMaxPerVM)
	setDefault(&options.SlowdownLimit, DefaultSlowdownLimit)
	setDefault(&options.SlowdownBudget, DefaultSlowdownBudget)
	setDefault(&options.MaxUnknown, DefaultMaxUnknown)
	setDefault(&options.MinFailed, DefaultMinFailed)
	setDefault(&options.FailureLimit, DefaultFailureLimit)
	setDefault(&options.MaxEjected, DefaultMaxEjected)
	setDefault(&options.Policy, Scored)
	return &Planner{options: options}
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// pass is the state of one Plan call.
type pass struct {
	*Planner
	snapshot    *Snapshot
	accounts    *Accounts
	queue       Queue
	spread      *spread
	filters     []Filter
	scorers     []Scorer
	slowdowns   Slowdowns // nil without slowdown estimates
	ready       []Candidate
	maxFree     structs.Resources    // maximum free amount of each resource over the ready VMs
	unplaceable map[taskShape]Reason // shapes without a feasible VM in this pass
	fitsEmptyVM map[structs.Resources]bool
	evicted     map[string]bool // IDs of the tasks that this pass evicts
	randomState uint64
	plan        Plan
}

// taskShape is the part of a task that decides which VMs are feasible for it.
type taskShape struct {
	name string
	size structs.Resources
}

// Plan computes one plan for the snapshot. It does not change the snapshot.
func (p *Planner) Plan(s *Snapshot) Plan {
	x := p.newPass(s)
	for t := x.queue.Next(); t != nil; t = x.queue.Next() {
		if len(x.plan.Bindings) >= p.options.MaxBindings {
			x.plan.Remaining++
			continue
		}
		x.place(t)
	}
	x.evictDraining()
	return x.plan
}

func (p *Planner) newPass(s *Snapshot) *pass {
	accounts := NewAccounts(s)
	x := &pass{
		Planner: p, snapshot: s, accounts: accounts, queue: NewFairQueue(s, accounts),
		spread: newSpread(s, spreadWeight), unplaceable: map[taskShape]Reason{}, evicted: map[string]bool{}, fitsEmptyVM: map[structs.Resources]bool{}, randomState: p.options.Seed | 1,
	}
	x.scorers = []Scorer{bestFit{}, avoidFailing{failureWeight}, x.spread}
	x.filters = []Filter{limitPerVM{p.options.MaxPerVM}}
	if p.options.Slowdowns != nil {
		x.slowdowns = &slowdownCache{p.options.Slowdowns, map[estimateKey]estimate{}}
		x.filters = append(x.filters, limitSlowdown{x.slowdowns, p.options.SlowdownLimit, p.options.SlowdownBudget, p.options.MaxUnknown})
		x.scorers = append(x.scorers, leastSlowdown{x.slowdowns, slowdownWeight, slowdownExploration})
	}
	ejected := p.ejected(s)
	for i := range s.VMs {
		vm := &s.VMs[i]
		if vm.State != VMReady || ejected[vm.ID] {
			continue
		}
		c := Candidate{VM: vm, Free: vm.Free()}
		for j := range vm.Tasks {
			if vm.Tasks[j].Leaving {
				c.Leaving = c.Leaving.Add(vm.Tasks[j].Size)
			}
		}
		x.ready = append(x.ready, c)
		x.maxFree = x.maxFree.Max(c.Free)
	}
	return x
}

// place binds one task or records the reason why it stays pending.
func (x *pass) place(t *Task) {
	if reason := x.exclusionReason(t); reason != "" {
		x.markUnplaceable(t, reason)
		return
	}
	key := taskShape{t.Name, t.Size}
	reason, found := x.unplaceable[key]
	if !found {
		var vm *Candidate
		if vm, reason = x.selectVM(t); vm != nil {
			x.bind(t, vm)
			return
		}
		x.unplaceable[key] = reason
	}
	if t.Priority >= structs.PriorityUrgent && x.preempt(t) {
		reason = Preempting
	}
	x.markUnplaceable(t, reason)
}

// exclusionReason returns the reason that excludes every VM for the task, or "".
func (x *pass) exclusionReason(t *Task) Reason {
	if t.Delayed {
		return Delayed
	}
	if reason := x.accounts.Allows(t.Team, t.Size); reason != "" {
		return reason
	}
	if len(x.ready) > 0 && t.Size.Fits(x.maxFree) {
		return ""
	}
	switch {
	case len(x.snapshot.VMs) > 0 && !x.fitsSomeVM(t.Size):
		return NeverFits
	case len(x.ready) == 0:
		return NoReadyVM
	}
	return ""
}

// fitsSomeVM reports whether any VM, ready or not, has the capacity for the size when
// it is empty.
func (x *pass) fitsSomeVM(size structs.Resources) bool {
	fits, found := x.fitsEmptyVM[size]
	if found {
		return fits
	}
	for i := range x.snapshot.VMs {
		if size.Fits(x.snapshot.VMs[i].Capacity) {
			fits = true
			break
		}
	}
	x.fitsEmptyVM[size] = fits
	return fits
}

func (x *pass) markUnplaceable(t *Task, reason Reason) {
	x.plan.Unplaceable = append(x.plan.Unplaceable, Unplaceable{TaskID: t.ID, Reason: reason})
}

// selectVM returns the best feasible VM for the task, or nil and the reason.
func (x *pass) selectVM(t *Task) (*Candidate, Reason) {
	reason := NoCapacity
	if !t.Size.Fits(x.maxFree) {
		return nil, reason
	}
	var best *Candidate
	bestScore := 0.0
	feasible := uint64(0)
	for i := range x.ready {
		vm := &x.ready[i]
		if !t.Size.Fits(vm.Free) {
			continue
		}
		if !x.passesFilters(t, vm) {
			reason = NoSuitableVM
			continue
		}
		switch x.options.Policy {
		case FirstFit:
			return vm, ""
		case Random:
			feasible++
			if x.nextRandom()%feasible == 0 {
				best = vm
			}
		case Scored:
			if score := x.score(t, vm); best == nil || score < bestScore {
				best, bestScore = vm, score
			}
		}
	}
	return best, reason
}

func (x *pass) passesFilters(t *Task, vm *Candidate) bool {
	for _, f := range x.filters {
		if !f.Keep(t, vm) {
			return false
		}
	}
	return true
}

func (x *pass) score(t *Task, vm *Candidate) float64 {
	sum := tieWeight * float64(x.nextRandom()%1024) / 1024
	for _, s := range x.scorers {
		sum += s.Score(t, vm)
	}
	return sum
}

// nextRandom returns the next number of a seeded xorshift64 generator.
func (x *pass) nextRandom() uint64 {
	x.randomState ^= x.randomState << 13
	x.randomState ^= x.randomState >> 7
	x.randomState ^= x.randomState << 17
	return x.randomState
}

// bind reserves capacity on the VM for the task in this pass and adds the binding to the
// plan.
func (x *pass) bind(t *Task, vm *Candidate) {
	vm.Free = vm.Free.Sub(t.Size)
	vm.Bindings++
	if x.slowdowns != nil && len(vm.Services) > 0 {
		vm.sumSlowdowns(x.slowdowns)
		vm.addSlowdown(x.slowdowns, t.Name)
	}
	x.accounts.Add(t.Team, t.Size)
	x.queue.Placed(t)
	if t.Kind == structs.KindWatch {
		x.spread.add(t.Name, vm.VM)
	}
	x.plan.Bindings = append(x.plan.Bindings, Binding{
		TaskID: t.ID, VM: vm.ID, Zone: vm.Zone, Incarnation: vm.Incarnation, Size: t.Size, Priority: t.Priority,
	})
}
