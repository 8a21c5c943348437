package upstream_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"bamboowood/internal/structs"
	"bamboowood/internal/upstream"
	"bamboowood/internal/verdict"
)

// runner is a TCP server that reads complete HTTP requests and answers each with
// its script.
type runner struct {
	ln   net.Listener
	runs atomic.Int32
	// script writes the answer to the nth request (from 1) of a connection and
	// reports whether the connection stays open.
	script func(w net.Conn, id string, n int) bool
}

func startRunner(t *testing.T, script func(w net.Conn, id string, n int) bool) *runner {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	r := &runner{ln: ln, script: script}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go r.serve(conn)
		}
	}()
	return r
}

func (r *runner) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for n := 1; ; n++ {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		r.runs.Add(1)
		if !r.script(conn, req.Header.Get(upstream.HeaderRequestID), n) {
			return
		}
	}
}

func (r *runner) client() *upstream.Client {
	return upstream.NewClient("http://"+r.ln.Addr().String(), 0)
}

// answer returns a complete answer with the body.
func answer(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", upstream.HeaderRequestID, id, len(body), body)
}

func respondWith(response func(id string) string, keepOpen bool) func(net.Conn, string, int) bool {
	return func(w net.Conn, id string, _ int) bool {
		_, _ = io.WriteString(w, response(id))
		return keepOpen
	}
}

func request(id string) structs.Request {
	return structs.Request{ID: id, Service: "eyes", Body: []byte("x"), Deadline: time.Now().Add(time.Minute)}
}

const ok verdict.Outcome = 255

// Each fault of a runner gives the outcome and reason of the table. Every request
// reaches the runner once: neither the client nor its transport repeats it.
func TestCall_FaultTable(t *testing.T) {
	header := upstream.HeaderRequestID
	cases := []struct {
		name    string
		script  func(w net.Conn, id string, n int) bool
		outcome verdict.Outcome
		reason  verdict.Reason
	}{
		{"complete", respondWith(func(id string) string { return answer(id, "body") }, true), ok, ""},
		{"empty", respondWith(func(id string) string { return answer(id, "") }, true), ok, ""},
		{"chunked", respondWith(func(id string) string {
			return "HTTP/1.1 200 OK\r\n" + header + ": " + id + "\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"
		}, true), ok, ""},
		{"error status", respondWith(func(id string) string {
			return strings.Replace(answer(id, "body"), "200 OK", "500 Oops", 1)
		}, true), ok, ""},
		{"closes without an answer", respondWith(func(string) string { return "" }, false), verdict.MayHaveRun, verdict.UpstreamFailed},
		{"not HTTP", respondWith(func(string) string { return "what?\r\n\r\n" }, false), verdict.MayHaveRun, verdict.UpstreamFailed},
		{"stops in the headers", respondWith(func(id string) string { return answer(id, "")[:30] }, false), verdict.MayHaveRun, verdict.UpstreamFailed},
		{"stops in the body", respondWith(func(id string) string {
			a := answer(id, "body")
			return a[:len(a)-2]
		}, false), verdict.MayHaveRun, verdict.UpstreamTruncated},
		{"stops in a chunk", respondWith(func(id string) string {
			return "HTTP/1.1 200 OK\r\n" + header + ": " + id + "\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbo"
		}, false), verdict.MayHaveRun, verdict.UpstreamTruncated},
		{"declares no length", respondWith(func(id string) string {
			return "HTTP/1.1 200 OK\r\n" + header + ": " + id + "\r\nConnection: close\r\n\r\nbody"
		}, false), verdict.MayHaveRun, verdict.UpstreamTruncated},
		{"another request's answer", respondWith(func(string) string { return answer("other", "body") }, true), verdict.MayHaveRun, verdict.WrongAnswer},
		{"no request id", respondWith(func(string) string { return "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n" }, true), verdict.MayHaveRun, verdict.WrongAnswer},
		{"redirects", respondWith(func(id string) string {
			return strings.Replace(answer(id, ""), "200 OK", "307 Moved\r\nLocation: /eyes", 1)
		}, true), ok, ""},
		{"too large", respondWith(func(id string) string { return answer(id, strings.Repeat("x", upstream.MaxAnswerBytes+1)) }, true), verdict.MayHaveRun, verdict.UpstreamTruncated},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := startRunner(t, c.script)
			got, err := r.client().Call(context.Background(), request("r1"))
			must.Eq(t, 1, r.runs.Load())
			if c.outcome == ok {
				must.NoError(t, err)
				must.Eq(t, "r1", got.RequestID)
				return
			}
			must.Eq(t, c.reason, verdict.ReasonOf(err))
			must.Eq(t, c.outcome, verdict.OutcomeOf(err, ok))
		})
	}
}

