package wire_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"bamboowood/internal/wire"
	"bamboowood/internal/wire/wirepb"
)

// contract lists the tests that every implementation of Session must pass.
var contract = []struct {
	name string
	run  func(t *testing.T, agent, entry wire.Session)
}{
	{"both sides open streams", testBothSidesOpen},
	{"messages keep their order and content", testOrder},
	{"concurrent streams receive only their own messages", testStreamsDoNotMix},
	{"after close the peer receives the sent messages, then io.EOF", testCloseGivesEOF},
	{"deadline ends a pending receive", testDeadline},
	{"a later deadline makes an expired stream usable again", testDeadlineExtended},
	{"session close ends all pending calls", testSessionClose},
	{"cancelled context ends accept and open", testContext},
	{"a message that is too large is rejected and nothing is sent", testTooLarge},
	{"a large message is delivered", testLarge},
}

func TestSession_Pipe(t *testing.T) {
	for _, c := range contract {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				agent, entry := wire.Pipe()
				defer agent.Close()
				c.run(t, agent, entry)
			})
		})
	}
}

func TestSession_PipeWithDelay(t *testing.T) {
	for _, c := range contract {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				faults := &wire.Faults{}
				faults.SetDelay(3 * time.Millisecond)
				agent, entry := wire.Pipe(wire.WithFaults(faults))
				defer agent.Close()
				c.run(t, agent, entry)
			})
		})
	}
}

func TestSession_Yamux(t *testing.T) {
	for _, c := range contract {
		t.Run(c.name, func(t *testing.T) {
			agent, entry, _ := tcpPair(t)
			c.run(t, agent, entry)
		})
	}
}

// tcpPair returns both ends of a session over loopback TCP and the entry's connection.
func tcpPair(t *testing.T) (agent, entry wire.Session, conn net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer ln.Close()
	accepted := make(chan net.Conn, 1)
	go func() {
		c, _ := ln.Accept()
		accepted <- c
	}()
	agent, err = wire.Dial(context.Background(), ln.Addr().String(), nil)
	must.NoError(t, err)
	conn = <-accepted
	entry, err = wire.NewServerSession(conn)
	must.NoError(t, err)
	t.Cleanup(func() {
		_ = agent.Close()
		_ = entry.Close()
	})
	return agent, entry, conn
}

// connect opens a stream from one side to the other and sends one message on it.
func connect(t *testing.T, from, to wire.Session) (near, far wire.Stream) {
	t.Helper()
	near, err := from.Open(context.Background())
	must.NoError(t, err)
	must.NoError(t, near.Send(commit("hello")))
	far, err = to.Accept(context.Background())
	must.NoError(t, err)
	must.Eq(t, "hello", receive(t, far))
	return near, far
}

func commit(id string) *wirepb.Commit { return &wirepb.Commit{RequestId: id} }

func receive(t *testing.T, s wire.Stream) string {
	t.Helper()
	m := &wirepb.Commit{}
	must.NoError(t, s.Recv(m))
	return m.GetRequestId()
}

func testBothSidesOpen(t *testing.T, agent, entry wire.Session) {
	near, far := connect(t, agent, entry)
	must.NoError(t, far.Send(commit("back")))
	must.Eq(t, "back", receive(t, near))
	near, far = connect(t, entry, agent)
	must.NoError(t, far.Send(commit("back")))
	must.Eq(t, "back", receive(t, near))
}

func testOrder(t *testing.T, agent, entry wire.Session) {
	near, far := connect(t, agent, entry)
	for i := range 100 {
		must.NoError(t, near.Send(commit(fmt.Sprint(i))))
	}
	for i := range 100 {
		must.Eq(t, fmt.Sprint(i), receive(t, far))
	}
}

func testStreamsDoNotMix(t *testing.T, agent, entry wire.Session) {
	const streams = 32
	var wg sync.WaitGroup
	for i := range streams {
		wg.Go(func() {
			s, err := entry.Open(context.Background())
			must.NoError(t, err)
			defer s.Close()
			must.NoError(t, s.Send(commit(fmt.Sprint(i))))
			must.Eq(t, fmt.Sprint(i), receive(t, s))
		})
	}
	for range streams {
		wg.Go(func() {
			s, err := agent.Accept(context.Background())
			must.NoError(t, err)
			defer s.Close()
			must.NoError(t, s.Send(commit(receive(t, s))))
		})
	}
	wg.Wait()
}

