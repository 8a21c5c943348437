package leader

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"bamboowood/internal/boottime"
	"bamboowood/internal/ledger"
	"bamboowood/internal/wire"
)

// silentLeader accepts sessions and streams, and never answers. It counts the sessions.
func silentLeader(t *testing.T) (address string, sessions chan struct{}) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	sessions = make(chan struct{}, 10)
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			session, err := wire.NewServerSession(conn)
			if err != nil {
				continue
			}
			sessions <- struct{}{}
			t.Cleanup(func() { _ = session.Close() })
		}
	}()
	return ln.Addr().String(), sessions
}

// Guards against a query that outlives its cancellation, so that its request is not answered before
// the end of a shutdown, and against a cancelled query that closes the session of the others.
func TestClient_CancelledQuery(t *testing.T) {
	address, sessions := silentLeader(t)
	l := New(Options{Logger: &log.Logger{Handler: discard.Default}, Address: "10.0.0.1:1", Now: boottime.Now})
	l.observe(ledger.Term{Number: 1, Leader: address})
	client := &Client{Leader: l}
	for name, query := range map[string]func(context.Context){
		"settings": func(ctx context.Context) { _, err := client.Settings(ctx, 0); test.Error(t, err) },
		"relay":    func(ctx context.Context) { test.Error(t, client.StoreCancel(ctx, testJob(1).ID)) },
		"status":   func(ctx context.Context) { _, _, leading := client.Status(ctx, testJob(1).ID); test.False(t, leading) },
	} {
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(50*time.Millisecond, cancel)
		began := time.Now()
		query(ctx)
		test.Less(t, 300*time.Millisecond, time.Since(began), test.Sprint(name))
	}
	test.Eq(t, 1, len(sessions))
}
