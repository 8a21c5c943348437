package colocation_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"bamboowood/internal/colocation"
	"bamboowood/internal/structs"
)

const wait = 200 * time.Millisecond

// fixedSlowdowns has the slowdown factors of kinds, the same for every service.
type fixedSlowdowns map[string]float64

func (p fixedSlowdowns) Slowdown(_, kind string) (float64, float64) { return p[kind], 0.01 }

func batch(id, kind string, share float64) colocation.Task {
	return colocation.Task{ID: id, Kind: kind, TaskKind: structs.KindBatch, Share: share, MilliCPU: 1000}
}

func measurement(from, taken time.Duration, ratio float64, tasks ...colocation.Task) colocation.Measurement {
	return colocation.Measurement{From: from, Taken: taken, Tasks: tasks, Services: []colocation.Tail{
		{Service: "glint", Latency: time.Duration(ratio * float64(wait)), Wait: wait, Requests: 100},
	}}
}

func formatActions(actions []colocation.Action) []string {
	lines := []string{}
	for _, a := range actions {
		lines = append(lines, fmt.Sprintf("%s %s %.2g", a.Kind, a.TaskID, a.Share))
	}
	return lines
}

// Each case is a sequence of ratios of tail latency to wait, one per window. The expected
// actions are those after the last window.
func TestGuard(t *testing.T) {
	bad, good := batch("bad", "bad", 1), batch("good", "good", 1)
	slow := batch("bad", "bad", 0.1)
	watch := batch("watch", "bad", 0.1)
	watch.TaskKind = structs.KindWatch
	urgent := batch("urgent", "bad", 1)
	urgent.Priority = structs.PriorityUrgent
	leaving := slow
	leaving.Leaving = true
	cases := []struct {
		name   string
		ratios []float64
		tasks  []colocation.Task
		want   []string
		state  colocation.State
	}{
		{"low ratios, nothing throttled: no action", []float64{0.3, 0.3, 0.3}, []colocation.Task{bad}, []string{}, colocation.Grow},
		{"no action between GrowBelow and ThrottleAbove", []float64{0.7}, []colocation.Task{slow}, []string{}, colocation.Hold},
		{"throttles the kind with the highest slowdown first", []float64{0.85}, []colocation.Task{good, bad}, []string{"set-share bad 0.5"}, colocation.Throttle},
		{"throttles to the minimum share at once above EvictAbove", []float64{1.5}, []colocation.Task{good, bad}, []string{"set-share bad 0.1"}, colocation.Throttle},
		{"throttles the next kind when the first is at the minimum share", []float64{0.85}, []colocation.Task{good, slow}, []string{"set-share good 0.5"}, colocation.Throttle},
		{"throttles the kind that slows most at its current share", []float64{0.85}, []colocation.Task{slow, batch("mild", "mild", 1), good}, []string{"set-share mild 0.5"}, colocation.Throttle},
		{"throttles all tasks before it evicts", []float64{1.5, 1.5, 1.5}, []colocation.Task{slow, good}, []string{"set-share good 0.1"}, colocation.Throttle},
		{"does not raise a share when the expected tail is too slow", []float64{0.55, 0.55}, []colocation.Task{batch("bad", "bad", 0.5)}, []string{}, colocation.Grow},
		{"one measurement above EvictAbove does not evict", []float64{1.5}, []colocation.Task{slow}, []string{}, colocation.Throttle},
		{"checkpoints before it evicts", []float64{1.5, 1.5}, []colocation.Task{slow}, []string{"checkpoint bad 0"}, colocation.Evict},
		{"evicts after the checkpoint", []float64{1.5, 1.5, 1.5}, []colocation.Task{slow}, []string{"evict bad 0"}, colocation.Evict},
		{"never evicts a watch", []float64{1.5, 1.5, 1.5, 1.5}, []colocation.Task{watch}, []string{}, colocation.Throttle},
		{"ignores tasks that are leaving", []float64{1.5, 1.5, 1.5}, []colocation.Task{leaving}, []string{}, colocation.Throttle},
		{"throttles normal tasks before urgent ones", []float64{0.85}, []colocation.Task{urgent, good}, []string{"set-share good 0.5"}, colocation.Throttle},
		{"one measurement below GrowBelow does not raise shares", []float64{0.3}, []colocation.Task{slow}, []string{}, colocation.Grow},
		{"raises the kind with the lowest slowdown first", []float64{0.3, 0.3}, []colocation.Task{slow, batch("good", "good", 0.1)}, []string{"set-share good 0.2", "set-share bad 0.2"}, colocation.Grow},
		{"raises only kinds whose expected tail is below ThrottleAbove", []float64{0.55, 0.55}, []colocation.Task{batch("bad", "bad", 0.5), batch("good", "good", 0.5)}, []string{"set-share good 1"}, colocation.Grow},
		{"a measurement between the thresholds resets the count", []float64{0.3, 0.7, 0.3}, []colocation.Task{slow}, []string{}, colocation.Grow},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := colocation.NewGuard(colocation.GuardOptions{}, fixedSlowdowns{"bad": 1.5, "mild": 1.1, "good": 1.01})
			var got []colocation.Action
			for i, ratio := range c.ratios {
				now := time.Duration(i+1) * 10 * time.Second
				got = g.Decide(now, measurement(now-2*time.Second, now, ratio, c.tasks...))
				g.Applied(now)
			}
			must.Eq(t, c.want, formatActions(got))
			must.Eq(t, c.state, g.State())
		})
	}
}

