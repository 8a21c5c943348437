package ingress

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
)

// newServer serves bodies of up to limit bytes, and answers with their length and their waiting time.
func newServer(t *testing.T, g *Gate, conns int, limit int64) (*Listener, string) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	ln := Listen(inner, "test", conns, nil)
	s := &http.Server{ReadHeaderTimeout: 10 * time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/wait" {
			<-r.Context().Done()
			return
		}
		body, err := g.Read(w, r, limit)
		switch {
		case err == nil:
			defer body.Release()
			_, _ = fmt.Fprint(w, len(body.Data))
		case errors.Is(err, ErrMemory):
			http.Error(w, "memory", http.StatusServiceUnavailable)
		case errors.Is(err, ErrStalled):
			http.Error(w, "stalled", http.StatusRequestTimeout)
		default:
			http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		}
	})}
	Configure(s)
	go func() { _ = s.Serve(ln) }()
	t.Cleanup(func() { _ = s.Close() })
	return ln, inner.Addr().String()
}

func dial(t *testing.T, address string) net.Conn {
	conn, err := net.Dial("tcp", address)
	must.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// answer reads a response and returns its status and body; 0 if the connection was closed.
func answer(t *testing.T, conn net.Conn) (int, string) {
	must.NoError(t, conn.SetReadDeadline(time.Now().Add(30*time.Second)))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	text, _ := io.ReadAll(response.Body)
	return response.StatusCode, strings.TrimSpace(string(text))
}

const chunkedPost = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"

// Guards against a single body inside the limits that is refused without load: declared, in small
// chunks, of exactly the limit, empty; and against one above the limit that is taken.
func TestGate_SingleBody(t *testing.T) {
	const limit = 262_144
	g := NewGate(minBodies, 0, nil)
	_, address := newServer(t, g, 10, limit)
	small := strings.Repeat("10\r\n0123456789abcdef\r\n", limit/16)
	for name, c := range map[string]struct {
		request string
		status  int
		want    string
	}{
		"declared":       {fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", limit) + strings.Repeat("x", limit), 200, "262144"},
		"small chunks":   {chunkedPost + small + "0\r\n\r\n", 200, "262144"},
		"empty":          {"POST / HTTP/1.1\r\nHost: h\r\n\r\n", 200, "0"},
		"empty chunked":  {chunkedPost + "0\r\n\r\n", 200, "0"},
		"declared large": {fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", limit+1), 413, ""},
		"chunked large":  {chunkedPost + small + "1\r\nx\r\n", 413, ""},
	} {
		t.Run(name, func(t *testing.T) {
			conn := dial(t, address)
			_, err := conn.Write([]byte(c.request))
			must.NoError(t, err)
			status, text := answer(t, conn)
			test.Eq(t, c.status, status)
			if c.want != "" {
				test.Eq(t, c.want, text)
			}
		})
	}
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.account.used == 0
	}), wait.Timeout(10*time.Second)))
}

// Guards against keep-alive connections on which the deadline of a body ends a later request.
func TestGate_KeepAlive(t *testing.T) {
	_, address := newServer(t, NewGate(minBodies, 0, nil), 10, 100)
	conn := dial(t, address)
	for range 3 {
		_, err := conn.Write([]byte("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab"))
		must.NoError(t, err)
		status, text := answer(t, conn)
		must.Eq(t, 200, status)
		must.Eq(t, "2", text)
	}
}

// Guards against bodies that stop short of their end and keep their memory: they are closed for the
// sake of others, and after their time.
func TestGate_StalledBody(t *testing.T) {
	_, address := newServer(t, NewGate(minBodies, 0, nil), 100, 2<<20)
	stalled := dial(t, address)
	_, err := stalled.Write([]byte("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2000000\r\n\r\nx"))
	must.NoError(t, err)
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool {
		conn := dial(t, address)
		_, err := conn.Write([]byte("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2000000\r\n\r\n" + strings.Repeat("x", 2_000_000)))
		if err != nil {
			return false
		}
		status, _ := answer(t, conn)
		return status == 200
	}), wait.Timeout(30*time.Second)))
	status, _ := answer(t, stalled)
	test.Eq(t, http.StatusServiceUnavailable, status)

	_, address = newServer(t, NewGate(minBodies, time.Millisecond, nil), 100, 2<<20)
	late := dial(t, address)
	_, err = late.Write([]byte(chunkedPost + "1\r\nx\r\n"))
	must.NoError(t, err)
	status, _ = answer(t, late)
	test.Eq(t, http.StatusRequestTimeout, status)
}

