// Package tlsconf creates tls.Config values from PEM files and reloads the files when
// they change, so that certificates can be renewed without a restart.
package tlsconf

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"
)

// Files are the paths of PEM files. If CA is empty, a server requests no client
// certificate and a client trusts the system's certificate authorities.
type Files struct {
	Cert, Key, CA string
}

// checkInterval is the minimum time between two checks of the files' modification times.
const checkInterval = time.Second

// loadedFiles is the content of the files when they were last read.
type loadedFiles struct {
	certificate *tls.Certificate
	authorities *x509.CertPool
	modTimes    [3]time.Time
}

// source caches the content of the files.
type source struct {
	files     Files
	mu        sync.Mutex
	current   *loadedFiles
	lastCheck time.Time
}

// Server returns the configuration of a listener. If files has a CA, a client must present
// a certificate signed by the CA. Changed files apply to new connections.
func Server(files Files) (*tls.Config, error) {
	s, err := newSource(files)
	if err != nil {
		return nil, err
	}
	config := func() (*tls.Config, error) {
		m, err := s.load()
		if err != nil {
			return nil, err
		}
		c := &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{*m.certificate}}
		if m.authorities != nil {
			c.ClientCAs = m.authorities
			c.ClientAuth = tls.RequireAndVerifyClientCert
		}
		return c, nil
	}
	base, err := config()
	if err != nil {
		return nil, err
	}
	base.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) { return config() }
	return base, nil
}

// Client returns a function that returns the configuration of a dialer. Call the function
// for each connection, so that changed files apply.
func Client(files Files) (func() (*tls.Config, error), error) {
	s, err := newSource(files)
	if err != nil {
		return nil, err
	}
	return func() (*tls.Config, error) {
		m, err := s.load()
		if err != nil {
			return nil, err
		}
		return &tls.Config{
			MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{*m.certificate}, RootCAs: m.authorities,
		}, nil
	}, nil
}

func newSource(files Files) (*source, error) {
	s := &source{files: files}
	_, err := s.load()
	return s, err
}

// load returns the current content of the files. If changed files cannot be read, it
// returns the content that was read before the change.
func (s *source) load() (*loadedFiles, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current != nil && time.Since(s.lastCheck) < checkInterval {
		return s.current, nil
	}
	s.lastCheck = time.Now()
	modTimes, err := s.modTimes()
	if s.current != nil && (err != nil || modTimes == s.current.modTimes) {
		return s.current, nil
	}
	if err != nil {
		return nil, err
	}
	m, err := s.read(modTimes)
	if err != nil {
		if s.current != nil {
			return s.current, nil
		}
		return nil, err
	}
	s.current = m
	return m, nil
}

func (s *source) modTimes() ([3]time.Time, error) {
	var modTimes [3]time.Time
	for i, path := range []string{s.files.Cert, s.files.Key, s.files.CA} {
		if path == "" {
			continue
		}
		info, err := os.Stat(path)
		if err != nil {
			return modTimes, fmt.Errorf("certificate file: %w", err)
		}
		modTimes[i] = info.ModTime()
	}
	return modTimes, nil
}

func (s *source) read(modTimes [3]time.Time) (*loadedFiles, error) {
	cert, err := tls.LoadX509KeyPair(s.files.Cert, s.files.Key)
	if err != nil {
		return nil, fmt.Errorf("load certificate: %w", err)
	}
	m := &loadedFiles{certificate: &cert, modTimes: modTimes}
	if s.files.CA == "" {
		return m, nil
	}
	pem, err := os.ReadFile(s.files.CA)
	if err != nil {
		return nil, fmt.Errorf("load authorities: %w", err)
	}
	m.authorities = x509.NewCertPool()
	if !m.authorities.AppendCertsFromPEM(pem) {
		return nil, errors.New("load authorities: no certificate in " + s.files.CA)
	}
	return m, nil
}
