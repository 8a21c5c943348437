package exchange

import (
	"sync"
	"time"

	"bamboowood/internal/routing"
)

// maxRecent is the number of keys that a recentSet keeps.
const maxRecent = 4096

// recentSet holds the last maxRecent keys that were added.
type recentSet[K comparable] struct {
	mu    sync.Mutex
	seen  map[K]struct{}
	order []K
	next  int
}

// add adds the key and reports whether it is new.
func (r *recentSet[K]) add(key K) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.seen == nil {
		r.seen = make(map[K]struct{})
	}
	if _, ok := r.seen[key]; ok {
		return false
	}
	r.seen[key] = struct{}{}
	if len(r.order) < maxRecent {
		r.order = append(r.order, key)
		return true
	}
	delete(r.seen, r.order[r.next])
	r.order[r.next] = key
	r.next = (r.next + 1) % maxRecent
	return true
}

// serviceTimes estimates the service time of each service.
type serviceTimes struct {
	meters sync.Map // service name to *routing.Meter
	epoch  time.Time
}

// now returns the time for the meters, since epoch.
func (t *serviceTimes) now() time.Duration { return time.Since(t.epoch) }

func (t *serviceTimes) meter(service string) *routing.Meter {
	v, ok := t.meters.Load(service)
	if !ok {
		v, _ = t.meters.LoadOrStore(service, &routing.Meter{})
	}
	return v.(*routing.Meter)
}

// meanMicros returns the expected service time in microseconds; 0 without an estimate.
func (t *serviceTimes) meanMicros(service string) int64 {
	return t.meter(service).Mean(t.now()).Microseconds()
}

func (t *serviceTimes) snapshot() map[string]int64 {
	m := make(map[string]int64)
	t.meters.Range(func(k, v any) bool {
		if mean := v.(*routing.Meter).Mean(t.now()).Microseconds(); mean > 0 {
			m[k.(string)] = mean
		}
		return true
	})
	return m
}
