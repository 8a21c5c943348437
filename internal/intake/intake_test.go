package intake

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"bamboowood/internal/job"
	"bamboowood/internal/ledger"
	"bamboowood/internal/store"
)

var errNoAnswer = errors.New("no answer")

// fakeStore answers writes with writeErrs in turn and repeats the last one.
type fakeStore struct {
	writeErrs []error
	writes    int
	rows      []store.Row
	readErr   error
}

func (f *fakeStore) Apply(context.Context, store.Tx) (int64, error) {
	err := f.writeErrs[min(f.writes, len(f.writeErrs)-1)]
	f.writes++
	return 1, err
}

func (f *fakeStore) Read(_ context.Context, r store.ReadRequest, _ int) (store.Page, error) {
	var found []store.Row
	for _, row := range f.rows {
		if row.Table == r.Table && row.Key == r.From {
			found = append(found, row)
		}
	}
	return store.Page{Rows: found, Version: 1}, f.readErr
}

func (f *fakeStore) Feed(context.Context, store.FeedRequest) ([]store.Row, int64, error) {
	return nil, 0, errNoAnswer
}

// fakeLeader answers relayed writes with relayErr.
type fakeLeader struct {
	relayErr error
	state    job.State
	leading  bool
	// maxCapacity is unknown if it is zero. capacityQueries counts the queries for it.
	maxCapacity     job.Resources
	capacityQueries int
	// onAccepted, unless nil, is called by JobAccepted.
	onAccepted func()
}

func (f *fakeLeader) MaxCapacity(context.Context, string) (job.Resources, bool) {
	f.capacityQueries++
	return f.maxCapacity, f.maxCapacity != job.Resources{}
}

// JobRoom implements Leader without a bound.
func (f *fakeLeader) JobRoom(context.Context, string, int64) (int64, bool) { return 0, false }

func (f *fakeLeader) Status(context.Context, string) (job.State, bool, bool) {
	return f.state, f.state != "", f.leading
}
func (f *fakeLeader) WaitingJobs(context.Context, string) (int, bool) { return 3, f.leading }
func (f *fakeLeader) JobAccepted(context.Context, *job.Job) {
	if f.onAccepted != nil {
		f.onAccepted()
	}
}
func (f *fakeLeader) JobCancelled(context.Context, string)      {}
func (f *fakeLeader) Store(context.Context, *job.Job) error     { return f.relayErr }
func (f *fakeLeader) StoreCancel(context.Context, string) error { return f.relayErr }
func newServer(s *fakeStore, l *fakeLeader) *Server {
	return &Server{Ledger: ledger.New(s, store.NewBulkReader(s, 0)), Leader: l, Logger: &log.Logger{Handler: discard.Default}}
}

// conflictWith returns the error of a transaction that expects no rows of goodJob in two tables, but finds some.
func conflictWith(tables ...string) error {
	conflict := &store.ConflictError{}
	for _, table := range tables {
		conflict.Rows = append(conflict.Rows, store.Row{Table: table, Key: goodJob().ID, Version: 1})
	}
	return conflict
}

func goodJob() *job.Job {
	return &job.Job{ID: "5c0e7a21d94b36f8", Steps: []job.Step{{Tasks: 1}}}
}

// A panic while the leader is notified of a job affects neither the process nor the job.
func TestServer_PanicInLeaderNotification(t *testing.T) {
	notified := make(chan struct{})
	server := newServer(&fakeStore{writeErrs: []error{nil}}, &fakeLeader{onAccepted: func() { defer close(notified); panic("test panic") }})
	must.NoError(t, server.Submit(t.Context(), goodJob()))
	<-notified
}

// A job is refused only if no attempt to store it can have taken effect.
func TestServer_Submit(t *testing.T) {
	for name, c := range map[string]struct {
		store         []error
		relay         error
		ok, refused   bool
		storedAtLeast int
	}{
		"stored":                     {[]error{nil}, nil, true, false, 1},
		"refused by store and relay": {[]error{store.ErrRefused}, store.ErrRefused, false, true, 1},
		"refused, relayed":           {[]error{store.ErrRefused}, nil, true, false, 1},
		"refused, relay unconfirmed": {[]error{store.ErrRefused}, errNoAnswer, false, false, 2},
		"unconfirmed, relay refused": {[]error{errNoAnswer}, store.ErrRefused, false, false, 2},
		"unconfirmed, then refused":  {[]error{errNoAnswer, store.ErrRefused}, store.ErrRefused, false, false, 2},
		"unconfirmed, then stored":   {[]error{errNoAnswer, nil}, store.ErrRefused, true, false, 2},
		"already stored":             {[]error{conflictWith("jobs")}, store.ErrRefused, true, false, 1},
		"stored and cancelled":       {[]error{conflictWith("jobs", "cancels")}, store.ErrRefused, true, false, 1},
		"cancelled":                  {[]error{conflictWith("cancels")}, nil, false, true, 1},
		"refused, relay: cancelled":  {[]error{store.ErrRefused}, ledger.ErrCancelled, false, true, 1},
		"unconfirmed, cancelled":     {[]error{errNoAnswer, conflictWith("cancels")}, store.ErrRefused, false, true, 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &fakeStore{writeErrs: c.store}
				err := newServer(s, &fakeLeader{relayErr: c.relay}).Submit(t.Context(), goodJob())
				var refused *RefusedError
				test.Eq(t, c.ok, err == nil)
				test.Eq(t, c.refused, errors.As(err, &refused))
				test.GreaterEq(t, c.storedAtLeast, s.writes)
			})
		})
	}
}

func TestServer_SubmitInvalid(t *testing.T) {
	s := &fakeStore{writeErrs: []error{nil}}
	err := newServer(s, &fakeLeader{}).Submit(t.Context(), &job.Job{ID: "5c0e7a21d94b36f8"})
	test.ErrorIs(t, err, ErrInvalid)
	test.Eq(t, 0, s.writes)
}

// Guards against a job that is reported as unknown although it has been accepted.
func TestServer_Status(t *testing.T) {
	stored := []store.Row{{Table: "jobs", Key: "5c0e7a21d94b36f8", Value: []byte("{}")}}
	for name, c := range map[string]struct {
		leader fakeLeader
		rows   []store.Row
		read   error
		want   job.State
		err    bool
	}{
		"leader has the job":          {fakeLeader{state: job.Running, leading: true}, nil, nil, job.Running, false},
		"leader lacks the job so far": {fakeLeader{leading: true}, stored, nil, job.Queued, false},
		"no leader":                   {fakeLeader{}, stored, nil, job.Queued, false},
		"unknown job":                 {fakeLeader{leading: true}, nil, nil, "", true},
		"no leader, read fails":       {fakeLeader{}, nil, errNoAnswer, "", true},
		"leader has it, read fails":   {fakeLeader{state: job.Queued, leading: true}, nil, errNoAnswer, job.Queued, false},
	} {
		t.Run(name, func(t *testing.T) {
			state, err := newServer(&fakeStore{rows: c.rows, readErr: c.read}, &c.leader).Status(t.Context(), "5c0e7a21d94b36f8")
			test.Eq(t, c.want, state)
			test.Eq(t, c.err, err != nil)
		})
	}
	_, err := newServer(&fakeStore{readErr: errNoAnswer}, &fakeLeader{}).Status(t.Context(), "5c0e7a21d94b36f8")
	must.Error(t, err)
	test.False(t, errors.Is(err, ErrUnknownJob), test.Sprint("a job must not be reported as unknown because the ledger cannot be read"))
}
