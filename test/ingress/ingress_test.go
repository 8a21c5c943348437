package ingress

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"bamboowood/internal/wire/wirepb"
)

// crowd is the number of connections of most tests. With bodies of the legal size they carry more
// than the memory of the process, and they are more than its descriptors.
const crowd = 400

// ordinaryJob is a job as ordinary callers submit it.
const ordinaryJob = `{"spec":"s","steps":[{"count":2,"cpu":500,"memMb":16,"estimateMs":100}]}`

// submitOrdinary submits an ordinary job.
func submitOrdinary() error {
	return request(http.MethodPost, callers, "/x/00000000000000aa", ordinaryJob)
}

// sendAll opens n connections to address and sends each of pieces on all of them before the next.
// The process may close any connection. All others stay open until the test ends.
func sendAll(t *testing.T, address string, n int, pieces func(i int) [][]byte) {
	conns := make([]net.Conn, n)
	for i := range conns {
		conn, err := net.DialTimeout("tcp", address, patience)
		must.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		conns[i] = conn
	}
	for k := range pieces(0) {
		var wg sync.WaitGroup
		for i, conn := range conns {
			wg.Go(func() {
				_ = conn.SetWriteDeadline(time.Now().Add(10 * time.Second))
				_, _ = conn.Write(pieces(i)[k])
			})
		}
		wg.Wait()
	}
}

func submission(i int, headers string) string {
	return fmt.Sprintf("POST /x/%016x HTTP/1.1\r\nHost: a.example\r\n%s\r\n", 0xb000+i, headers)
}

// unfinishedBody is a body of the legal size without its end.
var unfinishedBody = []byte(`{"spec":"` + strings.Repeat("x", bodyLimit-1024))

func chunks(size int) []byte {
	var b bytes.Buffer
	for data := unfinishedBody; len(data) > 0; {
		n := min(size, len(data))
		fmt.Fprintf(&b, "%x\r\n%s\r\n", n, data[:n])
		data = data[n:]
	}
	return b.Bytes()
}

// Guards against an entry that runs out of memory when many bodies of legal size are sent at once and
// stop short of their end.
func TestIngress_UnfinishedBodies(t *testing.T) {
	declared := fmt.Sprintf("Content-Length: %d\r\n", bodyLimit)
	const chunked = "Transfer-Encoding: chunked\r\n"
	large, small := chunks(64<<10), chunks(16)
	for _, c := range []struct {
		name, headers string
		body          []byte
		pieces        int
	}{
		{"whole", declared, unfinishedBody, 1},
		{"piece by piece", declared, unfinishedBody, 8},
		{"large chunks", chunked, large, 1},
		{"very small chunks", chunked, small, 1},
		{"very small chunks, piece by piece", chunked, small, 8},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := start(t, "entry")
			sendAll(t, callers, crowd, func(i int) [][]byte {
				pieces := [][]byte{[]byte(submission(i, c.headers))}
				for k := range c.pieces {
					n := len(c.body)
					pieces = append(pieces, c.body[n*k/c.pieces:n*(k+1)/c.pieces])
				}
				return pieces
			})
			p.check(submitOrdinary)
		})
	}
}

// Guards against a body of legal size that takes many times its size when it is decoded.
func TestIngress_ManySteps(t *testing.T) {
	p := start(t, "entry")
	body := `{"steps":[{}` + strings.Repeat(",{}", (bodyLimit-100)/3) + `]}`
	sendAll(t, callers, 40, func(i int) [][]byte {
		return [][]byte{[]byte(submission(i, fmt.Sprintf("Content-Length: %d\r\n", len(body))) + body)}
	})
	p.check(submitOrdinary)
}

// Guards against headers and query strings that together exceed the memory of the process, on each
// of its HTTP listeners.
func TestIngress_UnfinishedHeaders(t *testing.T) {
	const size = 900 << 10
	header := []byte("GET /x/ HTTP/1.1\r\nHost: a.example\r\nX: " + strings.Repeat("x", size))
	query := []byte("GET /x/?" + strings.Repeat("x", size))
	for _, c := range []struct {
		name, role, address string
		data                []byte
	}{
		{"headers", "entry", callers, header},
		{"query string", "entry", callers, query},
		{"readiness", "entry", readiness, header},
		{"metrics", "entry", metrics, header},
		{"reports", "agent", reports, header},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := start(t, c.role)
			sendAll(t, c.address, 100, func(int) [][]byte { return [][]byte{c.data} })
			if c.role == "entry" {
				p.check(submitOrdinary)
			} else {
				p.check(func() error { return request(http.MethodGet, metrics, "/metrics", "") })
			}
		})
	}
}

