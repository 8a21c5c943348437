// Package membership keeps what agents announce of themselves: who is there, in
// which incarnation, and whether it may get requests. It has no goroutine, socket
// or clock; a Registry is not safe for concurrent use.
package membership

import (
	"cmp"
	"errors"
	"maps"
	"slices"
	"time"

	"bamboowood/internal/control"
	"bamboowood/internal/routing"
	"bamboowood/internal/structs"
)

// ErrStaleIncarnation says that a newer incarnation of the VM is known.
var ErrStaleIncarnation = errors.New("a newer incarnation is known")

// ErrInvalid says that an announcement lacks a VM, a zone or slots.
var ErrInvalid = errors.New("invalid announcement")

// MaxSlots bounds the slots that an agent may announce.
const MaxSlots = 4096

// Announcement is what an agent says when it connects.
type Announcement struct {
	VM             string
	Zone           string
	Rack           string
	Incarnation    int64
	Services       []string
	Slots          int32
	ControlVersion int64
}

// Heartbeat is the content of one heartbeat.
type Heartbeat struct {
	InFlight       int32
	Leaving        bool
	ControlVersion int64
	LeaseRemaining time.Duration
	RunningTasks   int32
	// ServiceTime is keyed by service; nil when unchanged.
	ServiceTime map[string]time.Duration
}

// Options are the durations after which silence counts.
type Options struct {
	// SilentAfter without a heartbeat, an upstream gets no requests.
	SilentAfter time.Duration
	// RemoveAfter without a heartbeat, an upstream is no longer shown.
	RemoveAfter time.Duration
}

// Registry holds the newest incarnation of every VM that announced itself.
type Registry struct {
	opts    Options
	members map[string]*member
	// highest keeps the highest incarnation also of VMs that were forgotten.
	highest map[string]int64
}

type member struct {
	Announcement
	Heartbeat
	// connected says that a usable session exists.
	connected bool
	// quiet says that the last heartbeat is older than SilentAfter.
	quiet  bool
	lastAt time.Duration
	stats  map[string]*routing.Stats
}

// NewRegistry returns an empty Registry.
func NewRegistry(opts Options) *Registry {
	return &Registry{opts: opts, members: map[string]*member{}, highest: map[string]int64{}}
}

// Announce takes an announcement at now. A newer incarnation replaces the older
// one at once, with fresh counters. The error is ErrInvalid or ErrStaleIncarnation
// and leaves the Registry as it was.
func (r *Registry) Announce(now time.Duration, a Announcement) (replaced bool, err error) {
	if a.VM == "" || a.Zone == "" || a.Slots < 0 || a.Slots > MaxSlots {
		return false, ErrInvalid
	}
	if a.Incarnation < r.highest[a.VM] {
		return false, ErrStaleIncarnation
	}
	old := r.members[a.VM]
	if old != nil && old.Incarnation == a.Incarnation {
		old.Announcement = withVersion(a, old.ControlVersion())
		old.connected, old.quiet, old.lastAt = true, false, now
		return false, nil
	}
	r.highest[a.VM] = a.Incarnation
	r.members[a.VM] = &member{
		Announcement: a, connected: true, lastAt: now, stats: map[string]*routing.Stats{},
		Heartbeat: Heartbeat{ControlVersion: a.ControlVersion},
	}
	return old != nil, nil
}

func withVersion(a Announcement, version int64) Announcement {
	a.ControlVersion = max(a.ControlVersion, version)
	return a
}

// ControlVersion returns the highest version that the agent has reported.
func (m *member) ControlVersion() int64 {
	return max(m.Announcement.ControlVersion, m.Heartbeat.ControlVersion)
}

// Heartbeat takes a heartbeat at now and reports whether a snapshot would
// change. One of another incarnation than the newest is ErrStaleIncarnation.
func (r *Registry) Heartbeat(now time.Duration, vm string, incarnation int64, b Heartbeat) (changed bool, err error) {
	m := r.members[vm]
	if m == nil || m.Incarnation != incarnation {
		return false, ErrStaleIncarnation
	}
	changed = m.quiet || m.Heartbeat.Leaving != b.Leaving
	if b.ServiceTime == nil {
		b.ServiceTime = m.ServiceTime
	}
	m.Heartbeat, m.quiet, m.lastAt = b, false, now
	return changed, nil
}

// SetConnected records whether the incarnation has a usable session, and reports
// whether a snapshot would change.
func (r *Registry) SetConnected(vm string, incarnation int64, connected bool) (changed bool) {
	m := r.members[vm]
	if m == nil || m.Incarnation != incarnation || m.connected == connected {
		return false
	}
	m.connected = connected
	return true
}

