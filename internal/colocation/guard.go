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
	// shareStep is the factor by which a share grows or, inverted, shrinks.
	shareStep = 2.0
	// tailAmplification is the power of the slowdown by which a tail grows:
	// requests queue the longer the slower those before them are served.
	tailAmplification = 2.0
	// unknownShare is the throttle at which tasks of unknown effect begin, and
	// knownStdErr the standard error below which an effect counts as known.
	unknownShare = 0.25
	knownStdErr  = 0.1
	// guardMinRequests is the least number of requests that make a tail.
	guardMinRequests = 20
)

// Guard protects the counter services of one VM.
type Guard struct {
	options   GuardOptions
	pairs     Slowdowns
	state     State
	calm, hot int
	taken     time.Duration // end of the newest window acted on
	effective time.Duration // earlier windows show the time before the last action
	pending   bool
	evictions []time.Duration
	limited   int
	checked   map[string]bool // tasks checkpointed for an eviction
}

// NewGuard returns a Guard; pairs may be nil when nothing is known.
func NewGuard(options GuardOptions, pairs Slowdowns) *Guard {
	setDefault(&options.GrowBelow, DefaultGrowBelow)
	setDefault(&options.ThrottleAbove, DefaultThrottleAbove)
	setDefault(&options.EvictAbove, DefaultEvictAbove)
	setDefault(&options.GrowMeasurements, DefaultGrowMeasurements)
	setDefault(&options.EvictMeasurements, DefaultEvictMeasurements)
	setDefault(&options.MinShare, DefaultMinShare)
	setDefault(&options.MaxEvictionsPerHour, DefaultMaxEvictions)
	setDefault(&options.ApplyWithin, DefaultApplyWithin)
	if pairs == nil {
		pairs = NewEstimator()
	}
	return &Guard{options: options, pairs: pairs, state: Grow, taken: -1, checked: map[string]bool{}}
}

