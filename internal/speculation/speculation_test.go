package speculation

import (
	"testing"
	"time"

	"github.com/shoenig/test"
)

// A copy must be refused unless it is expected to end first and fits into the budget.
func TestDecide(t *testing.T) {
	late := Task{Learned: true, Elapsed: 2 * time.Second, Remaining: 4 * time.Second, Tail: time.Second, Expected: time.Second, CPU: 1000}
	for _, c := range []struct {
		name   string
		change func(*Task, *Budget)
		want   Refusal
	}{
		{"late", func(*Task, *Budget) {}, ""},
		{"unknown durations", func(t *Task, _ *Budget) { t.Learned = false }, NotLearned},
		{"at the tail", func(t *Task, _ *Budget) { t.Elapsed = t.Tail }, InTime},
		{"ends as soon", func(t *Task, _ *Budget) { t.Remaining = t.Expected }, NoGain},
		{"budget just reached", func(_ *Task, b *Budget) { b.Used = 4000 }, ""},
		{"budget exceeded", func(_ *Task, b *Budget) { b.Used = 4001 }, OverBudget},
		{"no capacity", func(_ *Task, b *Budget) { b.Capacity = 0 }, OverBudget},
	} {
		task, budget := late, Budget{Capacity: 100_000}
		c.change(&task, &budget)
		test.Eq(t, c.want, Decide(task, budget), test.Sprint(c.name))
	}
}
