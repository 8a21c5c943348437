package intake

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"bamboowood/internal/job"
	"bamboowood/internal/store"
)

func sized(step job.Step) *job.Job {
	step.Tasks = 1
	return &job.Job{ID: "5c0e7a21d94b36f8", Steps: []job.Step{step}}
}

// A job that no runner can ever run is refused at once and is not stored; one that may
// run, or that has been accepted before, is not refused.
func TestEntry_TooLarge(t *testing.T) {
	largest := job.Resources{CPU: 16_000, MemoryMB: 1_000}
	stored := []store.Row{{Table: "jobs", Key: "5c0e7a21d94b36f8", Value: []byte("{}")}}
	for name, c := range map[string]struct {
		step    job.Step
		largest job.Resources
		rows    []store.Row
		refused bool
	}{
		"fits":                     {job.Step{CPU: 16_000, MemoryMB: 1_000}, largest, nil, false},
		"too much CPU":             {job.Step{CPU: 16_001}, largest, nil, true},
		"too much CPU of a filler": {job.Step{CPU: 16_001, BestEffort: true}, largest, nil, false},
		"too much memory":          {job.Step{MemoryMB: 1_001, BestEffort: true}, largest, nil, true},
		"no accelerators":          {job.Step{GPUs: 1}, largest, nil, true},
		"runners not known":        {job.Step{CPU: 99_000}, job.Resources{}, nil, false},
		"accepted before":          {job.Step{CPU: 16_001}, largest, stored, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := &fakeStore{errs: []error{nil}, rows: c.rows}
			err := entry(s, &fakeLeader{largest: c.largest}).Submit(t.Context(), sized(c.step))
			var refused *RefusedError
			test.Eq(t, c.refused, errors.As(err, &refused))
			if c.refused {
				test.Eq(t, TooLarge, refused.Reason)
				test.Positive(t, refused.RetryAfter)
				test.Eq(t, 0, s.writes)
			} else {
				test.NoError(t, err)
			}
		})
	}
}

// A state of the store that cannot be read leaves open whether the job was accepted.
func TestEntry_TooLargeInDoubt(t *testing.T) {
	s := &fakeStore{errs: []error{nil}, read: errNoAnswer}
	must.NoError(t, entry(s, &fakeLeader{largest: job.Resources{CPU: 1}}).Submit(t.Context(), sized(job.Step{CPU: 2})))
}

// The leader is asked once in a while, not for every job.
func TestEntry_SizeIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &fakeLeader{largest: job.Resources{CPU: 100, MemoryMB: 100}}
		e := entry(&fakeStore{errs: []error{nil}}, l)
		for range 5 {
			must.NoError(t, e.Submit(t.Context(), goodJob()))
		}
		test.Eq(t, 1, l.questions)
		time.Sleep(sizeAge)
		must.NoError(t, e.Submit(t.Context(), goodJob()))
		test.Eq(t, 2, l.questions)
	})
}

// That the size is not known is asked for again soon.
func TestEntry_SizeNotKnownYet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &fakeLeader{}
		e := entry(&fakeStore{errs: []error{nil}}, l)
		must.NoError(t, e.Submit(t.Context(), goodJob()))
		l.largest = job.Resources{CPU: 1}
		must.NoError(t, e.Submit(t.Context(), sized(job.Step{CPU: 2})))
		time.Sleep(unknownAge)
		must.Error(t, e.Submit(t.Context(), sized(job.Step{CPU: 2})))
	})
}
