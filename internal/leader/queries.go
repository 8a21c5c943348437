package leader

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"bamboowood/internal/contain"
	"bamboowood/internal/ingress"
	"bamboowood/internal/job"
	"bamboowood/internal/ledger"
	"bamboowood/internal/store"
	"bamboowood/internal/wire"
	"bamboowood/internal/wire/wirepb"
)

// queryTimeout bounds a query to the leader, and the store call of a relayed write. Without an
// answer, callers fall back to the ledger.
const queryTimeout = 400 * time.Millisecond

// relayTimeout bounds a write that the leader makes on behalf of another entry.
const relayTimeout = 900 * time.Millisecond

// Client queries the leading entry, which may be this one. It is safe for concurrent use.
type Client struct {
	Leader *Leader

	mu      sync.Mutex
	session wire.Session
	address string
	// failedAt is when the last connect to address failed; 0 if it succeeded.
	failedAt time.Duration
}

// redialPause is the pause after a failed connect. During it queries fail at once, so that
// callers read the ledger without delay.
const redialPause = 300 * time.Millisecond

var errInvalidJobID = errors.New("a job id must be 16 hexadecimal digits")

var errUnreachable = errors.New("leader was unreachable at the last attempt")

// Status queries the state of a job. found is false if the leader does not have the job.
// leading is false if the leader did not answer.
func (c *Client) Status(ctx context.Context, id string) (state job.State, found, leading bool) {
	if state, found, leading = c.Leader.Status(id); leading {
		return state, found, true
	}
	answer := c.query(ctx, &wirepb.Query{Job: id})
	return job.State(answer.GetState()), answer.GetKnown(), answer.GetLeading()
}

// WaitingJobs queries the number of a queue's jobs of which no task has started. leading is
// false if the leader did not answer.
func (c *Client) WaitingJobs(ctx context.Context, queue string) (n int, leading bool) {
	if n, leading = c.Leader.WaitingJobs(queue); leading {
		return n, true
	}
	answer := c.query(ctx, &wirepb.Query{Queue: queue})
	return int(answer.GetWaiting()), answer.GetLeading()
}

// MaxCapacity queries, for each resource, the largest capacity of any runner of a service.
// known is false if the leader did not answer or does not have it yet.
func (c *Client) MaxCapacity(ctx context.Context, service string) (largest job.Resources, known bool) {
	largest, known, leading := c.Leader.MaxCapacity(service)
	if leading {
		return largest, known
	}
	answer := c.query(ctx, &wirepb.Query{LargestOf: service})
	return job.Resources{
		CPU: answer.GetLargestCpu(), MemoryMB: answer.GetLargestMemoryMb(), GPUs: answer.GetLargestGpus(),
	}, answer.GetLeading() && answer.GetKnown()
}

// JobRoom queries how many bytes of memory the leader has left for further jobs, and has it reserve
// cost bytes for job id if that fits; an empty id reserves nothing. known is false if the leader did not
// answer or has no bound.
func (c *Client) JobRoom(ctx context.Context, id string, cost int64) (bytes int64, known bool) {
	bytes, known, leading := c.Leader.JobRoom(id, cost)
	if leading {
		return bytes, known
	}
	// A leader of the previous version answers 0.
	answer := c.query(ctx, &wirepb.Query{Job: id, JobBytes: cost})
	return answer.GetJobRoom(), answer.GetLeading() && answer.GetJobRoom() > 0
}

// JobAccepted notifies the leader of a job that has just been stored. Errors are only
// logged: the leader also receives the job from the store's feed.
func (c *Client) JobAccepted(ctx context.Context, j *job.Job) {
	if c.Leader.jobAccepted(j) {
		return
	}
	value, err := ledger.EncodeJob(j)
	if err != nil {
		c.Leader.opts.Logger.WithError(err).Error("encoding a job for the leader failed")
		return
	}
	c.query(ctx, &wirepb.Query{Job: j.ID, Accepted: value})
}

// JobCancelled notifies the leader of a job that has just been cancelled. The leader also
// receives the cancel from the store's feed.
func (c *Client) JobCancelled(ctx context.Context, id string) {
	if !c.Leader.jobCancelled(id) {
		c.query(ctx, &wirepb.Query{Job: id, Cancelled: true})
	}
}

// Store has the leader store a job, for an entry that cannot write to it. After an
// error that wraps store.ErrRefused or ledger.ErrCancelled the job is not stored and never
// will be by this call; after any other error it may be.
func (c *Client) Store(ctx context.Context, j *job.Job) error {
	value, err := ledger.EncodeJob(j)
	if err != nil {
		return fmt.Errorf("%w: %w", store.ErrRefused, err)
	}
	return c.relay(ctx, &wirepb.Query{Job: j.ID, Accepted: value, Relay: true})
}

