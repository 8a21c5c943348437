package planner

import (
	"testing"
	"time"

	"github.com/shoenig/test"
	"pgregory.net/rapid"

	"bamboowood/internal/job"
)

// The size follows what a call costs and how likely grants are.
func TestRequestSize(t *testing.T) {
	slow, cheap := slowAdvice, job.Advice{Decide: 20 * time.Millisecond, Each: time.Millisecond}
	for _, c := range []struct {
		name         string
		wanted, most int
		share        float64
		advice       job.Advice
		want         int
	}{
		{"certain grants: as many as wanted", 2, 30, 1, slow, 2},
		{"likely grants", 2, 30, 0.5, slow, 4},
		{"unlikely grants, dear calls", 1, 30, 0.1, slow, 9},
		{"unlikely grants, cheap names", 1, 30, 0.1, cheap, 17},
		{"few candidates", 5, 3, 0.5, slow, 3},
		{"names cost nothing", 1, 30, 0.5, job.Advice{Decide: time.Second}, 30},
		{"no candidates", 1, 0, 0.5, slow, 0},
	} {
		got := requestSize(c.wanted, c.most, c.share, c.advice.Duration)
		test.Eq(t, c.want, got, test.Sprint(c.name))
	}
}

// A request names at least one runner, at most those that there are, and no fewer where grants are rarer.
func TestRequestSize_Bounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		most := rapid.IntRange(1, maxRunnersPerRequest).Draw(t, "most")
		wanted := rapid.IntRange(1, most).Draw(t, "wanted")
		share := rapid.Float64Range(0.001, 1).Draw(t, "share")
		a := job.Advice{
			Decide: time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "decide")),
			Each:   time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "each")),
		}
		size := requestSize(wanted, most, share, a.Duration)
		test.Between(t, 1, size, most)
		certain := requestSize(wanted, most, 1, a.Duration)
		test.GreaterEq(t, certain, max(size, wanted))
		if a.Each > 0 {
			test.Eq(t, wanted, certain)
		}
	})
}