// Expire applies the passing of time up to now and reports whether a snapshot
// would change.
func (r *Registry) Expire(now time.Duration) (changed bool) {
	for vm, m := range r.members {
		age := now - m.lastAt
		if !m.quiet && age >= r.opts.SilentAfter {
			m.quiet = true
			changed = true
		}
		if age >= r.opts.RemoveAfter {
			delete(r.members, vm)
			changed = true
		}
	}
	return changed
}

// Newest returns the newest incarnation of the VM; ok is false when the VM is
// not known.
func (r *Registry) Newest(vm string) (incarnation int64, ok bool) {
	m := r.members[vm]
	if m == nil {
		return 0, false
	}
	return m.Incarnation, true
}

// Services returns the names of all announced services, sorted.
func (r *Registry) Services() []string {
	names := map[string]struct{}{}
	for _, m := range r.members {
		for _, s := range m.Announcement.Services {
			names[s] = struct{}{}
		}
	}
	return slices.Sorted(maps.Keys(names))
}

// Snapshot returns the upstreams of a service in the order of their VMs' names.
// Upstreams of the same incarnation share their Stats between snapshots.
func (r *Registry) Snapshot(service, localZone string, config *structs.Config) *routing.Snapshot {
	snapshot := &routing.Snapshot{Service: service, LocalZone: localZone}
	for _, vm := range slices.Sorted(maps.Keys(r.members)) {
		m := r.members[vm]
		if !slices.Contains(m.Announcement.Services, service) {
			continue
		}
		snapshot.Upstreams = append(snapshot.Upstreams, &routing.Upstream{
			VM: m.VM, Zone: m.Zone, Incarnation: m.Incarnation, Slots: m.Slots,
			Leaving: m.leaving(config), ZoneDrained: !control.ZoneActive(config, m.Zone), Silent: m.silent(),
			Stats: m.statsOf(service),
		})
	}
	return snapshot
}

func (m *member) silent() bool { return m.quiet || !m.connected }

func (m *member) leaving(config *structs.Config) bool {
	return m.Heartbeat.Leaving || config.DrainingVMs[m.VM]
}

func (m *member) statsOf(service string) *routing.Stats {
	s, ok := m.stats[service]
	if !ok {
		s = &routing.Stats{}
		m.stats[service] = s
	}
	return s
}

// States of an upstream as operators see them.
const (
	StateReady       = "ready"
	StateLeaving     = "leaving"
	StateSilent      = "silent"
	StateEjected     = "ejected"
	StateZoneDrained = "zone-out"
)

// Status returns what is known of every VM, in the order of their names. An
// upstream is ejected while one of its services is, by nowNanos of the clock of
// routing.Health.
func (r *Registry) Status(now time.Duration, config *structs.Config) []structs.UpstreamStatus {
	statuses := make([]structs.UpstreamStatus, 0, len(r.members))
	for _, m := range r.members {
		statuses = append(statuses, structs.UpstreamStatus{
			VM: m.VM, Zone: m.Zone, Rack: m.Rack, Services: m.Announcement.Services, Incarnation: m.Incarnation,
			Slots: int(m.Slots), InFlight: int(m.InFlight), ServiceMicros: m.meanServiceTime().Microseconds(),
			State: m.state(now, config), ControlVersion: m.ControlVersion(),
			LeaseRemainingMS: m.LeaseRemaining.Milliseconds(), AgeMS: (now - m.lastAt).Milliseconds(),
		})
	}
	slices.SortFunc(statuses, func(a, b structs.UpstreamStatus) int { return cmp.Compare(a.VM, b.VM) })
	return statuses
}

func (m *member) state(now time.Duration, config *structs.Config) string {
	switch {
	case m.silent():
		return StateSilent
	case m.leaving(config):
		return StateLeaving
	case !control.ZoneActive(config, m.Zone):
		return StateZoneDrained
	case m.ejected(now):
		return StateEjected
	}
	return StateReady
}

func (m *member) ejected(now time.Duration) bool {
	for _, s := range m.stats {
		if s.Health.EjectedUntilNanos.Load() > now.Nanoseconds() {
			return true
		}
	}
	return false
}

// meanServiceTime returns the mean over the services.
func (m *member) meanServiceTime() time.Duration {
	if len(m.ServiceTime) == 0 {
		return 0
	}
	sum := time.Duration(0)
	for _, d := range m.ServiceTime {
		sum += d
	}
	return sum / time.Duration(len(m.ServiceTime))
}