// StoreCancel has the leader store the cancel of a job that may not be stored. It returns ledger.ErrNotStored if the
// cancel is stored and the job is not. After an error that wraps store.ErrRefused nothing is stored.
func (c *Client) StoreCancel(ctx context.Context, id string) error {
	return c.relay(ctx, &wirepb.Query{Job: id, Cancelled: true, Relay: true})
}

func (c *Client) relay(ctx context.Context, q *wirepb.Query) error {
	address := c.Leader.Address()
	if address == "" || address == c.Leader.opts.Address {
		return fmt.Errorf("%w: no other entry leads", store.ErrRefused)
	}
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	session, err := c.connect(ctx, address)
	if err != nil {
		return fmt.Errorf("%w: %w", store.ErrRefused, err)
	}
	answer, err := exchange(ctx, session, q)
	if err != nil {
		c.dropSessionAfter(ctx, session)
		return fmt.Errorf("relay to the leader: %w", err)
	}
	switch answer.Relay {
	case wirepb.QueryAnswer_RELAY_STORED:
		return nil
	case wirepb.QueryAnswer_RELAY_REFUSED:
		return fmt.Errorf("%w: by the leader", store.ErrRefused)
	case wirepb.QueryAnswer_RELAY_NO_JOB:
		return ledger.ErrNotStored
	case wirepb.QueryAnswer_RELAY_CANCELLED:
		return ledger.ErrCancelled
	}
	return errors.New("leader could not confirm that the write was stored")
}

// query sends q to the leading entry and returns its answer. It returns nil if there is no
// answer, no leader is known or this process leads.
func (c *Client) query(ctx context.Context, q *wirepb.Query) *wirepb.QueryAnswer {
	address := c.Leader.Address()
	if address == "" || address == c.Leader.opts.Address {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	answer, err := c.queryAt(ctx, address, q)
	if err != nil {
		if !errors.Is(err, errUnreachable) && !errors.Is(ctx.Err(), context.Canceled) {
			c.Leader.opts.Logger.WithError(err).WithField("leader", address).Warn("query to the leader failed")
		}
		return nil
	}
	return answer
}

func (c *Client) queryAt(ctx context.Context, address string, q *wirepb.Query) (*wirepb.QueryAnswer, error) {
	session, err := c.connect(ctx, address)
	if err != nil {
		return nil, err
	}
	answer, err := exchange(ctx, session, q)
	if err != nil {
		c.dropSessionAfter(ctx, session)
	}
	return answer, err
}

// exchange sends a query and returns the answer, or an error as soon as ctx ends.
func exchange(ctx context.Context, session wire.Session, q *wirepb.Query) (*wirepb.QueryAnswer, error) {
	stream, err := session.Open(ctx)
	if err != nil {
		return nil, err
	}
	defer func() { _ = stream.Close() }()
	if deadline, ok := ctx.Deadline(); ok {
		if err := stream.SetDeadline(deadline); err != nil {
			return nil, err
		}
	}
	stop := context.AfterFunc(ctx, func() { _ = stream.SetDeadline(time.Now()) })
	defer stop()
	if err := stream.Send(q); err != nil {
		return nil, err
	}
	var answer wirepb.QueryAnswer
	if err := stream.Recv(&answer); err != nil {
		return nil, err
	}
	return &answer, nil
}

func (c *Client) connect(ctx context.Context, address string) (wire.Session, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.session != nil && c.address == address {
		select {
		case <-c.session.Done():
		default:
			return c.session, nil
		}
	}
	if c.session != nil {
		_ = c.session.Close()
		c.session = nil
	}
	now := c.Leader.opts.Now()
	if c.address == address && c.failedAt != 0 && now-c.failedAt < redialPause {
		return nil, errUnreachable
	}
	c.address, c.failedAt = address, 0
	session, err := wire.Dial(ctx, address, nil)
	if err != nil {
		c.failedAt = c.Leader.opts.Now()
		return nil, err
	}
	c.session = session
	return session, nil
}

// dropSessionAfter closes a session after a query that failed: an unresponsive connection would delay
// every query until its timeout. A query that its caller cancelled does not show that.
func (c *Client) dropSessionAfter(ctx context.Context, session wire.Session) {
	if errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.session == session {
		_ = session.Close()
		c.session = nil
	}
}

const (
	// maxQueryBytes bounds a query. The largest has a job, which fits a row of the store (64 KiB).
	maxQueryBytes = 128 << 10
	// maxSessionBytes bounds what one entry has sent and is not decoded yet; it holds 16 of the largest
	// queries.
	maxSessionBytes = 2 << 20
	// maxSessionQueries bounds the queries of one entry that are answered at once. The slowest are
	// relayed writes, of at most queryTimeout each.
	maxSessionQueries = 64
)

// ServeQueries answers queries of other entries until ctx is done, and then closes ln.
func (l *Leader) ServeQueries(ctx context.Context, ln net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = ln.Close() })
	defer stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		conn, err := ln.Accept()
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			return fmt.Errorf("accept: %w", err)
		}
		wg.Go(func() {
			defer func() { _ = conn.Close() }()
			_ = contain.Do(l.opts.Logger, "session of an entry", func() error { l.serveSession(ctx, conn); return nil })
		})
	}
}