// Guards against acting twice on the same interference: measurements that are repeated, and
// those whose window began before the last action took effect, must be ignored. Without the
// check of From the guard lowered the share again.
func TestGuard_ActsOncePerMeasurement(t *testing.T) {
	g := colocation.NewGuard(colocation.GuardOptions{}, fixedSlowdowns{"bad": 1.5})
	task := batch("a", "bad", 1)
	first := measurement(8*time.Second, 10*time.Second, 0.85, task)
	must.Len(t, 1, g.Decide(11*time.Second, first))
	g.Applied(12 * time.Second)
	must.Len(t, 0, g.Decide(12*time.Second, first))
	must.Len(t, 0, g.Decide(13*time.Second, measurement(10*time.Second, 12*time.Second, 0.85, task)))
	must.Len(t, 0, g.Decide(14*time.Second, measurement(11*time.Second, 13*time.Second, 0.85, task)))
	must.Len(t, 1, g.Decide(15*time.Second, measurement(12*time.Second, 14*time.Second, 0.85, task)))
	// If Applied is not called, an action is assumed to take effect after ApplyWithin.
	must.Len(t, 0, g.Decide(17*time.Second, measurement(15*time.Second, 17*time.Second, 0.85, task)))
	must.Len(t, 1, g.Decide(23*time.Second, measurement(21*time.Second, 23*time.Second, 0.85, task)))
}

// The number of evictions in any hour is bounded, however long the interference lasts.
func TestGuard_EvictionLimit(t *testing.T) {
	g := colocation.NewGuard(colocation.GuardOptions{MaxEvictionsPerHour: 3}, fixedSlowdowns{"bad": 1.5})
	var evictions []time.Duration
	for i := range 3000 {
		now := time.Duration(i) * 5 * time.Second
		for _, a := range g.Decide(now, measurement(now-2*time.Second, now, 2, batch(fmt.Sprintf("t%d", len(evictions)), "bad", 0.1))) {
			if a.Kind == colocation.EvictTask {
				evictions = append(evictions, now)
			}
		}
		g.Applied(now)
	}
	must.Positive(t, g.EvictionsLimited())
	must.Greater(t, 9, len(evictions))
	for i := 3; i < len(evictions); i++ {
		must.GreaterEq(t, time.Hour, evictions[i]-evictions[i-3])
	}
}

// Guards against a task that is raised without end to a share that slows the service: the
// estimates expected a small effect, so the service was late in one window of seven.
func TestGuard_HoldsShareThatSlowsService(t *testing.T) {
	g := colocation.NewGuard(colocation.GuardOptions{}, fixedSlowdowns{"step": 1.1})
	share := 0.1
	var failed []time.Duration
	for now := 2 * time.Second; now <= 2*time.Hour; now += 2 * time.Second {
		ratio := 0.1
		if share > 0.5 {
			ratio = 2
			failed = append(failed, now)
		}
		for _, a := range g.Decide(now, measurement(now-2*time.Second, now, ratio, batch("t", "step", share))) {
			share = a.Share
		}
		g.Applied(now)
	}
	must.Positive(t, len(failed))
	must.LessEq(t, 12, len(failed))
	for i := 2; i < len(failed); i++ {
		wait, earlier := failed[i]-failed[i-1], failed[i-1]-failed[i-2]
		must.GreaterEq(t, min(2*earlier, 16*time.Minute)-30*time.Second, wait)
	}
}

// Guards against a share that stays low for good: when the service is no longer slowed, the
// task reaches full speed, and the hold after a slowdown long after is as short as the first.
func TestGuard_RaisesShareAgainAfterHold(t *testing.T) {
	g := colocation.NewGuard(colocation.GuardOptions{}, fixedSlowdowns{"step": 1.1})
	share, now := 0.1, time.Duration(0)
	step := func(maxShare float64) {
		now += 2 * time.Second
		ratio := 0.1
		if share > maxShare {
			ratio = 2
		}
		for _, a := range g.Decide(now, measurement(now-2*time.Second, now, ratio, batch("t", "step", share))) {
			share = a.Share
		}
		g.Applied(now)
	}
	for range 2 {
		for range 15 { // 30 s
			step(0.5)
		}
		must.LessEq(t, 0.5, share)
		for range 45 { // 90 s
			step(1)
		}
		must.Eq(t, 1, share)
		for range 300 { // 10 min
			step(1)
		}
		share = 0.1
	}
}
