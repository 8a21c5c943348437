package intake

import (
	"errors"
	"testing"
	"testing/synctest"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"bamboowood/internal/job"
	"bamboowood/internal/ledger"
	"bamboowood/internal/store"
)

// Guards against the answer that there is no such job before the cancel is stored, and against a cancel that is
// confirmed without being stored.
func TestServer_Cancel(t *testing.T) {
	for name, c := range map[string]struct {
		leader fakeLeader
		store  []error
		want   error // nil, ErrUnknownJob, or errNoAnswer for any other
	}{
		"leader has the job":              {fakeLeader{state: job.Running, leading: true}, []error{nil}, nil},
		"not stored":                      {fakeLeader{leading: true}, []error{nil}, ErrUnknownJob},
		"no leader, not stored":           {fakeLeader{}, []error{nil}, ErrUnknownJob},
		"stored, not yet at the leader":   {fakeLeader{leading: true}, []error{conflictWith("jobs"), nil}, nil},
		"unconfirmed, then stored":        {fakeLeader{leading: true, relayErr: store.ErrRefused}, []error{errNoAnswer, conflictWith("jobs"), nil}, nil},
		"store refuses, relay: no job":    {fakeLeader{leading: true, relayErr: ledger.ErrNotStored}, []error{store.ErrRefused}, ErrUnknownJob},
		"store refuses, relayed":          {fakeLeader{leading: true}, []error{store.ErrRefused}, nil},
		"store and relay refuse":          {fakeLeader{leading: true, relayErr: store.ErrRefused}, []error{store.ErrRefused}, errNoAnswer},
		"unconfirmed by store and leader": {fakeLeader{leading: true, relayErr: errNoAnswer}, []error{errNoAnswer}, errNoAnswer},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				err := newServer(&fakeStore{writeErrs: c.store}, &c.leader).Cancel(t.Context(), goodJob().ID)
				if errors.Is(c.want, errNoAnswer) {
					test.Error(t, err)
					test.False(t, errors.Is(err, ErrUnknownJob))
					return
				}
				test.ErrorIs(t, err, c.want)
			})
		})
	}
}

// Guards against callers that fill the store and the leader with cancels of jobs that do not exist.
func TestServer_CancelsOfUnknownJobsAreLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{writeErrs: []error{nil}}
		server := newServer(s, &fakeLeader{leading: true})
		var refused *RefusedError
		for range 2 * cancelBurst {
			errors.As(server.Cancel(t.Context(), goodJob().ID), &refused)
		}
		must.NotNil(t, refused)
		test.Eq(t, TooManyCancels, refused.Reason)
		test.Eq(t, cancelBurst, s.writes)
		server.Leader = &fakeLeader{state: job.Running, leading: true}
		test.NoError(t, server.Cancel(t.Context(), goodJob().ID))
	})
}
