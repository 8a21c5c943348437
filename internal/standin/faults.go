package standin

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"bamboowood/internal/platform"
)

// Operation is the name of a call of a stand-in.
type Operation string

// Operations that faults can be set for. The fault of AnyOperation applies to the
// operations without a Fault of their own.
const (
	AnyOperation Operation = ""
	OpGet        Operation = "get"
	OpList       Operation = "list"
	OpCommit     Operation = "commit"
	OpPut        Operation = "put"
	OpDelete     Operation = "delete"
	OpStart      Operation = "start"
	OpExtend     Operation = "extend"
	OpCheckpoint Operation = "checkpoint"
	OpThrottle   Operation = "throttle"
	OpStop       Operation = "stop"
	OpForget     Operation = "forget"
)

// Fault describes how the calls of one operation fail. The zero value is no fault.
type Fault struct {
	// Refuse returns platform.ErrUnavailable at once; the call has no effect.
	Refuse bool `json:"refuse,omitempty"`
	// Down blocks the call until its context ends; the call has no effect.
	Down bool `json:"down,omitempty"`
	// Latency is the delay before the call takes effect. A uniformly distributed random
	// part of Jitter is added to it.
	Latency time.Duration `json:"latency,omitempty"`
	Jitter  time.Duration `json:"jitter,omitempty"`
	// AnswerLatency is the delay of the answer after the call took effect.
	AnswerLatency time.Duration `json:"answer_latency,omitempty"`
	// LoseNext is the number of next calls that take effect but whose responses are lost.
	LoseNext int `json:"lose_next,omitempty"`
	// LoseProbability is the probability that a response is lost, from 0 to 1.
	LoseProbability float64 `json:"lose_probability,omitempty"`
}

// errResponseLost has no code in the platform's protocol: the outcome is unknown to the
// caller.
var errResponseLost = errors.New("connection cut before the answer")

// Faults injects faults into the calls of one stand-in. Safe for concurrent use.
type Faults struct {
	mu     sync.Mutex
	faults map[Operation]Fault
	random *rand.Rand
}

func newFaults() *Faults {
	return &Faults{faults: map[Operation]Fault{}, random: rand.New(rand.NewPCG(1, 1))}
}

// Seed restarts the random numbers of Jitter and LoseProbability from seed.
func (f *Faults) Seed(seed uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.random = rand.New(rand.NewPCG(seed, 0))
}

// Set replaces the fault of the operation.
func (f *Faults) Set(op Operation, fault Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults[op] = fault
}

// Clear removes all faults.
func (f *Faults) Clear() {
	f.mu.Lock()
	defer f.mu.Unlock()
	clear(f.faults)
}

// draw returns the fault of one call and whether its response is lost. The Latency that it
// returns includes the jitter.
func (f *Faults) draw(op Operation) (fault Fault, lost bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	key := op
	fault, ok := f.faults[key]
	if !ok {
		key = AnyOperation
		fault = f.faults[key]
	}
	if fault.Jitter > 0 {
		fault.Latency += time.Duration(f.random.Int64N(int64(fault.Jitter)))
	}
	if fault.LoseNext > 0 {
		stored := f.faults[key]
		stored.LoseNext--
		f.faults[key] = stored
		return fault, true
	}
	return fault, fault.LoseProbability > 0 && f.random.Float64() < fault.LoseProbability
}

// call runs effect under the fault of the operation.
func (f *Faults) call(ctx context.Context, op Operation, effect func() error) error {
	fault, lost := f.draw(op)
	if fault.Refuse {
		return fmt.Errorf("%w: %s refused by a fault switch", platform.ErrUnavailable, op)
	}
	if fault.Down {
		<-ctx.Done()
		return fmt.Errorf("%s: no answer: %w", op, ctx.Err())
	}
	if err := pause(ctx, fault.Latency); err != nil {
		return fmt.Errorf("%s: no answer: %w", op, err)
	}
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("%s: %w", op, err)
	}
	err := effect()
	if lost {
		return fmt.Errorf("%s: %w", op, errResponseLost)
	}
	if waitErr := pause(ctx, fault.AnswerLatency); waitErr != nil {
		return fmt.Errorf("%s: no answer: %w", op, waitErr)
	}
	return err
}

// pause waits for d or until ctx ends.
func pause(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
