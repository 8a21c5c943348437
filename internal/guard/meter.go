// Package guard protects the services of one VM from interference by colocated batch
// tasks. It measures the services' latency and throttles, checkpoints or evicts tasks as
// package colocation decides.
package guard

import (
	"context"
	"slices"
	"sync"
	"time"

	"bamboowood/internal/structs"
)

// Upstream sends one request to an upstream; see exchange.Upstream.
type Upstream interface {
	Call(ctx context.Context, req structs.Request) (structs.Answer, error)
}

// maxSamples bounds the latencies recorded per service and window.
const maxSamples = 4096

// Meter is an Upstream that records the duration of calls, by service. It is safe for
// concurrent use.
type Meter struct {
	next Upstream

	mu      sync.Mutex
	samples map[string][]time.Duration
}

// NewMeter returns a Meter that forwards calls to next.
func NewMeter(next Upstream) *Meter {
	return &Meter{next: next, samples: map[string][]time.Duration{}}
}

// Call forwards the request and records its duration, also when it fails, because a
// timeout is also a late answer.
func (m *Meter) Call(ctx context.Context, req structs.Request) (structs.Answer, error) {
	start := time.Now()
	answer, err := m.next.Call(ctx, req)
	elapsed := time.Since(start)
	m.mu.Lock()
	defer m.mu.Unlock()
	if samples := m.samples[req.Service]; len(samples) < maxSamples {
		m.samples[req.Service] = append(samples, elapsed)
	}
	return answer, err
}

// window is a summary of the calls to a service in one window.
type window struct {
	count int
	tail  time.Duration
	mean  time.Duration
	busy  time.Duration
}

// tailQuantile is the latency quantile that the guard bounds.
const tailQuantile = 0.99

// take returns the windows of all services called so far and starts new ones.
func (m *Meter) take() map[string]window {
	m.mu.Lock()
	defer m.mu.Unlock()
	windows := make(map[string]window, len(m.samples))
	for service, samples := range m.samples {
		windows[service] = summarise(samples)
		m.samples[service] = samples[:0]
	}
	return windows
}

func summarise(samples []time.Duration) window {
	if len(samples) == 0 {
		return window{}
	}
	slices.Sort(samples)
	w := window{count: len(samples), tail: samples[min(len(samples)-1, int(float64(len(samples))*tailQuantile))]}
	for _, d := range samples {
		w.busy += d
	}
	w.mean = w.busy / time.Duration(len(samples))
	return w
}
