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

// fakeStore answers writes with errs in turn, the last one again and again.
type fakeStore struct {
	errs   []error
	writes int
	rows   []store.Row
	read   error
}

func (f *fakeStore) Apply(context.Context, store.Tx) (int64, error) {
	err := f.errs[min(f.writes, len(f.errs)-1)]
	f.writes++
	return 1, err
}

func (f *fakeStore) Read(_ context.Context, r store.Range, _ int) (store.Page, error) {
	var found []store.Row
	for _, row := range f.rows {
		if row.Table == r.Table && row.Key == r.From {
			found = append(found, row)
		}
	}
	return store.Page{Rows: found, Version: 1}, f.read
}

func (f *fakeStore) Feed(context.Context, store.Changes) ([]store.Row, int64, error) {
	return nil, 0, errNoAnswer
}

// fakeLeader relays with an error of its own.
type fakeLeader struct {
	relay   error
	state   job.State
	leading bool
	// largest is told if it is not zero; questions counts how often it was asked for.
	largest   job.Resources
	questions int
	// accepted is called for each job that is passed on.
	accepted func()
}

func (f *fakeLeader) MaxCapacity(context.Context, string) (job.Resources, bool) {
	f.questions++
	return f.largest, f.largest != job.Resources{}
}

func (f *fakeLeader) Status(context.Context, string) (job.State, bool, bool) {
	return f.state, f.state != "", f.leading
}
func (f *fakeLeader) WaitingJobs(context.Context, string) (int, bool) { return 3, f.leading }
func (f *fakeLeader) JobAccepted(context.Context, *job.Job) {
	if f.accepted != nil {
		f.accepted()
	}
}
func (f *fakeLeader) JobCancelled(context.Context, string)      {}
func (f *fakeLeader) Store(context.Context, *job.Job) error     { return f.relay }
func (f *fakeLeader) StoreCancel(context.Context, string) error { return f.relay }
func entry(s *fakeStore, l *fakeLeader) *Server {
	return &Server{Ledger: ledger.New(s, store.NewBulkReader(s, 0)), Leader: l, Logger: &log.Logger{Handler: discard.Default}}
}

func goodJob() *job.Job {
	return &job.Job{ID: "5c0e7a21d94b36f8", Steps: []job.Step{{Tasks: 1}}}
}

// A panic while the leader is told of a job ends neither the process nor the job.
func TestEntry_PanicWhileTheLeaderIsTold(t *testing.T) {
	told := make(chan struct{})
	e := entry(&fakeStore{errs: []error{nil}}, &fakeLeader{accepted: func() { defer close(told); panic("tripped") }})
	must.NoError(t, e.Submit(t.Context(), goodJob()))
	<-told
}

// A job is refused only if no try to store it can have had an effect.
func TestEntry_Submit(t *testing.T) {
	for name, c := range map[string]struct {
		store         []error
		relay         error
		ok, refused   bool
		storedAtLeast int
	}{
		"stored":                         {[]error{nil}, nil, true, false, 1},
		"refused by the store and relay": {[]error{store.ErrRefused}, store.ErrRefused, false, true, 1},
		"refused, relayed":               {[]error{store.ErrRefused}, nil, true, false, 1},
		"refused, relay unknown":         {[]error{store.ErrRefused}, errNoAnswer, false, false, 2},
		"unknown, relay refused":         {[]error{errNoAnswer}, store.ErrRefused, false, false, 2},
		"unknown, then refused":          {[]error{errNoAnswer, store.ErrRefused}, store.ErrRefused, false, false, 2},
		"unknown, then stored":           {[]error{errNoAnswer, nil}, store.ErrRefused, true, false, 2},
		"stored before":                  {[]error{&store.ConflictError{}}, store.ErrRefused, true, false, 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &fakeStore{errs: c.store}
				err := entry(s, &fakeLeader{relay: c.relay}).Submit(t.Context(), goodJob())
				var refused *RefusedError
				test.Eq(t, c.ok, err == nil)
				test.Eq(t, c.refused, errors.As(err, &refused))
				test.GreaterEq(t, c.storedAtLeast, s.writes)
			})
		})
	}
}

func TestEntry_SubmitInvalid(t *testing.T) {
	s := &fakeStore{errs: []error{nil}}
	err := entry(s, &fakeLeader{}).Submit(t.Context(), &job.Job{ID: "5c0e7a21d94b36f8"})
	test.ErrorIs(t, err, ErrInvalid)
	test.Eq(t, 0, s.writes)
}

func TestEntry_Status(t *testing.T) {
	stored := []store.Row{{Table: "jobs", Key: "5c0e7a21d94b36f8", Value: []byte("{}")}}
	for name, c := range map[string]struct {
		leader fakeLeader
		rows   []store.Row
		read   error
		want   job.State
		err    bool
	}{
		"leader knows":               {fakeLeader{state: job.Running, leading: true}, nil, nil, job.Running, false},
		"leader does not know yet":   {fakeLeader{leading: true}, stored, nil, job.Queued, false},
		"no leader":                  {fakeLeader{}, stored, nil, job.Queued, false},
		"unknown job":                {fakeLeader{leading: true}, nil, nil, "", true},
		"neither leader nor ledger":  {fakeLeader{}, nil, errNoAnswer, "", true},
		"leader, though store fails": {fakeLeader{state: job.Queued, leading: true}, nil, errNoAnswer, job.Queued, false},
	} {
		t.Run(name, func(t *testing.T) {
			state, err := entry(&fakeStore{rows: c.rows, read: c.read}, &c.leader).Status(t.Context(), "5c0e7a21d94b36f8")
			test.Eq(t, c.want, state)
			test.Eq(t, c.err, err != nil)
		})
	}
	_, err := entry(&fakeStore{read: errNoAnswer}, &fakeLeader{}).Status(t.Context(), "5c0e7a21d94b36f8")
	must.Error(t, err)
	test.False(t, errors.Is(err, ErrUnknownJob), test.Sprint("a job must not be denied because nobody can be asked"))
}
