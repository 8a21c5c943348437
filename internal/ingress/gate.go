package ingress

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"time"
)

// Errors of Read and Charge, besides *http.MaxBytesError and errors of the connection. Nothing has been
// run or stored when they are returned.
var (
	// ErrMemory means that there is no memory for the body. A later attempt may succeed.
	ErrMemory = errors.New("no memory for the request")
	// ErrStalled means that the body made no progress.
	ErrStalled = errors.New("body made no progress")
)

// RetryAfter is when a request that was refused with ErrMemory may be sent again. It is the least that
// the HTTP header can express; evictions make room within milliseconds.
const RetryAfter = time.Second

const (
	// firstBuffer is the buffer of a body whose length is not declared.
	firstBuffer = 4 << 10
	// grantOverhead is charged for each request besides its body.
	grantOverhead = 1 << 10
	// deadlineStep is the least time between two extensions of a deadline, which is later by as much.
	deadlineStep = 500 * time.Millisecond
	// evictionWait and evictionPause bound the wait for memory of evicted bodies.
	evictionWait  = 200 * time.Millisecond
	evictionPause = 5 * time.Millisecond
)

// Gate admits the bodies of all clients of a process, at any of its listeners. It is safe for concurrent
// use.
type Gate struct {
	report *Report
	// maxTime bounds the time in which a body must be complete; 0 means no bound besides progress.
	maxTime time.Duration

	mu      sync.Mutex
	account *Account
}

// NewGate returns a Gate that admits limit bytes in sum.
func NewGate(limit int64, maxTime time.Duration, report *Report) *Gate {
	return &Gate{report: report, maxTime: maxTime, account: NewAccount(limit)}
}

// Body is the complete body of a request. Release must be called once neither it nor what was decoded
// from it is in use.
type Body struct {
	Data  []byte
	gate  *Gate
	grant *Grant
	conn  *Conn // nil if unknown
}

// Read reads the body of a request of at most limit bytes. After an error, the connection is closed.
func (g *Gate) Read(w http.ResponseWriter, r *http.Request, limit int64) (*Body, error) {
	b, err := g.read(w, r, limit)
	if err != nil {
		w.Header().Set("Connection", "close")
	}
	return b, err
}

func (g *Gate) read(w http.ResponseWriter, r *http.Request, limit int64) (*Body, error) {
	if r.ContentLength > limit {
		return nil, &http.MaxBytesError{Limit: limit}
	}
	size := r.ContentLength
	if size < 0 {
		size = min(firstBuffer, limit)
	}
	conn := connOf(r)
	grant, err := g.open(size+grantOverhead, conn)
	if err != nil {
		return nil, err
	}
	b := &Body{gate: g, grant: grant, conn: conn, Data: make([]byte, 0, size)}
	if err := b.receive(http.MaxBytesReader(w, r.Body, limit), r.ContentLength, limit); err != nil {
		b.Release()
		return nil, err
	}
	return b, nil
}

// open opens a grant, and evicts other bodies if there is no memory.
func (g *Gate) open(n int64, conn *Conn) (*Grant, error) {
	interrupt := func() {}
	if conn != nil {
		interrupt = func() { _ = conn.SetReadDeadline(time.Now()) }
	}
	var grant *Grant
	ok := g.makeRoom(n, conn, func(now time.Time) (ok, stop bool) {
		grant = g.account.Open(now, n, interrupt)
		return grant != nil, false
	})
	if !ok {
		return nil, ErrMemory
	}
	return grant, nil
}

// makeRoom calls take until it returns ok or stop, and evicts bodies so that n bytes become free. It
// gives up after evictionWait, or at once if there is nothing to evict.
func (g *Gate) makeRoom(n int64, conn *Conn, take func(now time.Time) (ok, stop bool)) bool {
	began := time.Now()
	for now := began; ; now = time.Now() {
		g.mu.Lock()
		if ok, stop := take(now); ok || stop {
			g.mu.Unlock()
			return ok
		}
		evicted := g.account.Evict(now, n)
		pending := g.account.Evicting()
		for _, victim := range evicted {
			victim.interrupt()
		}
		g.mu.Unlock()
		for range evicted {
			g.report.Refused(BodyEvicted, conn.where(), nil)
		}
		if !pending || now.Sub(began) > evictionWait {
			g.report.Refused(BodyMemory, conn.where(), nil)
			return false
		}
		time.Sleep(evictionPause)
	}
}