// Guards against a process that runs out of descriptors: connections that carry nothing, a request
// whose body does not end, or pipelined requests whose responses are not read.
func TestIngress_ManyConnections(t *testing.T) {
	const get = "GET /x/ HTTP/1.1\r\nHost: a.example\r\n"
	for _, c := range []struct{ name, role, address, data string }{
		{"silent", "entry", callers, "G"},
		{"idle", "entry", callers, get + "\r\n"},
		{"GET with a body", "entry", callers, get + "Content-Length: 1000\r\n\r\nx"},
		{"DELETE with a body", "entry", callers, strings.Replace(submission(1, "Content-Length: 1000\r\n"), "POST", "DELETE", 1) + "x"},
		{"unread responses", "entry", callers, strings.Repeat(get+"\r\n", 2000)},
		{"trailer without an end", "entry", callers, submission(1, "Transfer-Encoding: chunked\r\n") + "2;x=" + strings.Repeat("x", 2000) + "\r\n{}\r\n0\r\nX: "},
		{"readiness", "entry", readiness, "GET / HTTP/1.1\r\nHost: r\r\n\r\n"},
		{"metrics", "entry", metrics, "GET / HTTP/1.1\r\nHost: r\r\n\r\n"},
		{"sessions of entries", "entry", peers, "\x00"},
		{"sessions of agents", "agent", peers, "\x00"},
		{"reports", "agent", reports, "PUT /instances/i HTTP/1.1\r\nHost: r\r\nContent-Length: 1000\r\n\r\nx"},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := start(t, c.role)
			sendAll(t, c.address, crowd, func(int) [][]byte { return [][]byte{[]byte(c.data)} })
			if c.role == "entry" {
				p.check(submitOrdinary)
			} else {
				p.check(func() error { return request(http.MethodGet, metrics, "/metrics", "") })
			}
		})
	}
}

// sendStreams opens sessions to a port for sessions between processes and sends data on several
// streams of each.
func sendStreams(t *testing.T, address string, sessions, streams int, data func(k int) []byte) {
	for range sessions {
		conn, err := net.DialTimeout("tcp", address, patience)
		must.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		settings := yamux.DefaultConfig()
		settings.LogOutput = io.Discard
		session, err := yamux.Client(conn, settings)
		must.NoError(t, err)
		var wg sync.WaitGroup
		for k := range streams {
			wg.Go(func() {
				stream, err := session.OpenStream()
				if err != nil {
					return
				}
				_ = stream.SetDeadline(time.Now().Add(5 * time.Second))
				_, _ = stream.Write(data(k))
			})
		}
		wg.Wait()
	}
}

// Guards against a peer that sends no valid message and takes all of the memory.
func TestIngress_UnfinishedMessages(t *testing.T) {
	data := append(protowire.AppendVarint(nil, 4<<20-1), make([]byte, 250<<10)...)
	for _, role := range []string{"entry", "agent"} {
		t.Run(role, func(t *testing.T) {
			p := start(t, role)
			sendStreams(t, peers, 4, 200, func(int) []byte { return data })
			if role == "entry" {
				p.check(submitOrdinary)
			} else {
				p.check(func() error { return request(http.MethodGet, metrics, "/metrics", "") })
			}
		})
	}
}

// Guards against cancellations of unknown jobs that a leader keeps without a bound.
func TestIngress_CancelledBeforeAccepted(t *testing.T) {
	p := start(t, "entry")
	id := strings.Repeat("x", 1<<20)
	sendStreams(t, peers, 1, 150, func(k int) []byte {
		data, err := proto.Marshal(&wirepb.Query{Job: fmt.Sprint(k, id), Cancelled: true})
		must.NoError(t, err)
		return append(protowire.AppendVarint(nil, uint64(len(data))), data...)
	})
	p.check(submitOrdinary)
}

// Guards against legal jobs whose tasks take all of the leader's memory.
func TestIngress_ManyTasks(t *testing.T) {
	p := start(t, "entry")
	const body = `{"spec":"s","steps":[{"count":20000}]}`
	for first := 0; first < 100; first += 10 {
		sendAll(t, callers, 10, func(i int) [][]byte {
			return [][]byte{[]byte(submission(first+i, fmt.Sprintf("Content-Length: %d\r\n", len(body))) + body)}
		})
	}
	p.check(submitOrdinary)
}
