package leader

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"bamboowood/internal/contain"
	"bamboowood/internal/job"
	"bamboowood/internal/ledger"
	"bamboowood/internal/store"
	"bamboowood/internal/wire"
	"bamboowood/internal/wire/wirepb"
)

// queryTimeout bounds a query of the leader; the ledger is the second way.
const queryTimeout = 400 * time.Millisecond

// relayTimeout bounds a write that the leader does for another entry.
const relayTimeout = 900 * time.Millisecond

// Client asks the entry that leads, which may be this one.
type Client struct {
	Leader *Leader

	mu      sync.Mutex
	session wire.Session
	address string
	// failedAt is when address was last found unreachable.
	failedAt time.Duration
}

// redialPause follows a failed connect: meanwhile queries go to the ledger at
// once.
const redialPause = 300 * time.Millisecond

var errUnreachable = errors.New("leader was unreachable a moment ago")

// Status asks for the state of a job.
func (d *Client) Status(ctx context.Context, id string) (state job.State, known, leading bool) {
	if state, known, leading = d.Leader.Status(id); leading {
		return state, known, true
	}
	answer := d.ask(ctx, &wirepb.Query{Job: id})
	return job.State(answer.GetState()), answer.GetKnown(), answer.GetLeading()
}

// WaitingJobs asks for the number of jobs of which no task has started.
func (d *Client) WaitingJobs(ctx context.Context, queue string) (n int, leading bool) {
	if n, leading = d.Leader.WaitingJobs(queue); leading {
		return n, true
	}
	answer := d.ask(ctx, &wirepb.Query{Queue: queue})
	return int(answer.GetWaiting()), answer.GetLeading()
}

// MaxCapacity asks for the most that any runner of a service has of each resource.
func (d *Client) MaxCapacity(ctx context.Context, service string) (largest job.Resources, known bool) {
	largest, known, leading := d.Leader.MaxCapacity(service)
	if leading {
		return largest, known
	}
	answer := d.ask(ctx, &wirepb.Query{LargestOf: service})
	return job.Resources{
		CPU: answer.GetLargestCpu(), MemoryMB: answer.GetLargestMemoryMb(), GPUs: answer.GetLargestGpus(),
	}, answer.GetLeading() && answer.GetKnown()
}

// JobAccepted tells the leader of a job that has just been stored. The store's feed
// is the second way.
func (d *Client) JobAccepted(ctx context.Context, j *job.Job) {
	if d.Leader.accepted(j) {
		return
	}
	value, err := ledger.EncodeJob(j)
	if err != nil {
		d.Leader.opts.Logger.WithError(err).Error("leader not told of a job")
		return
	}
	d.ask(ctx, &wirepb.Query{Job: j.ID, Accepted: value})
}

// JobCancelled tells the leader of a job that has just been cancelled.
func (d *Client) JobCancelled(ctx context.Context, id string) {
	if !d.Leader.cancelled(id) {
		d.ask(ctx, &wirepb.Query{Job: id, Cancelled: true})
	}
}

// Store has the leader store a job, for an entry that the store refuses. An error
// that wraps store.ErrRefused says that the job is not stored and never will be by
// this call.
func (d *Client) Store(ctx context.Context, j *job.Job) error {
	value, err := ledger.EncodeJob(j)
	if err != nil {
		return fmt.Errorf("%w: %w", store.ErrRefused, err)
	}
	return d.relay(ctx, &wirepb.Query{Job: j.ID, Accepted: value, Relay: true})
}

// StoreCancel has the leader store a cancel.
func (d *Client) StoreCancel(ctx context.Context, id string) error {
	return d.relay(ctx, &wirepb.Query{Job: id, Cancelled: true, Relay: true})
}

func (d *Client) relay(ctx context.Context, q *wirepb.Query) error {
	address := d.Leader.Address()
	if address == "" || address == d.Leader.opts.Address {
		return fmt.Errorf("%w: no other entry leads", store.ErrRefused)
	}
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	session, err := d.connect(ctx, address)
	if err != nil {
		return fmt.Errorf("%w: %w", store.ErrRefused, err)
	}
	answer, err := exchange(ctx, session, q)
	if err != nil {
		d.drop(session)
		return fmt.Errorf("relay to the leader: %w", err)
	}
	switch answer.Relay {
	case wirepb.QueryAnswer_RELAY_STORED:
		return nil
	case wirepb.QueryAnswer_RELAY_REFUSED:
		return fmt.Errorf("%w: by the leader", store.ErrRefused)
	}
	return errors.New("leader does not know whether it was stored")
}

