package daemon

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
)

// Guards against processes that end because another program has the port of their metrics: a whole deployment did
// not become ready.
func TestPlatform_MetricsPortInUse(t *testing.T) {
	d := newStoreOnly(t)
	ip := testEntries[0]
	metricsAddress := net.JoinHostPort(ip, fmt.Sprint(metricsPort))
	occupied, err := net.Listen("tcp", metricsAddress)
	must.NoError(t, err)
	defer func() { _ = occupied.Close() }()
	d.startEntries()
	must.NoError(t, occupied.Close())
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool {
		response, err := http.Get("http://" + metricsAddress + "/metrics")
		if err != nil {
			return false
		}
		defer func() { _ = response.Body.Close() }()
		return response.StatusCode == http.StatusOK
	}), wait.Timeout(5*time.Second), wait.Gap(50*time.Millisecond)))
}

// A listener that never got its address can be closed.
func TestRetryListener_Close(t *testing.T) {
	occupied, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer func() { _ = occupied.Close() }()
	l, err := newRetryListener(occupied.Addr().String(), log.Log)
	must.NoError(t, err)
	done := make(chan error, 1)
	go func() {
		_, err := l.Accept()
		done <- err
	}()
	must.NoError(t, l.Close())
	test.ErrorIs(t, <-done, net.ErrClosed)
	test.ErrorIs(t, l.Close(), net.ErrClosed)
}
