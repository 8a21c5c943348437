package daemon

import (
	"net"
	"sync"
	"time"

	"github.com/apex/log"
)

// listenRetryInterval is the time between two attempts to listen at an address that is in use.
const listenRetryInterval = time.Second

// retryListener listens at an address as soon as it is free. It serves what a process can do without.
type retryListener struct {
	address net.TCPAddr
	logger  log.Interface

	closed chan struct{}
	mu     sync.Mutex
	// listener is nil until the address is free.
	listener net.Listener
}

// newRetryListener returns a listener at address, an IP address and a port, and tries to listen once.
func newRetryListener(address string, logger log.Interface) (*retryListener, error) {
	resolved, err := net.ResolveTCPAddr("tcp", address)
	if err != nil {
		return nil, err
	}
	l := &retryListener{address: *resolved, logger: logger, closed: make(chan struct{})}
	if _, err := l.listen(); err != nil {
		logger.WithError(err).WithField("address", address).Warn("address in use; trying again")
	}
	return l, nil
}

// listen returns the listener, and opens it if there is none.
func (l *retryListener) listen() (net.Listener, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-l.closed:
		return nil, net.ErrClosed
	default:
	}
	if l.listener != nil {
		return l.listener, nil
	}
	ln, err := net.Listen("tcp", l.address.String())
	if err != nil {
		return nil, err
	}
	l.listener = ln
	return ln, nil
}

// Accept implements net.Listener. It waits until the address is free.
func (l *retryListener) Accept() (net.Conn, error) {
	for {
		ln, err := l.listen()
		if err == nil {
			return ln.Accept()
		}
		select {
		case <-l.closed:
			return nil, net.ErrClosed
		case <-time.After(listenRetryInterval):
		}
	}
}

// Close implements net.Listener.
func (l *retryListener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-l.closed:
		return net.ErrClosed
	default:
	}
	close(l.closed)
	if l.listener == nil {
		return nil
	}
	return l.listener.Close()
}

// Addr implements net.Listener.
func (l *retryListener) Addr() net.Addr { return &l.address }
