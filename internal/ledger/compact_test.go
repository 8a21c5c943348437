package ledger

import (
	"encoding/json"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"bamboowood/internal/job"
	"bamboowood/internal/planner"
	"bamboowood/internal/store"
)

// normalized returns progress in which values with the same meaning are equal: empty bitmaps and the order
// of run numbers.
func normalized(p *planner.Progress) *planner.Progress {
	n := &planner.Progress{State: p.State, DoneBefore: p.DoneBefore}
	for k, o := range p.Open {
		c := &planner.OccurrenceProgress{Complete: o.Complete}
		for _, bits := range o.Done {
			c.Done = append(c.Done, append([]byte{}, bits...))
		}
		for name, numbers := range o.Failures {
			if c.Failures == nil {
				c.Failures = map[string][]int64{}
			}
			c.Failures[name] = slices.Sorted(slices.Values(numbers))
		}
		if n.Open == nil {
			n.Open = map[int]*planner.OccurrenceProgress{}
		}
		n.Open[k] = c
	}
	return n
}

// previousVersion decodes a row as the version without the compact form does.
func previousVersion(value []byte) (*planner.Progress, bool) {
	var p planner.Progress
	return &p, json.Unmarshal(value, &p) == nil && p.Valid()
}

// drawProgress draws the progress of a job that has at most job.MaxTasks tasks open, and failures as a planner
// has them: of runs of some terms, at most attempts-1 of each task that is not done.
func drawProgress(rt *rapid.T) *planner.Progress {
	p := &planner.Progress{State: job.Running, DoneBefore: rapid.IntRange(0, 100).Draw(rt, "before")}
	steps := rapid.SliceOfN(rapid.IntRange(1, 40), 1, 3).Draw(rt, "steps")
	if rapid.Bool().Draw(rt, "wide") {
		steps = []int{rapid.IntRange(1, job.MaxTasks).Draw(rt, "tasks")}
	}
	tasks := 0
	for _, n := range steps {
		tasks += n
	}
	attempts := rapid.IntRange(1, 4).Draw(rt, "attempts")
	failures := rapid.IntRange(0, 4).Draw(rt, "failures")
	seed := rapid.Uint64().Draw(rt, "seed")
	next := func(n int) int {
		seed = seed*6364136223846793005 + 1442695040888963407
		return int(seed>>33) % n
	}
	open := min(rapid.IntRange(0, job.MaxTasks).Draw(rt, "open"), job.MaxTasks/tasks, job.MaxOccurrences-p.DoneBefore)
	for i := range open {
		o := &planner.OccurrenceProgress{Complete: next(4) == 0}
		if !o.Complete {
			o.Done = make([][]byte, len(steps))
		}
		for s, n := range steps {
			if o.Complete {
				break
			}
			o.Done[s] = make([]byte, (n+7)/8)
			for t := range n {
				if next(3) == 0 {
					o.Done[s][t/8] |= 1 << (t % 8)
					continue
				}
				for a := range next(attempts) * min(failures, 1) {
					if o.Failures == nil {
						o.Failures = map[string][]int64{}
					}
					name := planner.FailureKey(s, t)
					o.Failures[name] = append(o.Failures[name], int64((1+next(failures))<<16+1+2*a+next(2)))
				}
			}
		}
		if p.Open == nil {
			p.Open = map[int]*planner.OccurrenceProgress{}
		}
		p.Open[p.DoneBefore+i] = o
	}
	return p
}

// Guards against progress of a legal job that does not fit in a row, that is not read as it was written,
// and that the previous version takes for something else.
func TestEncodeProgress_Properties(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := drawProgress(rt)
		value, err := encodeProgress(p)
		if err != nil {
			rt.Fatal(err)
		}
		if len(value) > store.MaxRowBytes {
			rt.Fatalf("%d bytes", len(value))
		}
		read, err := decodeProgress(&store.Row{Key: "k", Value: value})
		if err != nil {
			rt.Fatal(err)
		}
		want := normalized(p)
		must.Eq(rt, want, normalized(read))
		if old, ok := previousVersion(value); ok {
			must.Eq(rt, want, normalized(old))
		}
	})
}

// Guards against the two ways in which rows of legal jobs grew beyond the limit (review/1 and the dropped
// case of the second review): all occurrences of a scheduled job open, and all tasks of a wide job failed.
func TestEncodeProgress_LargestJobs(t *testing.T) {
	occurrences := &planner.Progress{State: job.Running, Open: map[int]*planner.OccurrenceProgress{}}
	for k := range job.MaxOccurrences {
		occurrences.Open[k] = &planner.OccurrenceProgress{Complete: k%2 == 1}
		if k%2 == 0 {
			occurrences.Open[k].Done = [][]byte{{1}, nil}
		}
	}
	rng := rand.New(rand.NewPCG(1, 2))
	failed := &planner.OccurrenceProgress{Done: [][]byte{nil}, Failures: map[string][]int64{}}
	for i := range job.MaxTasks {
		// Three attempts in two terms, in some of which runs were lost.
		number := int64(100<<16 + 1 + rng.IntN(3))
		failed.Failures[planner.FailureKey(0, i)] = []int64{number, number + 1 + rng.Int64N(3), 103<<16 + 1 + rng.Int64N(3)}
	}
	for name, p := range map[string]*planner.Progress{
		"occurrences": occurrences,
		"failures":    {State: job.Running, Open: map[int]*planner.OccurrenceProgress{0: failed}},
	} {
		plain, err := json.Marshal(p)
		must.NoError(t, err)
		must.Greater(t, store.MaxRowBytes, len(plain))
		value, err := encodeProgress(p)
		must.NoError(t, err)
		t.Logf("%s: %d bytes, %d as JSON", name, len(value), len(plain))
		test.LessEq(t, store.MaxRowBytes, len(value))
		read, err := decodeProgress(&store.Row{Key: "k", Value: value})
		must.NoError(t, err)
		test.Eq(t, normalized(p), normalized(read))
		_, ok := previousVersion(value)
		test.False(t, ok, test.Sprint("the previous version must not read it"))
	}
}

// Guards against a malformed compact row of another writer that makes the process panic or take memory
// without bound.
func FuzzDecodeProgress(f *testing.F) {
	p := &planner.Progress{State: job.Running, DoneBefore: 2, Open: map[int]*planner.OccurrenceProgress{
		3: {Done: [][]byte{{5}, nil}, Failures: map[string][]int64{"1.2": {1, 2, 9}}}, 7: {Complete: true},
	}}
	value, err := encodeCompact(p)
	must.NoError(f, err)
	f.Add(value)
	for i := range value {
		if i >= len(compactPrefix) {
			changed := slices.Clone(value)
			changed[i] ^= 0x55
			f.Add(changed)
		}
	}
	f.Add(slices.Clone(compactPrefix))
	f.Fuzz(func(t *testing.T, value []byte) {
		p, err := decodeProgress(&store.Row{Key: "k", Value: value})
		if err != nil {
			return
		}
		again, err := encodeProgress(p)
		must.NoError(t, err)
		read, err := decodeProgress(&store.Row{Key: "k", Value: again})
		must.NoError(t, err)
		test.Eq(t, slices.Sorted(maps.Keys(p.Open)), slices.Sorted(maps.Keys(read.Open)))
	})
}
