package ledger_test

import (
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"bamboowood/internal/job"
	"bamboowood/internal/ledger"
)

// Guards against a row of another writer in a part that is not that of its key: a new leader ran it
// in place of the job that was accepted under the id, and cancelled jobs that nobody had cancelled.
func TestLoader_RowsInOtherParts(t *testing.T) {
	l, s := newWritableLedger(t)
	good := &job.Job{ID: "a000000000000001", Payload: "good", Steps: []job.Step{{Tasks: 1}}}
	must.NoError(t, l.Accept(t.Context(), good))
	const ended = "a000000000000002"
	for _, part := range []string{"0", "b", "f"} {
		writeRow(t, s, "jobs", part, good.ID, `{"payload":"odd","steps":[{"tasks":1}]}`)
		writeRow(t, s, "jobs", part, ended, `{"ended":true}`)
		writeRow(t, s, "cancels", part, good.ID, "{}")
	}
	contents, err := l.NewLoader().Run(t.Context())
	must.NoError(t, err)
	must.Len(t, 1, contents.Jobs)
	test.Eq(t, "good", contents.Jobs[0].Payload)
	test.SliceEmpty(t, contents.Cancels)
	test.SliceEmpty(t, contents.PartiallyDeleted)
	test.SliceNotEmpty(t, contents.Unreadable)
}

// Guards against a read of the ledger for each cancel that names no job: the leader looks for the job
// of a cancel that it does not have.
func TestCancels_OddKeys(t *testing.T) {
	l, s := newWritableLedger(t)
	must.NoError(t, l.Cancel(t.Context(), "a000000000000001"))
	for _, key := range []string{"", "a", "a00000000000000g", "a0000000000000001", "ab\x00", "\xff"} {
		writeRow(t, s, "cancels", key[:min(len(key), 1)], key, "{}")
	}
	loaded, err := l.NewLoader().Run(t.Context())
	must.NoError(t, err)
	followed, err := l.FollowCancels(t.Context(), 0, time.Second)
	must.NoError(t, err)
	for _, contents := range []*ledger.Contents{loaded, followed} {
		must.Len(t, 1, contents.Cancels)
		test.Eq(t, "a000000000000001", contents.Cancels[0].Job)
		test.SliceNotEmpty(t, contents.Unreadable)
	}
}

// Guards against a state that callers do not know, or none, in the answer for a job whose progress
// another writer has replaced.
func TestStatus_OddProgress(t *testing.T) {
	l, s := newWritableLedger(t)
	j := &job.Job{ID: "a000000000000001", Steps: []job.Step{{Tasks: 1}}}
	must.NoError(t, l.Accept(t.Context(), j))
	for _, value := range []string{"", "odd", "null", "{}", `{"state":"odd"}`, `{"state":"completed","before":-1}`, strings.Repeat("[", 20_000)} {
		writeRow(t, s, "progress", "main", j.ID, value)
		state, _, err := l.Status(t.Context(), j.ID)
		test.Error(t, err, test.Sprintf("state %q for %.20q", state, value))
	}
	writeRow(t, s, "progress", "main", j.ID, `{"state":"completed"}`)
	state, found, err := l.Status(t.Context(), j.ID)
	must.NoError(t, err)
	test.True(t, found)
	test.Eq(t, job.Completed, state)
}

// Guards against a row beside the term that is taken for a new term: each one makes the entries that
// watch the leader begin their wait again, so that a dead leader is never replaced.
func TestFollowTerm_OddRowsBeside(t *testing.T) {
	l, s := newWritableLedger(t)
	held := beginTerm(t, l, "p1")
	_, version, err := l.CurrentTerm(t.Context())
	must.NoError(t, err)
	writeRow(t, s, "term", "main", "odd", "odd")
	writeRow(t, s, "term", "", "leader", "odd")
	changed, next, err := l.FollowTerm(t.Context(), version, 50*time.Millisecond)
	must.NoError(t, err)
	test.False(t, changed)
	test.Greater(t, version, next)
	must.NoError(t, held.Resign(t.Context()))
	changed, _, err = l.FollowTerm(t.Context(), next, time.Second)
	must.NoError(t, err)
	test.True(t, changed)
}
