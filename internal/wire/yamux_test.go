package wire_test

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/shoenig/test/must"
	"go.uber.org/goleak"
	"google.golang.org/protobuf/encoding/protodelim"

	"bamboowood/internal/wire"
	"bamboowood/internal/wire/wirepb"
)

// rawStream opens a yamux stream to an entry. The test writes its bytes directly.
func rawStream(t *testing.T) (raw *yamux.Stream, entry wire.Session) {
	t.Helper()
	near, far := net.Pipe()
	entry, err := wire.NewServerSession(far)
	must.NoError(t, err)
	config := yamux.DefaultConfig()
	config.LogOutput = t.Output()
	session, err := yamux.Client(near, config)
	must.NoError(t, err)
	t.Cleanup(func() {
		_ = session.Close()
		_ = entry.Close()
	})
	raw, err = session.OpenStream()
	must.NoError(t, err)
	return raw, entry
}

// Guards against malformed bytes on one stream ending the session or its other streams.
func TestYamux_GarbageEndsOnlyItsStream(t *testing.T) {
	cases := []struct {
		name  string
		bytes []byte
		close bool
	}{
		{"not protobuf", []byte{3, 0xff, 0xff, 0xff}, false},
		{"unterminated length", []byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}, false},
		{"length too large", binary.AppendUvarint(nil, wire.MaxMessageBytes+1), false},
		{"message truncated, stream closed", []byte{100, 1, 2, 3}, true},
		{"message truncated, stream open", []byte{100, 1, 2, 3}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			raw, entry := rawStream(t)
			stream, err := entry.Accept(context.Background())
			must.NoError(t, err)
			_, err = raw.Write(c.bytes)
			must.NoError(t, err)
			if c.close {
				must.NoError(t, raw.Close())
			}
			must.NoError(t, stream.SetDeadline(time.Now().Add(50*time.Millisecond)))
			err = stream.Recv(&wirepb.Commit{})
			must.Error(t, err)
			var tooLarge *protodelim.SizeTooLargeError
			must.Eq(t, c.name == "length too large", errors.As(err, &tooLarge))

			next, err := raw.Session().OpenStream()
			must.NoError(t, err)
			_, err = next.Write([]byte{0})
			must.NoError(t, err)
			valid, err := entry.Accept(context.Background())
			must.NoError(t, err)
			must.NoError(t, valid.Recv(&wirepb.Commit{}))
		})
	}
}

// Bytes that are not a yamux frame end the session.
func TestYamux_GarbageEndsSession(t *testing.T) {
	near, far := net.Pipe()
	entry, err := wire.NewServerSession(far)
	must.NoError(t, err)
	_, err = near.Write([]byte("GET / HTTP/1.1\r\n"))
	must.NoError(t, err)
	<-entry.Done()
	_, err = entry.Accept(context.Background())
	must.ErrorIs(t, err, wire.ErrSessionClosed)
}

// Guards against callers that block forever on a peer that has stopped reading: the write
// timeout ends the session.
func TestYamux_StuckPeer(t *testing.T) {
	near, far := net.Pipe() // near is never read
	defer near.Close()
	entry, err := wire.NewServerSession(far)
	must.NoError(t, err)
	start := time.Now()
	stream, err := entry.Open(context.Background())
	if err == nil {
		err = stream.Send(commit("x"))
	}
	must.Error(t, err)
	<-entry.Done()
	must.Less(t, 5*time.Second, time.Since(start))
}

// The number of open streams that the peer does not accept is bounded; opening another one
// fails immediately.
func TestYamux_BoundsOpenStreams(t *testing.T) {
	_, entry, _ := tcpPair(t)
	opened := 0
	for {
		_, err := entry.Open(context.Background())
		if err != nil {
			must.ErrorIs(t, err, wire.ErrTooManyStreams)
			break
		}
		opened++
		must.LessEq(t, 1000, opened)
	}
}

// Guards against goroutines that keep running after a session was closed.
func TestYamux_NoLeak(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	agent, entry, _ := tcpPair(t)
	near, _ := connect(t, agent, entry)
	must.NoError(t, near.Close())
	must.NoError(t, agent.Close())
	must.NoError(t, entry.Close())
}

// FuzzStream passes arbitrary bytes of a stream to Recv. They must not end the session.
func FuzzStream(f *testing.F) {
	f.Add([]byte{0})
	f.Add([]byte{5, 10, 3, 'a', 'b', 'c'})
	f.Fuzz(func(t *testing.T, data []byte) {
		raw, entry := rawStream(t)
		stream, err := entry.Accept(context.Background())
		must.NoError(t, err)
		_, _ = raw.Write(data)
		_ = raw.Close()
		for stream.Recv(&wirepb.Hello{}) == nil {
		}
		select {
		case <-entry.Done():
			t.Fatal("bytes of a stream ended the session")
		default:
		}
	})
}

// Guards against a message nested so deeply that decoding it overflows the stack, which ends the process.
func TestYamux_DeeplyNestedMessage(t *testing.T) {
	// Start tags of groups in an unknown field, each within the one before.
	group := byte(15<<3 | 3)
	for _, depth := range []int{10_000, 1_000_000, wire.MaxMessageBytes - 100} {
		near, far := net.Pipe()
		sender, err := wire.NewClientSession(near)
		must.NoError(t, err)
		receiver, err := wire.NewServerSession(far)
		must.NoError(t, err)
		t.Cleanup(func() { _, _ = sender.Close(), receiver.Close() })
		out, err := sender.Open(t.Context())
		must.NoError(t, err)
		var nested wirepb.AgentMessage
		nested.ProtoReflect().SetUnknown(bytes.Repeat([]byte{group}, depth))
		sent := make(chan error, 1)
		go func() { sent <- out.Send(&nested) }()
		in, err := receiver.Accept(t.Context())
		must.NoError(t, err)
		must.NoError(t, in.SetDeadline(time.Now().Add(10*time.Second)))
		var m wirepb.AgentMessage
		must.Error(t, in.Recv(&m))
		must.NoError(t, <-sent)
	}
}