func setDefault[T cmp.Ordered](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// State returns the guard's state.
func (g *Guard) State() State { return g.state }

// EvictionsLimited returns how often the limit kept the guard from evicting.
func (g *Guard) EvictionsLimited() int { return g.limited }

// StartShare returns the throttle at which a task of the kind begins beside the
// given services: at full speed only while the guard is growing and the effect
// is known. The guard lets it grow from there.
func (g *Guard) StartShare(services []string, kind string) float64 {
	if g.state != Grow {
		return g.options.MinShare
	}
	for _, service := range services {
		if _, stderr := g.pairs.Slowdown(service, kind); stderr > knownStdErr {
			return unknownShare
		}
	}
	return 1
}

// Applied records that the actions of the last Decide have taken effect, or have
// failed, at now: windows that began before it are not acted on. Without the
// call they take effect ApplyWithin after Decide.
func (g *Guard) Applied(now time.Duration) {
	if g.pending {
		g.pending = false
		g.effective = now
	}
}

// Decide returns what to do after a measurement that arrived at now. It acts at
// most once on a measurement, and not at all on one whose window began before
// the last action took effect.
func (g *Guard) Decide(now time.Duration, m Measurement) []Action {
	if m.Taken <= g.taken || m.From < g.effective {
		return nil
	}
	worst, ok := worstTail(m.Services)
	if !ok {
		return nil
	}
	g.taken = m.Taken
	actions := g.act(now, m, worst)
	if len(actions) > 0 {
		g.pending = true
		g.effective = now + g.options.ApplyWithin
	}
	return actions
}

func (g *Guard) act(now time.Duration, m Measurement, worst Tail) []Action {
	ratio := worst.ratio()
	switch {
	case ratio < g.options.GrowBelow:
		g.calm++
		g.hot = 0
		g.state = Grow
		clear(g.checked)
		if g.calm < g.options.GrowMeasurements {
			return nil
		}
		return g.grow(m, worst)
	case ratio < g.options.ThrottleAbove:
		g.calm, g.hot = 0, 0
		g.state = Hold
		return nil
	}
	g.calm = 0
	if ratio >= g.options.EvictAbove {
		g.hot++
	}
	return g.reduce(now, m, worst)
}

func (t Tail) ratio() float64 { return t.Latency.Seconds() / t.Wait.Seconds() }

// worstTail returns the service with the greatest part of its wait used up.
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

// harm is the estimated slowdown that a task brings at full speed, for each core
// that it uses.
func (g *Guard) harm(service string, t Task) float64 {
	factor, _ := g.pairs.Slowdown(service, t.Kind)
	return (factor - 1) / math.Max(float64(t.MilliCPU)/1000, 1)
}

// ranked returns the tasks that the guard may act on, the worst pair first.
// Urgent tasks and watches come after normal batch tasks.
func (g *Guard) ranked(m Measurement, service string) []Task {
	var tasks []Task
	for _, t := range m.Tasks {
		if !t.Leaving {
			tasks = append(tasks, t)
		}
	}
	slices.SortStableFunc(tasks, func(a, b Task) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(g.harm(service, b), g.harm(service, a)), cmp.Compare(a.ID, b.ID))
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

// grow gives back speed to throttled tasks, the least harmful kind first, as far
// as the tail is expected to stay below ThrottleAbove.
func (g *Guard) grow(m Measurement, worst Tail) []Action {
	tasks := g.ranked(m, worst.Service)
	slices.Reverse(tasks)
	var actions []Action
	ratio := worst.ratio()
	tried := map[string]bool{}
	for _, t := range tasks {
		if t.Share >= 1 || tried[t.Kind] {
			continue
		}
		tried[t.Kind] = true
		expected := ratio * g.growth(tasks, t.Kind, worst.Service)
		if expected >= g.options.ThrottleAbove {
			break
		}
		ratio = expected
		actions = append(actions, g.setShares(tasks, t.Kind, worst, grown)...)
	}
	if len(actions) > 0 {
		g.calm = 0
	}
	return actions
}

func grown(share float64) float64 { return min(1, share*shareStep) }

// growth returns the factor by which the tail is expected to grow with all tasks
// of a kind, the estimate taken two standard errors up.
func (g *Guard) growth(tasks []Task, kind, service string) float64 {
	added := 0.0
	for _, t := range tasks {
		if t.Kind == kind {
			added += grown(t.Share) - t.Share
		}
	}
	factor, stderr := g.pairs.Slowdown(service, kind)
	return math.Pow(max(1, factor+2*stderr), added*tailAmplification)
}

// reduce throttles the tasks of the kind that disturbs most now, all kinds when
// one was not enough, and evicts one task once nothing is left to throttle.
func (g *Guard) reduce(now time.Duration, m Measurement, worst Tail) []Action {
	tasks := g.ranked(m, worst.Service)
	g.state = Throttle
	throttled := slices.DeleteFunc(slices.Clone(tasks), func(t Task) bool { return t.Share <= g.options.MinShare })
	switch {
	case len(throttled) == 0 && g.hot >= g.options.EvictMeasurements:
		return g.evict(now, tasks, worst)
	case len(throttled) == 0:
		return nil
	case g.hot >= g.options.EvictMeasurements:
		return g.setShares(throttled, "", worst, func(float64) float64 { return g.options.MinShare })
	case g.hot > 0:
		return g.setShares(throttled, g.mostHarmful(throttled, worst.Service), worst, func(float64) float64 { return g.options.MinShare })
	}
	return g.setShares(throttled, g.mostHarmful(throttled, worst.Service), worst, func(share float64) float64 {
		return max(g.options.MinShare, share/shareStep)
	})
}

// mostHarmful returns the kind whose tasks together slow the service most now.
// Kinds with normal batch tasks go before those with urgent ones or watches.
func (g *Guard) mostHarmful(tasks []Task, service string) string {
	first := rank(tasks[0])
	harm := map[string]float64{}
	worst := ""
	for _, t := range tasks {
		if rank(t) != first {
			break
		}
		factor, _ := g.pairs.Slowdown(service, t.Kind)
		harm[t.Kind] += max(0, factor-1) * t.Share
		if worst == "" || harm[t.Kind] > harm[worst] {
			worst = t.Kind
		}
	}
	return worst
}

// setShares changes the shares of all tasks of a kind, or of every kind ("").
func (g *Guard) setShares(tasks []Task, kind string, worst Tail, next func(float64) float64) []Action {
	var actions []Action
	for _, t := range tasks {
		if share := next(t.Share); (kind == "" || t.Kind == kind) && share != t.Share {
			actions = append(actions, g.action(SetShare, t, worst, share))
		}
	}
	return actions
}

// evict checkpoints the worst batch task at MinShare, and evicts it at the next
// measurement that is still too late.
func (g *Guard) evict(now time.Duration, tasks []Task, worst Tail) []Action {
	victim := slices.IndexFunc(tasks, func(t Task) bool {
		return t.TaskKind == structs.KindBatch && t.Share <= g.options.MinShare
	})
	if victim < 0 {
		return nil
	}
	t := tasks[victim]
	if !g.mayEvict(now) {
		g.limited++
		return nil
	}
	g.state = Evict
	if !g.checked[t.ID] {
		g.checked[t.ID] = true
		return []Action{g.action(TakeCheckpoint, t, worst, 0)}
	}
	delete(g.checked, t.ID)
	g.evictions = append(g.evictions, now)
	return []Action{g.action(EvictTask, t, worst, 0)}
}

// mayEvict reports whether the last hour leaves room for another eviction.
func (g *Guard) mayEvict(now time.Duration) bool {
	g.evictions = slices.DeleteFunc(g.evictions, func(at time.Duration) bool { return now-at >= time.Hour })
	return len(g.evictions) < g.options.MaxEvictionsPerHour
}

func (g *Guard) action(kind ActionKind, t Task, worst Tail, share float64) Action {
	return Action{Kind: kind, TaskID: t.ID, Share: share, Service: worst.Service, TaskName: t.Kind, Ratio: worst.ratio()}
}
