// Package daemon assembles the processes of two deployments. The standalone deployment has the
// types Entry and Agent with settings files of their own, and the stand-in and dev processes
// for tests and development. The deployment on the users' platform has PlatformNode, which runs
// as entry or agent with the settings that the platform writes. The package opens listeners,
// connects the packages to each other and runs them as actors of oklog/run. It makes no
// scheduling or routing decisions.
package daemon

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/apex/log"
	"github.com/oklog/run"

	"bamboowood/internal/connpool"
	"bamboowood/internal/logline"
	"bamboowood/internal/netcount"
	"bamboowood/internal/settings"
	"bamboowood/internal/tlsconf"
)

// headerTimeout bounds the time to read a request's headers.
const headerTimeout = 5 * time.Second

// idleTimeout is how long an idle connection stays open.
const idleTimeout = 2 * time.Minute

// NewLogger returns a logger that writes JSON lines to standard output, and makes it the
// default logger of the process.
func NewLogger(level string) (*log.Logger, error) {
	l, err := log.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("log level: %w", err)
	}
	handler := logline.New(os.Stdout)
	log.SetHandler(handler)
	log.SetLevel(l)
	return &log.Logger{Handler: handler, Level: l}, nil
}

// CloseLogs writes the buffered lines of the default logger and closes it.
func CloseLogs() {
	if logger, ok := log.Log.(*log.Logger); ok {
		if handler, ok := logger.Handler.(*logline.Handler); ok {
			handler.Close()
		}
	}
}

// listen opens a TCP listener, with TLS if files are configured.
func listen(addr string, files settings.TLS, settingsFile string) (net.Listener, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	if !files.Enabled() {
		return ln, nil
	}
	config, err := tlsconf.Server(tlsFiles(files, settingsFile))
	if err != nil {
		_ = ln.Close()
		return nil, err
	}
	return tls.NewListener(ln, config), nil
}

func tlsFiles(files settings.TLS, settingsFile string) tlsconf.Files {
	return tlsconf.Files{
		Cert: settings.ResolvePath(settingsFile, files.Cert),
		Key:  settings.ResolvePath(settingsFile, files.Key),
		CA:   settings.ResolvePath(settingsFile, files.CA),
	}
}

// addActor adds an actor that runs f until its context ends. beforeStop, if not nil, runs when
// the group stops, before the context is cancelled.
func addActor(g *run.Group, f func(ctx context.Context) error, beforeStop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	g.Add(func() error {
		err := f(ctx)
		if errors.Is(err, context.Canceled) && ctx.Err() != nil {
			return nil
		}
		return err
	}, func(error) {
		if beforeStop != nil {
			beforeStop()
		}
		cancel()
	})
}

// addStopSignal adds an actor that stops the group when ctx ends.
func addStopSignal(g *run.Group, ctx context.Context) {
	done := make(chan struct{})
	g.Add(func() error {
		select {
		case <-ctx.Done():
		case <-done:
		}
		return nil
	}, func(error) { close(done) })
}

// addServer adds an HTTP server. When the group stops, beforeStop runs if it is not nil; then
// the server accepts no new connections and waits at most timeout for requests in flight.
func addServer(g *run.Group, ln net.Listener, server *http.Server, timeout time.Duration, beforeStop func()) {
	stopped := make(chan struct{})
	g.Add(func() error {
		err := server.Serve(ln)
		if errors.Is(err, http.ErrServerClosed) {
			<-stopped
			return nil
		}
		return fmt.Errorf("serve %s: %w", ln.Addr(), err)
	}, func(error) {
		defer close(stopped)
		if beforeStop != nil {
			beforeStop()
		}
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		if err := server.Shutdown(ctx); err != nil {
			_ = server.Close()
		}
	})
}

// platformClient returns an HTTP client for calls of a platform service. Its traffic is counted
// under peer.
func platformClient(peer netcount.Peer, timeout time.Duration, maxConns int) *http.Client {
	// Calls that time out earlier do so by the deadline of their caller.
	pool := connpool.New(string(peer), timeout/2, func() *http.Transport {
		return &http.Transport{
			DialContext:           netcount.Dialer(peer, timeout),
			MaxIdleConnsPerHost:   maxConns,
			MaxConnsPerHost:       maxConns,
			IdleConnTimeout:       idleTimeout,
			ResponseHeaderTimeout: timeout,
			DisableCompression:    true,
		}
	})
	return &http.Client{Transport: pool, Timeout: timeout}
}
