package exchange_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"bamboowood/internal/exchange"
	"bamboowood/internal/structs"
	"bamboowood/internal/verdict"
	"bamboowood/internal/wire"
	"bamboowood/internal/wire/wirepb"
)

const (
	linkDelay     = time.Millisecond
	wait          = 200 * time.Millisecond
	serviceTime   = 20 * time.Millisecond
	acceptTimeout = 50 * time.Millisecond
	commitTimeout = 100 * time.Millisecond
)

// step is a message of the exchange.
type step string

const (
	stepOffer  step = "offer"
	stepAccept step = "accept"
	stepCommit step = "commit"
	stepAnswer step = "answer"
	stepOther  step = "other"
)

// stepOf returns the step of a message and its request ID.
func stepOf(m proto.Message) (step, string) {
	switch m := m.(type) {
	case *wirepb.Hello:
		return stepOffer, m.GetOffer().GetRequestId()
	case *wirepb.Commit:
		return stepCommit, m.GetRequestId()
	case *wirepb.Reply:
		switch {
		case m.GetAccept() != nil:
			return stepAccept, m.GetRequestId()
		case m.GetAnswer() != nil:
			return stepAnswer, m.GetRequestId()
		}
		return stepOther, m.GetRequestId()
	}
	return stepOther, ""
}

// fakeUpstream is a fake upstream that counts the runs of each request.
type fakeUpstream struct {
	mu         sync.Mutex
	runs       map[string]int
	running    int
	maxRunning int
	// serve runs a request; nil echoes the body after serviceTime.
	serve func(ctx context.Context, req structs.Request) (structs.Answer, error)
}

func (r *fakeUpstream) Call(ctx context.Context, req structs.Request) (structs.Answer, error) {
	r.mu.Lock()
	if r.runs == nil {
		r.runs = map[string]int{}
	}
	r.runs[req.ID]++
	r.running++
	r.maxRunning = max(r.maxRunning, r.running)
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		r.running--
		r.mu.Unlock()
	}()
	if r.serve != nil {
		return r.serve(ctx, req)
	}
	return echo(ctx, req, serviceTime)
}

func echo(ctx context.Context, req structs.Request, after time.Duration) (structs.Answer, error) {
	select {
	case <-time.After(after):
		return structs.Answer{RequestID: req.ID, Status: 200, Body: req.Body}, nil
	case <-ctx.Done():
		return structs.Answer{}, verdict.New(verdict.MayHaveRun, verdict.WaitExpired, ctx.Err())
	}
}

func (r *fakeUpstream) runCount(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id]
}

// harness connects one entry and one agent by an in-memory session.
type harness struct {
	upstream *fakeUpstream
	server   *exchange.Server
	faults   *wire.Faults
	entry    wire.Session
	wg       sync.WaitGroup
}

func newHarness(t *testing.T, slots int) *harness {
	r := &harness{upstream: &fakeUpstream{}, faults: &wire.Faults{}}
	r.server = exchange.NewServer(exchange.ServerOptions{Slots: slots, CommitTimeout: commitTimeout}, r.upstream)
	r.entry = r.dial(r.faults)
	t.Cleanup(func() {
		r.faults.Cut()
		r.wg.Wait()
	})
	return r
}

// dial opens another session with the agent and returns the entry's end.
func (r *harness) dial(faults *wire.Faults) wire.Session {
	faults.SetDelay(linkDelay)
	agent, entry := wire.Pipe(wire.WithFaults(faults))
	r.wg.Go(func() { r.accept(agent) })
	return exchange.NewStreamPool(entry)
}

func (r *harness) accept(session wire.Session) {
	for {
		stream, err := session.Accept(context.Background())
		if err != nil {
			return
		}
		r.wg.Go(func() { r.serve(stream) })
	}
}

// serve handles offers as an agent does, until the stream is no longer kept.
func (r *harness) serve(stream wire.Stream) {
	for {
		hello := &wirepb.Hello{}
		if err := stream.Recv(hello); err != nil || hello.GetOffer() == nil {
			_ = stream.Close()
			return
		}
		if !r.server.Serve(context.Background(), stream, hello.GetOffer()) {
			return
		}
		_ = stream.SetDeadline(time.Time{})
	}
}

func request(id string, idempotent bool) structs.Request {
	return structs.Request{
		ID: id, Service: "eyes", Body: []byte("body of " + id), Idempotent: idempotent, Deadline: time.Now().Add(wait),
	}
}

func (r *harness) do(req structs.Request) (structs.Answer, structs.Load, error) {
	return doOn(r.entry, req)
}

func doOn(s wire.Session, req structs.Request) (structs.Answer, structs.Load, error) {
	return exchange.Do(context.Background(), s, req, exchange.ClientOptions{AcceptTimeout: acceptTimeout})
}

// asVerdict returns the *verdict.Error in err, or nil.
func asVerdict(err error) *verdict.Error {
	var v *verdict.Error
	if errors.As(err, &v) {
		return v
	}
	return nil
}
