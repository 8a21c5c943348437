package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"regexp"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// newTestActors returns actors with a server, and the log that they write.
func newTestActors(t *testing.T, grace time.Duration, handler http.HandlerFunc) (a *actors, url string, logs *memory.Handler) {
	logs = memory.New()
	a = newActors(&log.Logger{Handler: logs, Level: log.InfoLevel}, grace)
	must.NoError(t, a.serve("server", "127.0.0.1:0", 100, handler))
	return a, "http://" + a.servers[0].listener.Addr().String(), logs
}

// Guards against a process that is killed at the end of its grace period because one of its loops does
// not return, with no line in its log that tells which.
func TestActors_LoopThatDoesNotReturn(t *testing.T) {
	const grace = exitMargin + 300*time.Millisecond
	a, _, logs := newTestActors(t, grace, nil)
	release := make(chan struct{})
	defer close(release)
	a.add("stuck", func(context.Context) error { <-release; return nil })
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	began := time.Now()
	err := a.run(ctx)
	test.Less(t, grace, time.Since(began))
	test.ErrorIs(t, err, errOverdue)
	last := logs.Entries[len(logs.Entries)-1]
	test.Eq(t, log.ErrorLevel, last.Level)
	test.Eq(t, any("stuck"), last.Fields["running"])
}

// Guards against loops that end while a request in flight needs them, and against a log that does not
// tell what a shutdown waited for.
func TestActors_RequestsEndBeforeLoops(t *testing.T) {
	const took = 200 * time.Millisecond
	loopEnded, inHandler := make(chan struct{}), make(chan struct{})
	a, url, logs := newTestActors(t, 5*time.Second, func(w http.ResponseWriter, _ *http.Request) {
		close(inHandler)
		select {
		case <-loopEnded:
			w.WriteHeader(http.StatusInternalServerError)
		case <-time.After(took):
		}
	})
	a.add("loop", func(ctx context.Context) error {
		<-ctx.Done()
		close(loopEnded)
		return ctx.Err()
	})
	ctx, cancel := context.WithCancel(t.Context())
	answered := make(chan int, 1)
	go func() {
		defer close(answered)
		response, err := http.Get(url)
		if err != nil {
			t.Error(err)
			return
		}
		_ = response.Body.Close()
		answered <- response.StatusCode
	}()
	go func() {
		<-inHandler
		cancel()
	}()
	must.NoError(t, a.run(ctx))
	test.Eq(t, http.StatusOK, <-answered)
	last := logs.Entries[len(logs.Entries)-1]
	test.Eq(t, "shutdown finished", last.Message)
	test.RegexMatch(t, regexp.MustCompile(`^server \d+ ms$`), last.Fields["waited_for"].(string))
}

// Guards against a process that goes on half alive after one of its actors has failed.
func TestActors_ActorFails(t *testing.T) {
	a, url, _ := newTestActors(t, 5*time.Second, nil)
	failure := errors.New("failed")
	ended := make(chan struct{})
	a.add("loop", func(ctx context.Context) error {
		defer close(ended)
		<-ctx.Done()
		return ctx.Err()
	})
	a.add("failing", func(context.Context) error { return failure })
	test.ErrorIs(t, a.run(t.Context()), failure)
	<-ended
	_, err := net.Dial("tcp", url[len("http://"):])
	test.Error(t, err)
}

// Guards against an entry that does not end after one of its actors has failed, because its loop for
// the leadership goes on waiting for SIGTERM.
func TestActors_FailureWithoutSignal(t *testing.T) {
	const grace = exitMargin + 300*time.Millisecond
	a, _, _ := newTestActors(t, grace, nil)
	a.add("leadership", untilStop(t.Context(), func(ctx context.Context) error {
		<-ctx.Done()
		return ctx.Err()
	}))
	failure := errors.New("failed")
	a.add("failing", func(context.Context) error { return failure })
	test.ErrorIs(t, a.run(t.Context()), failure)
}
