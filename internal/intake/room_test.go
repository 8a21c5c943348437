package intake

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"bamboowood/internal/job"
	"bamboowood/internal/store"
)

// roomLeader has a given memory for jobs.
type roomLeader struct {
	fakeLeader
	bytes   int64
	queries int
}

// JobRoom implements Leader.
func (l *roomLeader) JobRoom(context.Context, string, int64) (int64, bool) {
	l.queries++
	return l.bytes, l.bytes > 0
}

func jobWithTasks(n int) *job.Job {
	return &job.Job{ID: "5c0e7a21d94b36f8", Steps: []job.Step{{Tasks: n}}}
}

// Guards against jobs that take all of the leader's memory, against a refusal of a job that was accepted
// before, and against a query to the leader for each ordinary job.
func TestServer_NoRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const room = 46 << 20
		stored := []store.Row{{Table: "jobs", Key: "5c0e7a21d94b36f8", Value: []byte("{}")}}
		submit := func(l *roomLeader, s *fakeStore, j *job.Job) error {
			server := newServer(s, nil)
			server.Leader = l
			return server.Submit(t.Context(), j)
		}
		var refused *RefusedError
		s := &fakeStore{writeErrs: []error{nil}}
		must.NoError(t, submit(&roomLeader{bytes: room}, s, jobWithTasks(job.MaxTasks)), must.Sprint("a legal job, without load"))
		largest := &job.Job{ID: "5c0e7a21d94b36f8", Steps: make([]job.Step, job.MaxSteps), Occurrences: job.MaxOccurrences, Interval: time.Millisecond}
		for i := range largest.Steps {
			largest.Steps[i].Tasks = 1
		}
		must.NoError(t, submit(&roomLeader{bytes: room}, s, largest), must.Sprint("the one of most memory, without load"))
		must.True(t, errors.As(submit(&roomLeader{bytes: room / 8}, s, jobWithTasks(job.MaxTasks)), &refused))
		test.Eq(t, NoRoom, refused.Reason)
		test.Positive(t, refused.RetryAfter)
		must.NoError(t, submit(&roomLeader{bytes: room / 4}, s, jobWithTasks(80)))
		must.NoError(t, submit(&roomLeader{bytes: 1}, &fakeStore{writeErrs: []error{nil}, rows: stored}, jobWithTasks(80)))
		must.NoError(t, submit(&roomLeader{}, s, jobWithTasks(job.MaxTasks)), must.Sprint("a leader of the previous version"))

		l := &roomLeader{bytes: room}
		server := newServer(&fakeStore{writeErrs: []error{nil}}, nil)
		server.Leader = l
		for range 20 {
			must.NoError(t, server.Submit(t.Context(), jobWithTasks(20)))
		}
		test.Eq(t, 1, l.queries)
	})
}

// Guards against small jobs that one entry admits by one value beyond its share.
func TestRoom_Property(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &room{}
		now := time.Unix(1000, 0)
		bytes := rapid.Int64Range(1, 10<<20).Draw(t, "bytes")
		must.True(t, r.fetched(now, 0, bytes, true))
		sum := int64(0)
		for range rapid.IntRange(0, 50).Draw(t, "jobs") {
			cost := rapid.Int64Range(1, 2*job.LargeBytes).Draw(t, "cost")
			if admitted, _ := r.take(now, cost); admitted {
				sum += cost
			}
		}
		if sum > bytes/smallShare {
			t.Fatalf("%d of %d admitted", sum, bytes)
		}
	})
}
