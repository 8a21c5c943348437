package link

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// directory holds the addresses of the entries known to this entry: its own, those from
// its source, and those that agents report live sessions with.
type directory struct {
	self   string
	source func() []string

	mu sync.Mutex
	// reported counts the sessions whose agents report an address.
	reported     map[string]int
	sourceReadAt time.Time
	fromSource   []string
	current      atomic.Pointer[[]string]
}

func newDirectory(self string, source func() []string) *directory {
	d := &directory{self: self, source: source, reported: map[string]int{}}
	d.rebuild()
	return d
}

// list returns all addresses, the entry's own first and the others sorted. The
// caller must not change it.
func (d *directory) list() []string { return *d.current.Load() }

// replace replaces the addresses that an agent reported before with updated.
func (d *directory) replace(old, updated []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, addr := range updated {
		d.reported[addr]++
	}
	for _, addr := range old {
		if d.reported[addr]--; d.reported[addr] <= 0 {
			delete(d.reported, addr)
		}
	}
	d.rebuild()
}

// refresh reads the source if it was not read within the last
// HeartbeatInterval.
func (d *directory) refresh(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if now.Sub(d.sourceReadAt) < HeartbeatInterval {
		return
	}
	d.sourceReadAt = now
	addresses := d.source()
	if slices.Equal(addresses, d.fromSource) {
		return
	}
	d.fromSource = slices.Clone(addresses)
	d.rebuild()
}

func (d *directory) rebuild() {
	others := slices.AppendSeq(slices.Clone(d.fromSource), maps.Keys(d.reported))
	slices.Sort(others)
	others = slices.DeleteFunc(slices.Compact(others), func(a string) bool { return a == d.self || a == "" })
	if d.self != "" {
		others = append([]string{d.self}, others...)
	}
	d.current.Store(&others)
}