// A runner that answers a request twice shifts all later answers on its connection
// to the wrong requests. The client detects this by the request id and stops using
// the connection.
func TestCall_AnsweredTwice(t *testing.T) {
	r := startRunner(t, func(w net.Conn, id string, n int) bool {
		_, _ = io.WriteString(w, answer(id, ""))
		if n == 1 {
			_, _ = io.WriteString(w, answer(id, ""))
		}
		return true
	})
	client := r.client()
	wrong := 0
	for i := range 20 {
		id := fmt.Sprintf("r%d", i)
		got, err := client.Call(context.Background(), request(id))
		if err != nil {
			must.Eq(t, verdict.MayHaveRun, verdict.OutcomeOf(err, ok))
			wrong++
			continue
		}
		must.Eq(t, id, got.RequestID)
	}
	must.LessEq(t, 10, wrong)
}

// The runner closes an idle connection when the next request arrives on it. The
// request has reached the runner and must not be sent again.
func TestCall_NeverRepeats(t *testing.T) {
	r := startRunner(t, func(w net.Conn, id string, n int) bool {
		if n == 2 {
			return false
		}
		_, _ = io.WriteString(w, answer(id, "body"))
		return true
	})
	client := r.client()
	_, err := client.Call(context.Background(), request("r1"))
	must.NoError(t, err)
	_, err = client.Call(context.Background(), request("r2"))
	must.Eq(t, verdict.MayHaveRun, verdict.OutcomeOf(err, ok))
	must.Eq(t, 2, r.runs.Load())
}

// The outcome is NotRun if there was no connection to the runner.
func TestCall_NotRun(t *testing.T) {
	refused, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	must.NoError(t, refused.Close())
	_, err = upstream.NewClient("http://"+refused.Addr().String(), 0).Call(context.Background(), request("r1"))
	must.Eq(t, verdict.UpstreamUnreachable, verdict.ReasonOf(err))
	must.Eq(t, verdict.NotRun, verdict.OutcomeOf(err, ok))

	_, err = upstream.NewClient("http://bad host", 0).Call(context.Background(), request("r1"))
	must.Eq(t, verdict.NotRun, verdict.OutcomeOf(err, ok))
}

// The client opens at most maxConns connections. A request whose deadline passes
// while it waits for a connection has not run.
func TestCall_BoundsConnections(t *testing.T) {
	const maxConns = 2
	var open, most atomic.Int32
	release := make(chan struct{})
	arrived := make(chan struct{}, maxConns)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		arrived <- struct{}{}
		<-release
		w.Header().Set(upstream.HeaderRequestID, req.Header.Get(upstream.HeaderRequestID))
	}))
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			most.Store(max(most.Load(), open.Add(1)))
		}
	}
	server.Start()
	defer server.Close()
	client := upstream.NewClient(server.URL, maxConns)
	defer client.Close()
	var wg sync.WaitGroup
	for i := range maxConns {
		wg.Go(func() {
			_, err := client.Call(context.Background(), request(fmt.Sprintf("r%d", i)))
			must.NoError(t, err)
		})
	}
	for range maxConns {
		<-arrived
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	_, err := client.Call(ctx, request("waiting"))
	must.Eq(t, verdict.NotRun, verdict.OutcomeOf(err, ok))
	close(release)
	wg.Wait()
	must.Eq(t, maxConns, most.Load())
}

// A call whose deadline passes before the answer or within its body ends with
// MayHaveRun.
func TestCall_Deadline(t *testing.T) {
	for name, sent := range map[string]int{"before the answer": 0, "inside the body": 2} {
		t.Run(name, func(t *testing.T) {
			done := make(chan struct{})
			defer close(done)
			r := startRunner(t, func(w net.Conn, id string, _ int) bool {
				if sent > 0 {
					a := answer(id, "body")
					_, _ = io.WriteString(w, a[:len(a)-sent])
				}
				<-done
				return false
			})
			ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
			defer cancel()
			_, err := r.client().Call(ctx, request("r1"))
			must.Eq(t, verdict.WaitExpired, verdict.ReasonOf(err))
			must.Eq(t, verdict.MayHaveRun, verdict.OutcomeOf(err, ok))
		})
	}
}
