// Package contain recovers panics, so that one malformed message or job does not stop the
// whole process.
package contain

import (
	"context"
	"errors"
	"fmt"
	"runtime/debug"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
)

// ErrPanicked is the error of work that panicked and was abandoned.
var ErrPanicked = errors.New("panicked")

// maxStack bounds the stack trace in a log line, in bytes.
const maxStack = 4 << 10

// restartPause is the pause before a loop that panicked is restarted.
const restartPause = time.Second

// Do calls work and returns its error. A panic is logged with its stack trace, counted and
// returned as an error that wraps ErrPanicked. Work must release its locks by defer, or the
// caller must hold them. Do is safe for concurrent use.
func Do(logger log.Interface, what string, work func() error) (err error) {
	defer func() {
		value := recover()
		if value == nil {
			return
		}
		metrics.GetOrCreateCounter(fmt.Sprintf("bamboowood_panics_total{in=%q}", what)).Inc()
		stack := debug.Stack()
		logger.WithFields(log.Fields{
			"in": what, "panic": fmt.Sprint(value), "stack": string(stack[:min(len(stack), maxStack)]),
		}).Error("panic recovered")
		err = fmt.Errorf("%s: %w: %v", what, ErrPanicked, value)
	}()
	return work()
}

// Loop calls loop until it returns without a panic, and returns its error. After a panic, loop
// is called again following a pause, unless ctx is done.
func Loop(ctx context.Context, logger log.Interface, what string, loop func(context.Context) error) error {
	for {
		err := Do(logger, what, func() error { return loop(ctx) })
		if !errors.Is(err, ErrPanicked) {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(restartPause):
		}
	}
}
