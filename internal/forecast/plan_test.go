package forecast

import (
	"testing"
	"time"

	"github.com/shoenig/test"
	"pgregory.net/rapid"

	"bamboowood/internal/job"
)

func cpu(n int64) job.Resources { return job.Resources{CPU: n} }

func anywhere(n int) func(int) int { return func(int) int { return n } }

// Capacity must be reserved where it becomes free first, for gangs at one time, and never twice.
func TestPlan(t *testing.T) {
	const s = time.Second
	runners := func() []Runner {
		return []Runner{
			{Free: cpu(2), Releases: []Release{{9 * s, cpu(6)}, {3 * s, cpu(2)}}},
			{Free: cpu(1), Releases: []Release{{5 * s, cpu(4)}, {6 * s, cpu(4)}}},
			{Free: cpu(0), Releases: []Release{{30 * s, cpu(8)}}},
		}
	}
	for _, c := range []struct {
		name    string
		blocked []Blocked
		want    []Reservation
	}{
		{"earliest runner", []Blocked{{Need: cpu(4), Tasks: 1, Slots: anywhere(9)}}, []Reservation{{0, 0, 3 * s}}},
		{"several tasks", []Blocked{{Need: cpu(4), Tasks: 3, Slots: anywhere(9)}}, []Reservation{{0, 0, 3 * s}, {0, 1, 5 * s}, {0, 1, 6 * s}}},
		{"per runner", []Blocked{{Need: cpu(4), Tasks: 3, Slots: anywhere(1)}}, []Reservation{{0, 0, 3 * s}, {0, 1, 5 * s}}},
		{"eligible runners", []Blocked{{Need: cpu(4), Tasks: 1, Slots: func(i int) int { return i }}}, []Reservation{{0, 1, 5 * s}}},
		{"gang", []Blocked{{Need: cpu(4), Tasks: 2, Together: true, Slots: anywhere(9)}}, []Reservation{{0, 0, 5 * s}, {0, 1, 5 * s}}},
		{"gang beyond the horizon", []Blocked{{Need: cpu(8), Tasks: 3, Together: true, Slots: anywhere(9)}}, nil},
		{"beyond the horizon", []Blocked{{Need: cpu(4), Tasks: 1, Slots: func(i int) int { return i / 2 }}}, nil},
		{
			"second step",
			[]Blocked{{Need: cpu(4), Tasks: 1, Slots: anywhere(9)}, {Need: cpu(4), Tasks: 1, Slots: anywhere(9)}},
			[]Reservation{{0, 0, 3 * s}, {1, 1, 5 * s}},
		},
		{"other resource overdrawn", []Blocked{{Need: cpu(4), Tasks: 1, Slots: anywhere(9)}}, []Reservation{{0, 0, 3 * s}}},
	} {
		r := runners()
		if c.name == "other resource overdrawn" {
			r[0].Free.MemoryMB = -1
		}
		test.Eq(t, c.want, Plan(0, r, c.blocked, 20*s), test.Sprint(c.name))
	}
}

// For any releases, all reservations of a runner together must fit into what is free at their times.
func TestPlan_ReservationsFit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		amount := rapid.Custom(func(t *rapid.T) job.Resources {
			return job.Resources{CPU: rapid.Int64Range(0, 9).Draw(t, "cpu"), MemoryMB: rapid.Int64Range(0, 9).Draw(t, "memory")}
		})
		release := rapid.Custom(func(t *rapid.T) Release {
			return Release{At: time.Duration(rapid.Int64Range(0, 30).Draw(t, "at")), Amount: amount.Draw(t, "amount")}
		})
		runners := make([]Runner, rapid.IntRange(1, 4).Draw(t, "runners"))
		before := make([]Runner, len(runners))
		for i := range runners {
			runners[i] = Runner{Free: amount.Draw(t, "free"), Releases: rapid.SliceOf(release).Draw(t, "releases")}
			before[i] = runners[i]
		}
		blocked := make([]Blocked, rapid.IntRange(1, 4).Draw(t, "blocked"))
		for i := range blocked {
			blocked[i] = Blocked{
				Need: amount.Draw(t, "need"), Tasks: rapid.IntRange(0, 5).Draw(t, "tasks"),
				Together: rapid.Bool().Draw(t, "together"), Slots: anywhere(rapid.IntRange(0, 3).Draw(t, "slots")),
			}
		}
		all := Plan(3, runners, blocked, 20)
		for _, at := range all {
			free := before[at.Runner].Free
			for _, r := range before[at.Runner].Releases {
				if r.At <= at.At {
					free.CPU += r.Amount.CPU
					free.MemoryMB += r.Amount.MemoryMB
				}
			}
			needed := job.Resources{}
			for _, r := range all {
				if r.Runner == at.Runner && r.At <= at.At {
					needed.CPU += blocked[r.Step].Need.CPU
					needed.MemoryMB += blocked[r.Step].Need.MemoryMB
				}
			}
			if !Fits(needed, free) || at.At < 3 || at.At > 23 {
				t.Fatalf("reservations %v exceed %v at %v", all, before, at)
			}
		}
	})
}
