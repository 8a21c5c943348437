package follower

import (
	"context"
	"fmt"
	"time"

	"bamboowood/internal/job"
	"bamboowood/internal/wire"
	"bamboowood/internal/wire/wirepb"
)

// maxAdviceTime bounds one call of the advice service.
const maxAdviceTime = 2 * time.Minute

// Advisor is a client of the advice service, which decides which of the runners may run the task's step.
type Advisor interface {
	Advise(ctx context.Context, t job.Task, runners []string) (job.AdviceAnswer, error)
}

// serveAdvice makes the calls of the advice service that the leader asks for, until the session ends. The
// service handles one call of a machine at a time, and so does this.
func (f *Follower) serveAdvice(ctx context.Context, session wire.Session) error {
	for {
		stream, err := session.Accept(ctx)
		if err != nil {
			return err
		}
		if err := f.advise(ctx, stream); err != nil && ctx.Err() == nil {
			f.opts.Logger.WithError(err).Warn("advice call of the leader failed")
		}
		_ = stream.Close()
	}
}

// advise makes one call. It ends early if the leader closes the stream.
func (f *Follower) advise(ctx context.Context, stream wire.Stream) error {
	if err := stream.SetDeadline(time.Now().Add(helloTimeout)); err != nil {
		return err
	}
	var request wirepb.AdviceCall
	if err := stream.Recv(&request); err != nil {
		return err
	}
	task, err := job.ParseTask(request.GetTask())
	if err != nil {
		return fmt.Errorf("decode advice call: %w", err)
	}
	timeout := min(time.Duration(request.GetTimeoutMs())*time.Millisecond, maxAdviceTime)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if err := stream.SetDeadline(time.Now().Add(timeout + helloTimeout)); err != nil {
		return err
	}
	go func() {
		// The leader sends nothing more: this returns when it closes the stream.
		_ = stream.Recv(&wirepb.AdviceCall{})
		cancel()
	}()
	answer, err := f.opts.Advisor.Advise(ctx, task, request.GetRunners())
	return stream.Send(wire.AdviceReply(answer, err))
}