func (l *Leader) serveSession(ctx context.Context, conn net.Conn) {
	session, err := wire.NewBoundedServerSession(conn, wire.Bounds{
		Pool: l.opts.Peers, MaxMessage: maxQueryBytes, MaxSession: maxSessionBytes, Report: l.opts.Report,
	})
	if err != nil {
		l.opts.Logger.WithError(err).Warn("entry session setup failed")
		return
	}
	defer func() { _ = session.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = session.Close() })
	defer stop()
	answering := make(chan struct{}, maxSessionQueries)
	for {
		answering <- struct{}{} // a query has a deadline, so this does not block for long
		stream, err := session.Accept(ctx)
		if err != nil {
			if !errors.Is(err, wire.ErrSessionClosed) && ctx.Err() == nil {
				l.opts.Report.Refused(ingress.PeerInvalid, conn.RemoteAddr().String(), err)
			}
			return
		}
		go func() {
			defer func() { <-answering }()
			defer func() { _ = stream.Close() }()
			// After a panic no answer is sent, and the other entry treats the outcome as
			// unknown.
			_ = contain.Do(l.opts.Logger, "query", func() error {
				if l.answerQuery(ctx, stream) {
					ingress.MarkServed(conn)
				}
				return nil
			})
		}()
	}
}

// relayWrite makes a write on behalf of another entry.
func (l *Leader) relayWrite(ctx context.Context, id string, write func(context.Context) error) wirepb.QueryAnswer_Relay {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	err := write(ctx)
	l.opts.Logger.WithError(err).WithField("job", id).Info("relayed write finished")
	switch {
	case err == nil:
		return wirepb.QueryAnswer_RELAY_STORED
	case errors.Is(err, store.ErrRefused):
		return wirepb.QueryAnswer_RELAY_REFUSED
	case errors.Is(err, ledger.ErrNotStored):
		return wirepb.QueryAnswer_RELAY_NO_JOB
	case errors.Is(err, ledger.ErrCancelled):
		return wirepb.QueryAnswer_RELAY_CANCELLED
	}
	return wirepb.QueryAnswer_RELAY_UNKNOWN
}

// answerQuery answers the query on a stream. It reports whether the query was valid.
func (l *Leader) answerQuery(ctx context.Context, stream wire.Stream) (valid bool) {
	if err := stream.SetDeadline(time.Now().Add(relayTimeout)); err != nil {
		return false
	}
	var q wirepb.Query
	if err := stream.Recv(&q); err != nil {
		l.opts.Report.Refused(ingress.PeerInvalid, "query", err)
		return false
	}
	if q.Job != "" && !job.ValidID(q.Job) {
		l.opts.Report.Refused(ingress.PeerInvalid, "query", errInvalidJobID)
		return false
	}
	answer := &wirepb.QueryAnswer{}
	switch {
	case q.Settings:
		answer.Settings = l.settingsAnswer(q.SettingsAfter)
	case q.Accepted != nil:
		j, err := ledger.DecodeJob(q.Job, q.Accepted)
		if err != nil {
			l.opts.Report.Refused(ingress.PeerInvalid, "job notification", err)
			return false
		}
		if q.Relay {
			answer.Relay = l.relayWrite(ctx, q.Job, func(ctx context.Context) error { return l.opts.CallersLedger.Accept(ctx, j) })
		}
		if answer.Relay <= wirepb.QueryAnswer_RELAY_STORED {
			answer.Leading = l.jobAccepted(j)
		}
	case q.Cancelled:
		if q.Relay {
			answer.Relay = l.relayWrite(ctx, q.Job, func(ctx context.Context) error { return l.opts.CallersLedger.CancelUnknown(ctx, q.Job) })
		}
		if answer.Relay <= wirepb.QueryAnswer_RELAY_STORED {
			answer.Leading = l.jobCancelled(q.Job)
		}
	case q.JobBytes > 0:
		room, known, leading := l.JobRoom(q.Job, q.JobBytes)
		answer.Leading = leading
		if known {
			answer.JobRoom = max(room, 1)
		}
	case q.Job != "":
		var state job.State
		state, answer.Known, answer.Leading = l.Status(q.Job)
		answer.State = string(state)
	case q.LargestOf != "":
		var largest job.Resources
		largest, answer.Known, answer.Leading = l.MaxCapacity(q.LargestOf)
		answer.LargestCpu, answer.LargestMemoryMb, answer.LargestGpus = largest.CPU, largest.MemoryMB, largest.GPUs
	default:
		n, leading := l.WaitingJobs(q.Queue)
		answer.Waiting, answer.Leading = int64(n), leading
	}
	if err := stream.Send(answer); err != nil {
		l.opts.Logger.WithError(err).Debug("query answer not sent")
	}
	return true
}