// Guards against a listener that refuses new clients because idle connections take all places, and
// against one that closes connections with a request in progress.
func TestListener_ClosesIdleBeforeBusy(t *testing.T) {
	ln, address := newServer(t, NewGate(minBodies, 0, nil), 3, 100)
	busy := dial(t, address)
	_, err := busy.Write([]byte("GET /wait HTTP/1.1\r\nHost: h\r\n\r\n"))
	must.NoError(t, err)
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool {
		ln.mu.Lock()
		defer ln.mu.Unlock()
		for c := range ln.conns {
			if c.busy.Load() {
				return true
			}
		}
		return false
	}), wait.Timeout(10*time.Second)))
	for range 20 {
		_ = dial(t, address)
	}
	conn := dial(t, address)
	_, err = conn.Write([]byte("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab"))
	must.NoError(t, err)
	status, _ := answer(t, conn)
	test.Eq(t, 200, status)
	test.LessEq(t, 3, ln.Open())
	must.NoError(t, busy.SetReadDeadline(time.Now().Add(100*time.Millisecond)))
	_, err = busy.Read(make([]byte, 1))
	var timeout net.Error
	test.True(t, errors.As(err, &timeout) && timeout.Timeout(), test.Sprint("the busy connection is open"))
}

// An ordinary request, with the Gate and with io.ReadAll as before.
func BenchmarkGate_OrdinaryBody(b *testing.B) {
	body := strings.Repeat("x", 2000)
	g := NewGate(minBodies, 0, nil)
	read := map[string]func(http.ResponseWriter, *http.Request){
		"gate": func(w http.ResponseWriter, r *http.Request) {
			data, err := g.Read(w, r, 262_144)
			if err == nil {
				data.Release()
			}
		},
		"read all": func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.ReadAll(http.MaxBytesReader(w, r.Body, 262_144))
		},
	}
	for name, f := range read {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				r, _ := http.NewRequest(http.MethodPost, "/", strings.NewReader(body))
				f(discardResponse{}, r)
			}
		})
	}
}

type discardResponse struct{}

func (discardResponse) Header() http.Header         { return http.Header{} }
func (discardResponse) Write(p []byte) (int, error) { return len(p), nil }
func (discardResponse) WriteHeader(int)             {}

// Guards against a body that is passed on without an account, or stays in it.
func TestGate_Handler(t *testing.T) {
	const limit = 4 << 10
	gate := NewGate(16<<10, 0, nil)
	calls := 0
	h := gate.Handler(limit, 2, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls++
		data, err := io.ReadAll(r.Body)
		must.NoError(t, err)
		_, _ = fmt.Fprint(w, len(data), " ", gate.account.used)
	}), func(w http.ResponseWriter, err error) { http.Error(w, err.Error(), http.StatusServiceUnavailable) })
	send := func(body io.Reader) *httptest.ResponseRecorder {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/", body))
		return w
	}
	test.Eq(t, fmt.Sprint("3 ", 2*3+grantOverhead), send(strings.NewReader("eye")).Body.String())
	test.Eq(t, fmt.Sprint("0 ", 0), send(nil).Body.String())
	must.Eq(t, 2, calls)
	test.Eq(t, http.StatusServiceUnavailable, send(strings.NewReader(strings.Repeat("x", limit+1))).Code)
	test.Eq(t, http.StatusServiceUnavailable, send(io.MultiReader(strings.NewReader("x"), brokenReader{})).Code)

	held, err := gate.read(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/", strings.NewReader(strings.Repeat("x", limit))), limit)
	must.NoError(t, err)
	must.NoError(t, held.Charge(10<<10))
	test.Eq(t, http.StatusServiceUnavailable, send(strings.NewReader(strings.Repeat("x", limit))).Code)
	held.Release()
	test.Eq(t, http.StatusOK, send(strings.NewReader(strings.Repeat("x", limit))).Code)
	must.Eq(t, 3, calls)
	must.Zero(t, gate.account.used)
}

type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }
