package wire

import (
	"encoding/binary"
	"io"
	"net"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
	"pgregory.net/rapid"

	"bamboowood/internal/ingress"
	"bamboowood/internal/wire/wirepb"
)

// Guards against data that is counted wrongly when a read ends within a frame or its header.
func TestFrameParser_Property(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var stream []byte
		want := 0
		for range rapid.IntRange(0, 20).Draw(t, "frames") {
			kind, length := rapid.ByteRange(0, 3).Draw(t, "type"), rapid.IntRange(0, 50).Draw(t, "length")
			header := make([]byte, frameHeaderBytes)
			header[frameTypeOffset] = kind
			binary.BigEndian.PutUint32(header[frameLengthOffset:], uint32(length))
			stream = append(stream, header...)
			if kind == frameTypeData {
				stream = append(stream, make([]byte, length)...)
				want += length
			}
		}
		var f frameParser
		got := 0
		for len(stream) > 0 {
			n := rapid.IntRange(1, len(stream)).Draw(t, "read")
			for read := stream[:n]; len(read) > 0; {
				var part framePart
				part, read = f.next(read)
				got += part.data
			}
			stream = stream[n:]
		}
		if got != want {
			t.Fatalf("%d bytes of data, want %d", got, want)
		}
	})
}

// Guards against an ordinary session that ends because its messages stay counted, and against memory that
// is not returned when sessions end.
func TestBoundedSession_ReturnsMemory(t *testing.T) {
	pool := ingress.NewPool(1 << 20)
	near, far := net.Pipe()
	server, err := NewBoundedServerSession(far, Bounds{Pool: pool, MaxMessage: 128 << 10})
	must.NoError(t, err)
	client, err := NewClientSession(near)
	must.NoError(t, err)
	id := string(make([]byte, 100<<10))
	for range 50 {
		out, err := client.Open(t.Context())
		must.NoError(t, err)
		must.NoError(t, out.Send(&wirepb.Query{Job: id}))
		in, err := server.Accept(t.Context())
		must.NoError(t, err)
		var q wirepb.Query
		must.NoError(t, in.Recv(&q))
		must.NoError(t, in.Close())
		must.NoError(t, out.Close())
	}
	test.Zero(t, pool.Used())
	_ = client.Close()
	_ = server.Close()
}

// Guards against a long session that ends because answers which arrive after their stream was closed, as
// those of hedged requests do, stay counted.
func TestBoundedSession_ClosedStreams(t *testing.T) {
	pool := ingress.NewPool(1 << 20)
	near, far := net.Pipe()
	server, err := NewBoundedServerSession(far, Bounds{Pool: pool})
	must.NoError(t, err)
	client, err := NewClientSession(near)
	must.NoError(t, err)
	answer := &wirepb.Query{Job: string(make([]byte, 100<<10))}
	for range 20 {
		out, err := server.Open(t.Context())
		must.NoError(t, err)
		must.NoError(t, out.Send(&wirepb.Query{}))
		in, err := client.Accept(t.Context())
		must.NoError(t, err)
		must.NoError(t, in.Send(answer))
		must.NoError(t, out.Close())
		must.NoError(t, in.Close())
		must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return pool.Used() == 0 }), wait.Timeout(30*time.Second)))
	}
	_ = client.Close()
	_ = server.Close()
}

// Guards against a peer that opens streams without a bound, which are refused one by one.
func TestBoundedSession_ManyStreams(t *testing.T) {
	pool := ingress.NewPool(1 << 20)
	near, far := net.Pipe()
	server, err := NewBoundedServerSession(far, Bounds{Pool: pool})
	must.NoError(t, err)
	defer func() { _ = near.Close() }()
	go func() { _, _ = io.Copy(io.Discard, near) }()
	go func() {
		frame := make([]byte, frameHeaderBytes)
		frame[frameTypeOffset] = 1 // window update
		binary.BigEndian.PutUint16(frame[frameFlagsOffset:], frameFlagSYN)
		for id := uint32(1); id < 40_000; id += 2 {
			binary.BigEndian.PutUint32(frame[frameStreamOffset:], id)
			if _, err := near.Write(frame); err != nil {
				return
			}
		}
	}()
	select {
	case <-server.Done():
	case <-time.After(30 * time.Second):
		t.Fatal("session goes on")
	}
	test.LessEq(t, 1<<20, pool.Used())
}

// Guards against a peer that sends without a bound what nobody reads.
func TestBoundedSession_UnreadData(t *testing.T) {
	pool := ingress.NewPool(1 << 20)
	near, far := net.Pipe()
	server, err := NewBoundedServerSession(far, Bounds{Pool: pool})
	must.NoError(t, err)
	config := yamux.DefaultConfig()
	config.LogOutput = io.Discard
	client, err := yamux.Client(near, config)
	must.NoError(t, err)
	defer func() { _ = client.Close() }()
	for range 10 {
		go func() {
			if stream, err := client.OpenStream(); err == nil {
				_, _ = stream.Write(make([]byte, 200<<10))
			}
		}()
	}
	select {
	case <-server.Done():
	case <-time.After(30 * time.Second):
		t.Fatal("session goes on")
	}
	test.LessEq(t, 1<<20, pool.Used())
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return pool.Used() == 0 }), wait.Timeout(30*time.Second)))
}
