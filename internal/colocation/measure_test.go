package colocation_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"bamboowood/internal/colocation"
)

// servedSlack is how far the share of requests served in time may be below the share
// without batch work.
const servedSlack = 0.005

// outcome has the results of the policies for one seed.
type outcome struct {
	none, static, throttle, guarded, learned result
	maxWork                                  time.Duration // by the oracle
}

// Compares the policies on the same recorded arrivals and the same queue:
//   - none: no batch work;
//   - static: a constant share of 0.1, without a guard;
//   - throttle: a guard that may throttle but not evict;
//   - guarded: a guard that also evicts;
//   - learned: the same guard, and placement by the estimated slowdowns.
//
// With the learned policy, the share of requests served in time must be within 0.5
// percentage points of the share without batch work. The batch work done must be more than
// twice that of static, throttle and guarded each, and at least 80% of the oracle's. The
// oracle places tasks by the true slowdowns; its work is the maximum over two guard
// configurations that meet the same bound.
func TestColocation_Policies(t *testing.T) {
	outcomes := make([]outcome, 2)
	t.Run("seeds", func(t *testing.T) {
		for seed := range outcomes {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				outcomes[seed] = runPolicies(t, uint64(seed))
			})
		}
	})
	var learned, maxWork time.Duration
	for _, o := range outcomes {
		must.GreaterEq(t, o.none.servedShare()-servedSlack, o.learned.servedShare())
		for _, baseline := range []result{o.static, o.throttle, o.guarded} {
			must.Greater(t, 2*baseline.work, o.learned.work)
		}
		learned += o.learned.work
		maxWork += o.maxWork
	}
	t.Logf("learned policy: %.1f%% of the oracle's batch work", 100*learned.Hours()/maxWork.Hours())
	must.GreaterEq(t, 0.8*maxWork.Hours(), learned.Hours())
}

func runPolicies(t *testing.T, seed uint64) outcome {
	run := func(p policy) result {
		r := newModel(p, seed).run()
		t.Logf("seed %d %-14s served %.3f%% p50 %s p99 %s p99.9 %s work %.1f core-h, %d evictions", seed, p.name,
			100*r.servedShare(), r.quantile(0.5).Round(time.Millisecond), r.quantile(0.99).Round(time.Millisecond),
			r.quantile(0.999).Round(time.Millisecond), r.work.Hours(), r.evictions)
		return r
	}
	estimator := colocation.NewEstimator()
	run(policy{name: "no guard", batch: true, share: 1})
	o := outcome{
		none:     run(policy{name: "no batch"}),
		static:   run(policy{name: "static 0.1", batch: true, share: 0.1}),
		throttle: run(policy{name: "throttle only", batch: true, share: 1, guard: &colocation.GuardOptions{MaxEvictionsPerHour: -1}}),
		guarded:  run(policy{name: "guard", batch: true, share: 1, guard: &colocation.GuardOptions{}}),
		learned:  run(policy{name: "learned", batch: true, share: 1, guard: &colocation.GuardOptions{}, estimator: estimator, slowdowns: estimator}),
	}
	for _, options := range []colocation.GuardOptions{{}, {GrowBelow: 0.8, ThrottleAbove: 1, EvictAbove: 1.2}} {
		best := run(policy{name: "oracle", batch: true, share: 1, guard: &options, slowdowns: oracle{}})
		if best.servedShare() >= o.none.servedShare()-servedSlack {
			o.maxWork = max(o.maxWork, best.work)
		}
	}
	return o
}

// The estimates converge to the true slowdowns although reports arrive late and many kinds
// run at the same time.
func TestEstimator_EstimatesSlowdowns(t *testing.T) {
	estimator := colocation.NewEstimator()
	newModel(policy{batch: true, share: 1, guard: &colocation.GuardOptions{}, estimator: estimator}, 7).run()
	for _, service := range []string{"s0", "s1"} {
		for _, kind := range []string{"k0", "k1", "k2", "k3", "k4", "k5"} {
			factor, stderr := estimator.Slowdown(service, kind)
			truth := trueSlowdown(service, kind)
			t.Logf("%s %s: estimated %.3f +- %.3f, true %.3f", service, kind, factor, stderr, truth)
			must.Less(t, 0.1, math.Abs(factor-truth))
			must.Less(t, 0.1, stderr)
		}
	}
	_, unknown := estimator.Slowdown("s0", "never seen")
	must.Greater(t, 0.2, unknown)
}
