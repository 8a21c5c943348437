package intake_test

import (
	"context"
	"errors"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"bamboowood/internal/intake"
	"bamboowood/internal/job"
	"bamboowood/internal/leader"
	"bamboowood/internal/ledger"
	"bamboowood/internal/store"
	"bamboowood/platform"
	"bamboowood/platform/platformtest"
)

var errNoAnswer = errors.New("no answer")

// lateStore does not answer transactions while late is set, and applies them only in performLate.
type lateStore struct {
	store.Store
	late bool
	held []store.Tx
}

func (s *lateStore) Apply(ctx context.Context, tx store.Tx) (int64, error) {
	if s.late {
		s.held = append(s.held, tx)
		return 0, errNoAnswer
	}
	return s.Store.Apply(ctx, tx)
}

func (s *lateStore) performLate(ctx context.Context) (errs []error) {
	for _, tx := range s.held {
		_, err := s.Store.Apply(ctx, tx)
		errs = append(errs, err)
	}
	return errs
}

func newLateStore(t *testing.T) *lateStore {
	server := httptest.NewServer(platformtest.NewStore())
	t.Cleanup(server.Close)
	t.Cleanup(server.CloseClientConnections)
	return &lateStore{Store: platform.NewStore(strings.TrimPrefix(server.URL, "http://"))}
}

// Guards against a job that is stored, and run for ever, after its cancel was answered that there is no such
// job: the store performs the unanswered write of its submission only after the cancel.
func TestServer_CancelBeforeLateSubmission(t *testing.T) {
	s := newLateStore(t)
	logger := &log.Logger{Handler: discard.Default}
	noLeader := &leader.Client{Leader: leader.New(leader.Options{Logger: logger})}
	server := &intake.Server{Ledger: ledger.New(s, store.NewBulkReader(s, 0)), Logger: logger, Leader: noLeader}
	submission := &job.Job{ID: "5c0e7a21d94b36f8", Steps: []job.Step{{Tasks: 1}}}
	s.late = true
	must.Error(t, server.Submit(t.Context(), submission))
	s.late = false
	must.ErrorIs(t, server.Cancel(t.Context(), submission.ID), intake.ErrUnknownJob)
	must.SliceNotEmpty(t, s.performLate(t.Context()))
	_, err := server.Status(t.Context(), submission.ID)
	test.ErrorIs(t, err, intake.ErrUnknownJob)
	contents, err := server.Ledger.NewLoader().Run(t.Context())
	must.NoError(t, err)
	test.SliceEmpty(t, contents.Jobs, test.Sprint("the job must not be stored after its cancel"))

	var refused *intake.RefusedError
	must.True(t, errors.As(server.Submit(t.Context(), submission), &refused), must.Sprint("a repeated submission"))
	test.Eq(t, intake.Reason("cancelled"), refused.Reason)
	test.ErrorIs(t, server.Cancel(t.Context(), submission.ID), intake.ErrUnknownJob, test.Sprint("a repeated cancel"))
}
