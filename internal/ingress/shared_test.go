package ingress

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// Guards against listeners that together have more connections than their limiter allows.
func TestConnLimiter_TwoListeners(t *testing.T) {
	limiter := NewConnLimiter(3, nil)
	accepted := make(chan net.Conn, 10)
	var addresses []string
	for _, name := range []string{"a", "b"} {
		inner, err := net.Listen("tcp", "127.0.0.1:0")
		must.NoError(t, err)
		ln := limiter.Listen(inner, name)
		t.Cleanup(func() { _ = ln.Close() })
		addresses = append(addresses, inner.Addr().String())
		go func() {
			for {
				conn, err := ln.Accept()
				if err != nil {
					return
				}
				accepted <- conn
			}
		}()
	}
	var conns []net.Conn
	for i := range 6 {
		conns = append(conns, dial(t, addresses[i%2]))
		<-accepted
	}
	test.Eq(t, 3, limiter.Open())
	for _, evicted := range conns[:3] {
		_, err := evicted.Read(make([]byte, 1))
		test.ErrorIs(t, err, io.EOF)
	}
}

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
