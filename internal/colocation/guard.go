package colocation

import (
	"cmp"
	"math"
	"slices"
	"time"

	"bamboowood/internal/structs"
)

// Defaults of GuardOptions.
const (
	DefaultGrowBelow         = 0.6
	DefaultThrottleAbove     = 0.8
	DefaultEvictAbove        = 0.9
	DefaultGrowMeasurements  = 2
	DefaultEvictMeasurements = 2
	DefaultMinShare          = 0.1
	DefaultMaxEvictions      = 20
	DefaultApplyWithin       = 5 * time.Second
)

const (
	// shareStep is the factor by which a share is raised, and by whose inverse it is
	// lowered.
	shareStep = 2.0
	// tailAmplification is the exponent of the slowdown that gives the growth of the
	// tail latency. It exceeds 1 because slower requests also delay those queued
	// behind them.
	tailAmplification = 2.0
	// unknownSlowdownShare is the start share of tasks whose slowdown is unknown, and
	// maxKnownStdErr is the standard error up to which a slowdown counts as known.
	unknownSlowdownShare = 0.25
	maxKnownStdErr       = 0.1
	// guardMinRequests is the minimum number of requests for a tail latency to be used.
	guardMinRequests = 20
)

// Guard decides when to throttle, checkpoint and evict tasks to protect the services of
// one VM. It is not safe for concurrent use.
type Guard struct {
	options               GuardOptions
	slowdowns             Slowdowns
	state                 State
	growCount, evictCount int
	lastTaken             time.Duration // end of the newest window evaluated
	effectiveAt           time.Duration // windows that began earlier are ignored
	actionPending         bool
	evictions             []time.Duration
	evictionsLimited      int
	checkpointed          map[string]bool // tasks checkpointed for an eviction
	raises                raises
}

// NewGuard returns a Guard; slowdowns may be nil if there are no estimates.
func NewGuard(options GuardOptions, slowdowns Slowdowns) *Guard {
	setDefault(&options.GrowBelow, DefaultGrowBelow)
	setDefault(&options.ThrottleAbove, DefaultThrottleAbove)
	setDefault(&options.EvictAbove, DefaultEvictAbove)
	setDefault(&options.GrowMeasurements, DefaultGrowMeasurements)
	setDefault(&options.EvictMeasurements, DefaultEvictMeasurements)
	setDefault(&options.MinShare, DefaultMinShare)
	setDefault(&options.MaxEvictionsPerHour, DefaultMaxEvictions)
	setDefault(&options.ApplyWithin, DefaultApplyWithin)
	if slowdowns == nil {
		slowdowns = NewEstimator()
	}
	return &Guard{
		options: options, slowdowns: slowdowns, state: Grow, lastTaken: -1,
		checkpointed: map[string]bool{}, raises: newRaises(),
	}
}

func setDefault[T cmp.Ordered](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// State returns the guard's state.
func (g *Guard) State() State { return g.state }

// EvictionsLimited returns how often MaxEvictionsPerHour prevented an eviction.
func (g *Guard) EvictionsLimited() int { return g.evictionsLimited }

// StartShare returns the share at which a task of the kind starts on a VM with the given
// services. It is 1 only if the guard is in state Grow and the kind's slowdown of each
// service is known. Otherwise the guard raises the share later.
func (g *Guard) StartShare(services []string, kind string) float64 {
	if g.state != Grow {
		return g.options.MinShare
	}
	for _, service := range services {
		if _, stderr := g.slowdowns.Slowdown(service, kind); stderr > maxKnownStdErr {
			return unknownSlowdownShare
		}
	}
	return 1
}

// Applied records that the actions of the last Decide took effect, or failed, at now.
// Windows that began before now are ignored. If Applied is not called, the actions are
// assumed to take effect ApplyWithin after Decide.
func (g *Guard) Applied(now time.Duration) {
	if g.actionPending {
		g.actionPending = false
		g.effectiveAt = now
	}
}

// Decide returns the actions for a measurement that arrived at now. It returns none for
// a measurement that it has already evaluated, and for one whose window began before the
// last action took effect.
func (g *Guard) Decide(now time.Duration, m Measurement) []Action {
	if m.Taken <= g.lastTaken || m.From < g.effectiveAt {
		return nil
	}
	worst, ok := worstTail(m.Services)
	if !ok {
		return nil
	}
	g.lastTaken = m.Taken
	actions := g.chooseActions(now, m, worst)
	if len(actions) > 0 {
		g.actionPending = true
		g.effectiveAt = now + g.options.ApplyWithin
	}
	return actions
}

func (g *Guard) chooseActions(now time.Duration, m Measurement, worst Tail) []Action {
	ratio := worst.ratio()
	if ratio < g.options.ThrottleAbove {
		g.raises.succeed()
	}
	switch {
	case ratio < g.options.GrowBelow:
		g.growCount++
		g.evictCount = 0
		g.state = Grow
		clear(g.checkpointed)
		if g.growCount < g.options.GrowMeasurements {
			return nil
		}
		return g.grow(now, m, worst)
	case ratio < g.options.ThrottleAbove:
		g.growCount, g.evictCount = 0, 0
		g.state = Hold
		return nil
	}
	g.growCount = 0
	if ratio >= g.options.EvictAbove {
		g.evictCount++
	}
	actions := g.reduce(now, m, worst)
	g.raises.fail(now, actions)
	return actions
}

func (t Tail) ratio() float64 { return t.Latency.Seconds() / t.Wait.Seconds() }

// worstTail returns the tail with the highest ratio of latency to wait. It returns false if
// no tail has enough requests.
func worstTail(tails []Tail) (Tail, bool) {
	found := false
	var worst Tail
	for _, t := range tails {
		if t.Requests < guardMinRequests || t.Wait <= 0 {
			continue
		}
		if !found || t.ratio() > worst.ratio() {
			found, worst = true, t
		}
	}
	return worst, found
}

// slowdownPerCore returns the estimated slowdown, above 1, that a task at full speed causes
// per core that it uses.
func (g *Guard) slowdownPerCore(service string, t Task) float64 {
	factor, _ := g.slowdowns.Slowdown(service, t.Kind)
	return (factor - 1) / math.Max(float64(t.MilliCPU)/1000, 1)
}

// rankTasks returns the tasks that the guard may throttle. Normal batch tasks come first,
// then urgent tasks, then watches; within these, tasks with the highest slowdown per core
// come first.
func (g *Guard) rankTasks(m Measurement, service string) []Task {
	var tasks []Task
	for _, t := range m.Tasks {
		if !t.Leaving {
			tasks = append(tasks, t)
		}
	}
	slices.SortStableFunc(tasks, func(a, b Task) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(g.slowdownPerCore(service, b), g.slowdownPerCore(service, a)), cmp.Compare(a.ID, b.ID))
	})
	return tasks
}

func rank(t Task) int {
	switch {
	case t.TaskKind == structs.KindWatch:
		return 2
	case t.Priority >= structs.PriorityUrgent:
		return 1
	}
	return 0
}

// grow raises the shares of throttled tasks, kind by kind in the reverse order of
// rankTasks, as long as the tail is expected to stay below ThrottleAbove. Shares that made
// a service too slow are not tried again for some time.
func (g *Guard) grow(now time.Duration, m Measurement, worst Tail) []Action {
	tasks := g.rankTasks(m, worst.Service)
	slices.Reverse(tasks)
	var actions []Action
	ratio := worst.ratio()
	tried := map[string]bool{}
	for _, t := range tasks {
		if t.Share >= 1 || tried[t.Kind] {
			continue
		}
		tried[t.Kind] = true
		next := grownShare(g.raises.limit(now, t.Kind))
		expected := ratio * g.tailGrowth(tasks, t.Kind, worst.Service, next)
		if expected >= g.options.ThrottleAbove {
			break
		}
		ratio = expected
		actions = append(actions, g.setShares(tasks, t.Kind, worst, next)...)
	}
	if len(actions) > 0 {
		g.growCount = 0
		g.raises.add(actions)
	}
	return actions
}

// grownShare returns the function that raises a share by one step if it stays below limit.
func grownShare(limit float64) func(share float64) float64 {
	return func(share float64) float64 {
		if grown := min(1, share*shareStep); grown < limit {
			return grown
		}
		return share
	}
}

// tailGrowth returns the factor by which the tail latency is expected to grow if the shares
// of all tasks of a kind are raised to next of their current shares. It uses the slowdown two
// standard errors above the estimate.
func (g *Guard) tailGrowth(tasks []Task, kind, service string, next func(float64) float64) float64 {
	added := 0.0
	for _, t := range tasks {
		if t.Kind == kind {
			added += next(t.Share) - t.Share
		}
	}
	factor, stderr := g.slowdowns.Slowdown(service, kind)
	return math.Pow(max(1, factor+2*stderr), added*tailAmplification)
}

// reduce throttles the tasks of the kind that currently slows the service most, or of all
// kinds after EvictMeasurements. It evicts one task once all are throttled to MinShare.
func (g *Guard) reduce(now time.Duration, m Measurement, worst Tail) []Action {
	tasks := g.rankTasks(m, worst.Service)
	g.state = Throttle
	throttleable := slices.DeleteFunc(slices.Clone(tasks), func(t Task) bool { return t.Share <= g.options.MinShare })
	switch {
	case len(throttleable) == 0 && g.evictCount >= g.options.EvictMeasurements:
		return g.evict(now, tasks, worst)
	case len(throttleable) == 0:
		return nil
	case g.evictCount >= g.options.EvictMeasurements:
		return g.setShares(throttleable, "", worst, func(float64) float64 { return g.options.MinShare })
	case g.evictCount > 0:
		return g.setShares(throttleable, g.mostSlowingKind(throttleable, worst.Service), worst, func(float64) float64 { return g.options.MinShare })
	}
	return g.setShares(throttleable, g.mostSlowingKind(throttleable, worst.Service), worst, func(share float64) float64 {
		return max(g.options.MinShare, share/shareStep)
	})
}

// mostSlowingKind returns the kind whose tasks together currently slow the service most. It
// considers only the tasks of the first rank present: normal batch tasks, then urgent
// tasks, then watches.
func (g *Guard) mostSlowingKind(tasks []Task, service string) string {
	first := rank(tasks[0])
	slowdowns := map[string]float64{}
	worst := ""
	for _, t := range tasks {
		if rank(t) != first {
			break
		}
		factor, _ := g.slowdowns.Slowdown(service, t.Kind)
		slowdowns[t.Kind] += max(0, factor-1) * t.Share
		if worst == "" || slowdowns[t.Kind] > slowdowns[worst] {
			worst = t.Kind
		}
	}
	return worst
}

// setShares returns the actions that set the shares of all tasks of a kind, or of all kinds
// if kind is "", to next of their current shares.
func (g *Guard) setShares(tasks []Task, kind string, worst Tail, next func(float64) float64) []Action {
	var actions []Action
	for _, t := range tasks {
		if share := next(t.Share); (kind == "" || t.Kind == kind) && share != t.Share {
			actions = append(actions, g.action(SetShare, t, worst, share))
		}
	}
	return actions
}

// evict returns the action that checkpoints the first batch task at MinShare, and the one
// that evicts it at the next measurement that is still too slow.
func (g *Guard) evict(now time.Duration, tasks []Task, worst Tail) []Action {
	victim := slices.IndexFunc(tasks, func(t Task) bool {
		return t.TaskKind == structs.KindBatch && t.Share <= g.options.MinShare
	})
	if victim < 0 {
		return nil
	}
	t := tasks[victim]
	if !g.evictionAllowed(now) {
		g.evictionsLimited++
		return nil
	}
	g.state = Evict
	if !g.checkpointed[t.ID] {
		g.checkpointed[t.ID] = true
		return []Action{g.action(TakeCheckpoint, t, worst, 0)}
	}
	delete(g.checkpointed, t.ID)
	g.evictions = append(g.evictions, now)
	return []Action{g.action(EvictTask, t, worst, 0)}
}

// evictionAllowed reports whether there were fewer than MaxEvictionsPerHour evictions in the
// last hour.
func (g *Guard) evictionAllowed(now time.Duration) bool {
	g.evictions = slices.DeleteFunc(g.evictions, func(at time.Duration) bool { return now-at >= time.Hour })
	return len(g.evictions) < g.options.MaxEvictionsPerHour
}

func (g *Guard) action(kind ActionKind, t Task, worst Tail, share float64) Action {
	return Action{Kind: kind, TaskID: t.ID, Share: share, Service: worst.Service, TaskName: t.Kind, Ratio: worst.ratio()}
}