// ask returns nil if the leader cannot be asked.
func (d *Client) ask(ctx context.Context, q *wirepb.Query) *wirepb.QueryAnswer {
	address := d.Leader.Address()
	if address == "" || address == d.Leader.opts.Address {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	answer, err := d.askAt(ctx, address, q)
	if err != nil {
		if !errors.Is(err, errUnreachable) {
			d.Leader.opts.Logger.WithError(err).WithField("leader", address).Warn("leader not asked")
		}
		return nil
	}
	return answer
}

func (d *Client) askAt(ctx context.Context, address string, q *wirepb.Query) (*wirepb.QueryAnswer, error) {
	session, err := d.connect(ctx, address)
	if err != nil {
		return nil, err
	}
	answer, err := exchange(ctx, session, q)
	if err != nil {
		// A connection that stays silent would hold up each query.
		d.drop(session)
	}
	return answer, err
}

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
	if err := stream.Send(q); err != nil {
		return nil, err
	}
	var answer wirepb.QueryAnswer
	if err := stream.Recv(&answer); err != nil {
		return nil, err
	}
	return &answer, nil
}

func (d *Client) connect(ctx context.Context, address string) (wire.Session, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.session != nil && d.address == address {
		select {
		case <-d.session.Done():
		default:
			return d.session, nil
		}
	}
	if d.session != nil {
		_ = d.session.Close()
		d.session = nil
	}
	now := d.Leader.opts.Now()
	if d.address == address && d.failedAt != 0 && now-d.failedAt < redialPause {
		return nil, errUnreachable
	}
	d.address, d.failedAt = address, 0
	session, err := wire.Dial(ctx, address, nil)
	if err != nil {
		d.failedAt = d.Leader.opts.Now()
		return nil, err
	}
	d.session = session
	return session, nil
}

func (d *Client) drop(session wire.Session) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.session == session {
		_ = session.Close()
		d.session = nil
	}
}

// ServeQueries answers other entries until ctx ends.
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
	session, err := wire.NewServerSession(conn)
	if err != nil {
		l.opts.Logger.WithError(err).Warn("session of an entry not begun")
		return
	}
	defer func() { _ = session.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = session.Close() })
	defer stop()
	for {
		stream, err := session.Accept(ctx)
		if err != nil {
			if !errors.Is(err, wire.ErrSessionClosed) && ctx.Err() == nil {
				l.opts.Logger.WithError(err).Warn("session of an entry ended")
			}
			return
		}
		go func() {
			defer func() { _ = stream.Close() }()
			// Without an answer, the entry that asks does not know.
			_ = contain.Do(l.opts.Logger, "query", func() error { l.answer(ctx, stream); return nil })
		}()
	}
}

// relayed does a write for another entry.
func (l *Leader) relayed(ctx context.Context, id string, write func(context.Context) error) wirepb.QueryAnswer_Relay {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	err := write(ctx)
	l.opts.Logger.WithError(err).WithField("job", id).Info("write relayed for another entry")
	switch {
	case err == nil:
		return wirepb.QueryAnswer_RELAY_STORED
	case errors.Is(err, store.ErrRefused):
		return wirepb.QueryAnswer_RELAY_REFUSED
	}
	return wirepb.QueryAnswer_RELAY_UNKNOWN
}

func (l *Leader) answer(ctx context.Context, stream wire.Stream) {
	if err := stream.SetDeadline(time.Now().Add(relayTimeout)); err != nil {
		return
	}
	var q wirepb.Query
	if err := stream.Recv(&q); err != nil {
		l.opts.Logger.WithError(err).Debug("query not read")
		return
	}
	answer := &wirepb.QueryAnswer{}
	switch {
	case q.Accepted != nil:
		j, err := ledger.DecodeJob(q.Job, q.Accepted)
		if err != nil {
			l.opts.Logger.WithError(err).Error("news of a job left out")
			return
		}
		if q.Relay {
			answer.Relay = l.relayed(ctx, q.Job, func(ctx context.Context) error { return l.opts.CallersLedger.Accept(ctx, j) })
		}
		if answer.Relay <= wirepb.QueryAnswer_RELAY_STORED {
			answer.Leading = l.accepted(j)
		}
	case q.Cancelled:
		if q.Relay {
			answer.Relay = l.relayed(ctx, q.Job, func(ctx context.Context) error { return l.opts.CallersLedger.Cancel(ctx, q.Job) })
		}
		if answer.Relay <= wirepb.QueryAnswer_RELAY_STORED {
			answer.Leading = l.cancelled(q.Job)
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
		l.opts.Logger.WithError(err).Debug("query not answered")
	}
}