// receive reads the body into Data.
func (b *Body) receive(body io.Reader, declared, limit int64) error {
	began := time.Now()
	extended := began
	for {
		if len(b.Data) == cap(b.Data) && (declared < 0 || cap(b.Data) == 0) {
			if err := b.grow(limit); err != nil {
				return err
			}
		}
		n, err := body.Read(b.Data[len(b.Data):cap(b.Data)])
		b.Data = b.Data[:len(b.Data)+n]
		if err == io.EOF {
			return b.complete()
		}
		if err != nil {
			return b.readError(err)
		}
		if int64(len(b.Data)) == declared {
			// One more read returns io.EOF, and lets the server see that the body has ended.
			if err := drain(body); err != nil {
				return b.readError(err)
			}
			return b.complete()
		}
		if now := time.Now(); now.Sub(extended) > deadlineStep {
			extended = now
			if err := b.extend(began, now); err != nil {
				return err
			}
		}
	}
}

// drain reads to the end of a body of which nothing is left.
func drain(body io.Reader) error {
	var none [1]byte
	if _, err := body.Read(none[:]); err != nil && err != io.EOF {
		return err
	}
	return nil
}

// grow doubles the buffer of a body whose length is not declared.
func (b *Body) grow(limit int64) error {
	// The body may be one byte longer than the limit, which the reader then reports.
	size := min(max(2*int64(cap(b.Data)), firstBuffer), limit+1)
	if size <= int64(cap(b.Data)) {
		size = int64(cap(b.Data)) + 1
	}
	if err := b.charge(size + grantOverhead); err != nil {
		return err
	}
	data := make([]byte, len(b.Data), size)
	copy(data, b.Data)
	b.Data = data
	return nil
}

// extend records the progress of the body and sets the deadline for the next part of it.
func (b *Body) extend(began, now time.Time) error {
	deadline := now.Add(ProgressTimeout + deadlineStep)
	if b.gate.maxTime > 0 && began.Add(b.gate.maxTime).Before(deadline) {
		deadline = began.Add(b.gate.maxTime)
	}
	b.gate.mu.Lock()
	defer b.gate.mu.Unlock()
	b.gate.account.Received(b.grant, int64(len(b.Data)))
	if b.grant.evicted {
		return ErrMemory
	}
	if b.conn != nil {
		_ = b.conn.SetReadDeadline(deadline)
	}
	return nil
}

func (b *Body) complete() error {
	b.gate.mu.Lock()
	defer b.gate.mu.Unlock()
	if !b.gate.account.Complete(b.grant) {
		return ErrMemory
	}
	if b.conn != nil {
		// The server now waits for the client to leave, which has no deadline.
		_ = b.conn.SetReadDeadline(time.Time{})
		b.conn.busy.Store(true)
	}
	return nil
}

func (b *Body) readError(err error) error {
	b.gate.mu.Lock()
	evicted := b.grant.evicted
	b.gate.mu.Unlock()
	switch {
	case evicted:
		return ErrMemory
	case errors.Is(err, os.ErrDeadlineExceeded):
		b.gate.report.Refused(BodyStalled, b.conn.where(), nil)
		return fmt.Errorf("%w: %w", ErrStalled, err)
	}
	return err
}

// Charge adds n bytes for what is decoded from the body, or returns ErrMemory.
func (b *Body) Charge(n int64) error { return b.charge(b.grant.bytes + n) }

func (b *Body) charge(total int64) error {
	if !b.gate.makeRoom(total-b.grant.bytes, b.conn, func(time.Time) (ok, stop bool) {
		return b.gate.account.Grow(b.grant, total), b.grant.evicted
	}) {
		return ErrMemory
	}
	return nil
}

// Release frees the memory of the body.
func (b *Body) Release() {
	b.gate.mu.Lock()
	defer b.gate.mu.Unlock()
	b.gate.account.Close(b.grant)
}

// Handler returns a handler that reads the body of each request, of at most limit bytes, before it calls
// next, and holds factor times its length until next returns. refuse responds to a request whose body was
// not read; next has not been called.
func (g *Gate) Handler(limit, factor int64, next http.Handler, refuse func(http.ResponseWriter, error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Body == nil || r.Body == http.NoBody {
			next.ServeHTTP(w, r)
			return
		}
		body, err := g.Read(w, r, limit)
		if err == nil {
			defer body.Release()
			err = body.Charge((factor - 1) * int64(len(body.Data)))
		}
		if err != nil {
			refuse(w, err)
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body.Data))
		next.ServeHTTP(w, r)
	})
}
