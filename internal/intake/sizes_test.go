package intake

import (
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"bamboowood/internal/job"
	"bamboowood/internal/ledger"
	"bamboowood/internal/store"
)

func jobWithStep(step job.Step) *job.Job {
	step.Tasks = 1
	return &job.Job{ID: "5c0e7a21d94b36f8", Steps: []job.Step{step}}
}

// A job that is too large for every runner is refused without being stored. One that may fit
// or has been accepted before is not refused.
func TestServer_TooLarge(t *testing.T) {
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
		"too much best-effort CPU": {job.Step{CPU: 16_001, BestEffort: true}, largest, nil, false},
		"too much memory":          {job.Step{MemoryMB: 1_001, BestEffort: true}, largest, nil, true},
		"no accelerators":          {job.Step{GPUs: 1}, largest, nil, true},
		"capacity unknown":         {job.Step{CPU: 99_000}, job.Resources{}, nil, false},
		"already accepted":         {job.Step{CPU: 16_001}, largest, stored, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := &fakeStore{writeErrs: []error{nil}, rows: c.rows}
			err := newServer(s, &fakeLeader{maxCapacity: c.largest}).Submit(t.Context(), jobWithStep(c.step))
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

// Guards against a job that does not fit in a row of the store: the store rejected it, which was taken for an
// unknown outcome, and its caller repeated it for ever. One that just fits is accepted.
func TestServer_RowTooLarge(t *testing.T) {
	labelled := func(bytes int) *job.Job {
		j := jobWithStep(job.Step{CPU: 1})
		j.AcceptedAt = time.Now()
		value, err := ledger.EncodeJob(j)
		must.NoError(t, err)
		j.Steps[0].Image = strings.Repeat("x", bytes-len(value)-len(`,"image":""`))
		return j
	}
	for bytes, fits := range map[int]bool{store.MaxRowBytes - 20: true, store.MaxRowBytes + 20: false} {
		s := &fakeStore{writeErrs: []error{nil}}
		err := newServer(s, &fakeLeader{}).Submit(t.Context(), labelled(bytes))
		var refused *RefusedError
		test.Eq(t, !fits, errors.As(err, &refused))
		if fits {
			test.NoError(t, err)
			continue
		}
		test.Eq(t, RowTooLarge, refused.Reason)
		test.Eq(t, 0, s.writes)
	}
}

// If the ledger cannot be read, the job may have been accepted before and is not refused.
func TestServer_TooLargeUnreadableLedger(t *testing.T) {
	s := &fakeStore{writeErrs: []error{nil}, readErr: errNoAnswer}
	must.NoError(t, newServer(s, &fakeLeader{maxCapacity: job.Resources{CPU: 1}}).Submit(t.Context(), jobWithStep(job.Step{CPU: 2})))
}

// The leader is queried once per capacityTTL, not for every job.
func TestServer_CapacityIsCached(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &fakeLeader{maxCapacity: job.Resources{CPU: 100, MemoryMB: 100}}
		server := newServer(&fakeStore{writeErrs: []error{nil}}, l)
		for range 5 {
			must.NoError(t, server.Submit(t.Context(), goodJob()))
		}
		test.Eq(t, 1, l.capacityQueries)
		time.Sleep(capacityTTL)
		must.NoError(t, server.Submit(t.Context(), goodJob()))
		test.Eq(t, 2, l.capacityQueries)
	})
}

// An unknown capacity is queried again after unknownCapacityTTL.
func TestServer_UnknownCapacityExpiresSooner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &fakeLeader{}
		server := newServer(&fakeStore{writeErrs: []error{nil}}, l)
		must.NoError(t, server.Submit(t.Context(), goodJob()))
		l.maxCapacity = job.Resources{CPU: 1}
		must.NoError(t, server.Submit(t.Context(), jobWithStep(job.Step{CPU: 2})))
		time.Sleep(unknownCapacityTTL)
		must.Error(t, server.Submit(t.Context(), jobWithStep(job.Step{CPU: 2})))
	})
}
