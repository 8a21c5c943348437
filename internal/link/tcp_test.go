package link_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"bamboowood/internal/control"
	"bamboowood/internal/exchange"
	"bamboowood/internal/link"
	"bamboowood/internal/routing"
	"bamboowood/internal/structs"
	"bamboowood/internal/wire"
	"bamboowood/internal/wire/wirepb"
)

// traffic counts the bytes of an agent's connections in both directions and its writes.
type traffic struct {
	bytes, writes atomic.Int64
}

type countingConn struct {
	net.Conn
	traffic *traffic
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.bytes.Add(int64(n))
	c.traffic.writes.Add(1)
	return n, err
}

// startTCPEntry serves an entry on loopback. ready receives the number of upstreams of the
// newest snapshot.
func startTCPEntry(tb testing.TB, holder *control.Holder) (entry *link.Entry, addr string, ready chan int) {
	tb.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(tb, err)
	ready = make(chan int, 1)
	entry = link.NewEntry(link.EntryOptions{
		Address: ln.Addr().String(), Zone: "centro", Holder: holder,
		OnSnapshot: func(s *routing.Snapshot) {
			select {
			case <-ready:
			default:
			}
			ready <- len(s.Upstreams)
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = entry.Serve(ctx, ln)
	}()
	tb.Cleanup(func() {
		cancel()
		<-done
	})
	return entry, ln.Addr().String(), ready
}

func startTCPAgent(tb testing.TB, opts link.AgentOptions, runner exchange.Upstream) *exchange.Server {
	tb.Helper()
	opts.Zone, opts.Incarnation, opts.Services = "centro", 1, []string{service}
	opts.Holder = control.NewHolder()
	opts.Server = exchange.NewServer(exchange.ServerOptions{}, runner)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	agent := link.NewAgent(opts)
	go func() {
		defer close(done)
		_ = agent.Run(ctx)
	}()
	tb.Cleanup(func() {
		cancel()
		<-done
	})
	return opts.Server
}

func awaitUpstreams(ready chan int, n int) {
	for got := range ready {
		if got >= n {
			return
		}
	}
}

// Guards against a client of the agents' port that makes an entry keep a large announcement.
func TestLink_AnnouncementTooLarge(t *testing.T) {
	entry, addr, _ := startTCPEntry(t, control.NewHolder())
	session, err := wire.Dial(t.Context(), addr, nil)
	must.NoError(t, err)
	defer func() { _ = session.Close() }()
	stream, err := session.Open(t.Context())
	must.NoError(t, err)
	announce := &wirepb.Announce{Vm: "v1", Zone: "centro", Incarnation: 1, Services: []string{string(make([]byte, 100<<10))}}
	// The entry may close the session before it has received all of the message.
	if err := stream.Send(&wirepb.Hello{Kind: &wirepb.Hello_Announce{Announce: announce}}); err != nil {
		must.ErrorIs(t, err, wire.ErrSessionClosed)
	}
	select {
	case <-session.Done():
	case <-time.After(30 * time.Second):
		t.Fatal("session goes on")
	}
	must.Zero(t, entry.Sessions())
}

// maxControlBytes is the most control traffic of a node, in bytes per second.
const maxControlBytes = 4 << 10

// The traffic of an idle agent with four entries over TCP stays below maxControlBytes. It
// counts all sessions in both directions, and 52 bytes of TCP and IP headers for each
// write and for its acknowledgement.
func TestLink_IdleTraffic(t *testing.T) {
	if testing.Short() {
		t.Skip("measures traffic for 5 s")
	}
	const entries, seconds = 4, 5
	counted := &traffic{}
	var seeds []string
	var all []chan int
	for range entries {
		_, addr, ready := startTCPEntry(t, control.NewHolder())
		seeds = append(seeds, addr)
		all = append(all, ready)
	}
	startTCPAgent(t, link.AgentOptions{
		VM: "vm1", Seeds: seeds,
		Dial: func(ctx context.Context, addr string) (wire.Session, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
			if err != nil {
				return nil, err
			}
			return wire.NewClientSession(countingConn{Conn: conn, traffic: counted})
		},
	}, newFakeRunner(time.Millisecond))
	for _, ready := range all {
		awaitUpstreams(ready, 1)
	}
	bytes, writes := counted.bytes.Load(), counted.writes.Load()
	<-time.After(seconds * time.Second)
	bytes, writes = counted.bytes.Load()-bytes, counted.writes.Load()-writes
	// The entries are assumed to write as often as the agent.
	total := (bytes + 2*writes*2*52) / seconds
	t.Logf("payload %d B/s, with headers %d B/s, %d writes/s by the agent", bytes/seconds, total, writes/seconds)
	must.Positive(t, bytes)
	must.Less(t, maxControlBytes, total)
}

// A complete request succeeds over TCP.
func TestLink_RequestOverTCP(t *testing.T) {
	entry, addr, ready := startTCPEntry(t, control.NewHolder())
	runner := newFakeRunner(0)
	startTCPAgent(t, link.AgentOptions{VM: "vm1", Seeds: []string{addr}}, runner)
	awaitUpstreams(ready, 1)
	for _, idempotent := range []bool{true, false} {
		req := request("r1", idempotent)
		req.Deadline = time.Now().Add(10 * time.Second)
		answer, _, err := entry.Do(context.Background(), "vm1", req)
		must.NoError(t, err)
		must.Eq(t, "body of r1", string(answer.Body))
	}
	must.Eq(t, 2, runner.runCount("r1"))
}

// BenchmarkDo measures one request through the whole exchange over loopback.
func BenchmarkDo(b *testing.B) {
	entry, addr, ready := startTCPEntry(b, control.NewHolder())
	startTCPAgent(b, link.AgentOptions{VM: "vm1", Seeds: []string{addr}}, instant{})
	awaitUpstreams(ready, 1)
	for _, idempotent := range []bool{true, false} {
		name := map[bool]string{true: "idempotent", false: "two-step"}[idempotent]
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				req := structs.Request{
					ID: nextID(), Service: service, Body: make([]byte, 256), Idempotent: idempotent,
					Deadline: time.Now().Add(10 * time.Second),
				}
				if _, _, err := entry.Do(context.Background(), "vm1", req); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// instant is an upstream that answers at once.
type instant struct{}

func (instant) Call(_ context.Context, req structs.Request) (structs.Answer, error) {
	return structs.Answer{RequestID: req.ID, Status: 200, Body: req.Body}, nil
}