func testCloseGivesEOF(t *testing.T, agent, entry wire.Session) {
	near, far := connect(t, agent, entry)
	must.NoError(t, near.Send(commit("last")))
	must.NoError(t, near.Close())
	must.Eq(t, "last", receive(t, far))
	must.ErrorIs(t, far.Recv(&wirepb.Commit{}), io.EOF)
	must.ErrorIs(t, far.Recv(&wirepb.Commit{}), io.EOF)
	must.Error(t, near.Send(commit("after close")))
}

func testDeadline(t *testing.T, agent, entry wire.Session) {
	near, _ := connect(t, agent, entry)
	must.NoError(t, near.SetDeadline(time.Now().Add(20*time.Millisecond)))
	must.ErrorIs(t, near.Recv(&wirepb.Commit{}), os.ErrDeadlineExceeded)
	must.NoError(t, near.SetDeadline(time.Time{}))
	pending := make(chan error, 1)
	go func() { pending <- near.Recv(&wirepb.Commit{}) }()
	must.NoError(t, near.SetDeadline(time.Unix(1, 0))) // as done when a context is cancelled
	must.ErrorIs(t, <-pending, os.ErrDeadlineExceeded)
}

func testDeadlineExtended(t *testing.T, agent, entry wire.Session) {
	near, far := connect(t, agent, entry)
	must.NoError(t, near.SetDeadline(time.Now().Add(time.Millisecond)))
	must.ErrorIs(t, near.Recv(&wirepb.Commit{}), os.ErrDeadlineExceeded)
	must.NoError(t, near.SetDeadline(time.Now().Add(time.Minute)))
	must.NoError(t, far.Send(commit("late")))
	must.Eq(t, "late", receive(t, near))
}

func testSessionClose(t *testing.T, agent, entry wire.Session) {
	near, far := connect(t, agent, entry)
	pending := make(chan error, 2)
	go func() { pending <- near.Recv(&wirepb.Commit{}) }()
	go func() { pending <- far.Recv(&wirepb.Commit{}) }()
	accepting := make(chan error, 1)
	go func() {
		_, err := agent.Accept(context.Background())
		accepting <- err
	}()
	must.NoError(t, entry.Close())
	for range 2 {
		err := <-pending
		must.True(t, errors.Is(err, wire.ErrSessionClosed), must.Sprint(err))
	}
	must.ErrorIs(t, <-accepting, wire.ErrSessionClosed)
	<-agent.Done()
	<-entry.Done()
	_, err := agent.Open(context.Background())
	must.ErrorIs(t, err, wire.ErrSessionClosed)
}

func testContext(t *testing.T, agent, _ wire.Session) {
	ctx, cancel := context.WithCancel(context.Background())
	accepting := make(chan error, 1)
	go func() {
		_, err := agent.Accept(ctx)
		accepting <- err
	}()
	cancel()
	must.ErrorIs(t, <-accepting, context.Canceled)
	_, err := agent.Open(ctx)
	must.ErrorIs(t, err, context.Canceled)
}

func testTooLarge(t *testing.T, agent, entry wire.Session) {
	near, far := connect(t, agent, entry)
	must.ErrorIs(t, near.Send(&wirepb.Commit{Body: make([]byte, wire.MaxMessageBytes+1)}), wire.ErrMessageTooLarge)
	must.NoError(t, near.Send(commit("next")))
	must.Eq(t, "next", receive(t, far))
}

func testLarge(t *testing.T, agent, entry wire.Session) {
	near, far := connect(t, agent, entry)
	body := bytes.Repeat([]byte("0123456789abcdef"), wire.MaxMessageBytes/32)
	sent := make(chan error, 1)
	go func() { sent <- near.Send(&wirepb.Commit{Body: body}) }()
	m := &wirepb.Commit{}
	must.NoError(t, far.Recv(m))
	must.NoError(t, <-sent)
	must.True(t, bytes.Equal(body, m.GetBody()))
}
