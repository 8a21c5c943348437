// Package daemon assembles the processes: entry, agent, stand-in and dev. It
// opens listeners, connects the packages to each other and runs them as actors
// of oklog/run; it takes no decision of its own.
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

	"bamboowood/internal/logline"
	"bamboowood/internal/netcount"
	"bamboowood/internal/settings"
	"bamboowood/internal/tlsconf"
)

// headerTimeout bounds the arrival of a request's headers.
const headerTimeout = 5 * time.Second

// idleTimeout bounds an idle connection.
const idleTimeout = 2 * time.Minute

// NewLogger returns a logger of JSON lines on standard output and makes it the
// default of packages that are given none.
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

// CloseLogs writes the lines that wait in the default logger.
func CloseLogs() {
	if logger, ok := log.Log.(*log.Logger); ok {
		if handler, ok := logger.Handler.(*logline.Handler); ok {
			handler.Close()
		}
	}
}

// listen opens a TCP listener, with TLS when files are named.
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

// addContext adds an actor that runs f until its context ends. before, if not
// nil, runs when the group stops, before the context is cancelled.
func addContext(g *run.Group, f func(ctx context.Context) error, before func()) {
	ctx, cancel := context.WithCancel(context.Background())
	g.Add(func() error {
		err := f(ctx)
		if errors.Is(err, context.Canceled) && ctx.Err() != nil {
			return nil
		}
		return err
	}, func(error) {
		if before != nil {
			before()
		}
		cancel()
	})
}

// addParent adds an actor that ends the group when ctx ends.
func addParent(g *run.Group, ctx context.Context) {
	done := make(chan struct{})
	g.Add(func() error {
		select {
		case <-ctx.Done():
		case <-done:
		}
		return nil
	}, func(error) { close(done) })
}

// addServer adds an HTTP server. On stop it takes no new connection and lets
// requests in flight end, for at most timeout.
func addServer(g *run.Group, ln net.Listener, server *http.Server, timeout time.Duration, before func()) {
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
		if before != nil {
			before()
		}
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		if err := server.Shutdown(ctx); err != nil {
			_ = server.Close()
		}
	})
}

// platformClient returns the HTTP client for calls of the platform; its bytes
// are counted under peer.
func platformClient(peer netcount.Peer, timeout time.Duration, maxConns int) *http.Client {
	transport := &http.Transport{
		DialContext:           netcount.Dialer(peer, timeout),
		MaxIdleConnsPerHost:   maxConns,
		MaxConnsPerHost:       maxConns,
		IdleConnTimeout:       idleTimeout,
		ResponseHeaderTimeout: timeout,
		DisableCompression:    true,
	}
	return &http.Client{Transport: transport, Timeout: timeout}
}
