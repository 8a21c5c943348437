package placement

import "bamboowood/internal/structs"

// Options are the bounds and weights of a Planner. Zero values take the
// defaults.
type Options struct {
	// MaxBindings and MaxEvictions bound one plan.
	MaxBindings  int
	MaxEvictions int
	// MaxPerVM bounds the bindings of one plan to the same VM.
	MaxPerVM int
	// Slowdowns are the slowdown estimates; nil means none.
	Slowdowns Slowdowns
	// SlowdownLimit is the slowdown factor above which a pair is not placed,
	// SlowdownBudget the sum of the slowdowns above 1 that the tasks of a VM may
	// bring, and MaxUnknown the number of tasks of unknown effect on a VM.
	SlowdownLimit  float64
	SlowdownBudget float64
	MaxUnknown     int
	// MinFailed different failed jobs and FailureLimit, their part of the jobs
	// that ran, eject a VM, but never more than MaxEjected of all VMs.
	MinFailed    int
	FailureLimit float64
	MaxEjected   float64
	// Policy picks among the VMs that fit; the default scores all of them.
	Policy Policy
	// Seed varies which of several equal VMs is taken.
	Seed uint64
}

// Policy is how a VM is picked among those that may take a task.
type Policy string

// Policies. FirstFit and Random are baselines for measurements.
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
	spreadWeight  = 1.0
	harmWeight    = 2.0
	harmExplore   = 1.0
	failureWeight = 1.0
	// tieWeight is below any difference that matters.
	tieWeight = 1e-3
)

// Planner makes plans. It keeps nothing between plans.
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
	snapshot *Snapshot
	accounts *Accounts
	queue    Queue
	spread   *spread
	filters  []Filter
	scorers  []Scorer
	pairs    Slowdowns // nil: none
	ready    []Candidate
	largest  structs.Resources // greatest free amount of each kind over ready VMs
	shapes   map[shape]Reason  // shapes that found no VM in this pass
	possible map[structs.Resources]bool
	taken    map[string]bool // tasks that the pass evicts
	random   uint64
	plan     Plan
}

// shape is what decides whether a task fits somewhere.
type shape struct {
	name string
	size structs.Resources
}

// Plan decides one pass over the snapshot, which it does not change.
func (p *Planner) Plan(s *Snapshot) Plan {
	x := p.newPass(s)
	for t := x.queue.Next(); t != nil; t = x.queue.Next() {
		if len(x.plan.Bindings) >= p.options.MaxBindings {
			x.plan.Remaining++
			continue
		}
		x.place(t)
	}
	x.drain()
	return x.plan
}

func (p *Planner) newPass(s *Snapshot) *pass {
	accounts := NewAccounts(s)
	x := &pass{
		Planner: p, snapshot: s, accounts: accounts, queue: NewFairQueue(s, accounts),
		spread: newSpread(s, spreadWeight), shapes: map[shape]Reason{}, taken: map[string]bool{}, possible: map[structs.Resources]bool{}, random: p.options.Seed | 1,
	}
	x.scorers = []Scorer{bestFit{}, avoidFailing{failureWeight}, x.spread}
	x.filters = []Filter{limitPerVM{p.options.MaxPerVM}}
	if p.options.Slowdowns != nil {
		x.pairs = &passPairs{p.options.Slowdowns, map[pairKey]estimate{}}
		x.filters = append(x.filters, avoidHarmful{x.pairs, p.options.SlowdownLimit, p.options.SlowdownBudget, p.options.MaxUnknown})
		x.scorers = append(x.scorers, leastHarm{x.pairs, harmWeight, harmExplore})
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
				c.Releasing = c.Releasing.Add(vm.Tasks[j].Size)
			}
		}
		x.ready = append(x.ready, c)
		x.largest = x.largest.Max(c.Free)
	}
	return x
}

// place binds one task or records why not.
func (x *pass) place(t *Task) {
	if reason := x.excluded(t); reason != "" {
		x.refuse(t, reason)
		return
	}
	key := shape{t.Name, t.Size}
	reason, known := x.shapes[key]
	if !known {
		var vm *Candidate
		if vm, reason = x.pick(t); vm != nil {
			x.bind(t, vm)
			return
		}
		x.shapes[key] = reason
	}
	if t.Priority >= structs.PriorityUrgent && x.preempt(t) {
		reason = Preempting
	}
	x.refuse(t, reason)
}

// excluded returns the reason that rules the task out on every VM, or "".
func (x *pass) excluded(t *Task) Reason {
	if t.Delayed {
		return Delayed
	}
	if reason := x.accounts.Allows(t.Team, t.Size); reason != "" {
		return reason
	}
	if len(x.ready) > 0 && t.Size.Fits(x.largest) {
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

// fitsSomeVM reports whether an empty VM, ready or not, would hold the size.
func (x *pass) fitsSomeVM(size structs.Resources) bool {
	fits, known := x.possible[size]
	if known {
		return fits
	}
	for i := range x.snapshot.VMs {
		if size.Fits(x.snapshot.VMs[i].Capacity) {
			fits = true
			break
		}
	}
	x.possible[size] = fits
	return fits
}

func (x *pass) refuse(t *Task, reason Reason) {
	x.plan.Unplaceable = append(x.plan.Unplaceable, Unplaceable{TaskID: t.ID, Reason: reason})
}

// pick returns the best VM that may take the task, or nil and the reason.
func (x *pass) pick(t *Task) (*Candidate, Reason) {
	reason := NoCapacity
	if !t.Size.Fits(x.largest) {
		return nil, reason
	}
	var best *Candidate
	bestScore := 0.0
	seen := uint64(0)
	for i := range x.ready {
		vm := &x.ready[i]
		if !t.Size.Fits(vm.Free) {
			continue
		}
		if !x.keep(t, vm) {
			reason = NoSuitableVM
			continue
		}
		switch x.options.Policy {
		case FirstFit:
			return vm, ""
		case Random:
			seen++
			if x.next()%seen == 0 {
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

func (x *pass) keep(t *Task, vm *Candidate) bool {
	for _, f := range x.filters {
		if !f.Keep(t, vm) {
			return false
		}
	}
	return true
}

func (x *pass) score(t *Task, vm *Candidate) float64 {
	sum := tieWeight * float64(x.next()%1024) / 1024
	for _, s := range x.scorers {
		sum += s.Score(t, vm)
	}
	return sum
}

// next returns the next number of a small seeded generator (xorshift64).
func (x *pass) next() uint64 {
	x.random ^= x.random << 13
	x.random ^= x.random >> 7
	x.random ^= x.random << 17
	return x.random
}

// bind gives the task to the VM within this pass.
func (x *pass) bind(t *Task, vm *Candidate) {
	vm.Free = vm.Free.Sub(t.Size)
	vm.Placed++
	if x.pairs != nil && len(vm.Services) > 0 {
		vm.countHarm(x.pairs)
		vm.addHarm(x.pairs, t.Name)
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
