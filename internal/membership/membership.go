// Package membership keeps the registry of agents: their announcements, their
// incarnations and whether they may get requests. It starts no goroutines and uses
// no sockets or clocks; callers pass the time.
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

// ErrStaleIncarnation is returned for an incarnation of a VM that is not the newest.
var ErrStaleIncarnation = errors.New("not the newest incarnation of the VM")

// ErrInvalid is returned for an announcement without a VM or a zone, or with a number
// of slots below 0 or above MaxSlots.
var ErrInvalid = errors.New("invalid announcement")

// MaxSlots is the maximum number of slots that an agent may announce.
const MaxSlots = 4096

// Announcement is the message that an agent sends when it connects.
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
	// ServiceTime is the service time by service; nil if unchanged.
	ServiceTime map[string]time.Duration
}

// Options are the heartbeat timeouts of a Registry.
type Options struct {
	// HeartbeatTimeout is the time without a heartbeat after which an upstream counts as
	// silent and gets no requests.
	HeartbeatTimeout time.Duration
	// RemoveAfter is the time without a heartbeat after which an upstream is removed.
	RemoveAfter time.Duration
}

// Registry holds the newest incarnation of every VM that announced itself. It is not
// safe for concurrent use.
type Registry struct {
	opts    Options
	members map[string]*member
	// highestIncarnation is by VM. It includes VMs that were removed, so that their
	// old incarnations stay refused.
	highestIncarnation map[string]int64
}

type member struct {
	Announcement
	Heartbeat
	// connected reports whether a usable session exists.
	connected bool
	// heartbeatTimedOut reports whether the last heartbeat is older than HeartbeatTimeout.
	heartbeatTimedOut bool
	// lastReceived is when the last announcement or heartbeat was received.
	lastReceived time.Duration
	stats        map[string]*routing.Stats
}

// NewRegistry returns an empty Registry.
func NewRegistry(opts Options) *Registry {
	return &Registry{opts: opts, members: map[string]*member{}, highestIncarnation: map[string]int64{}}
}

// Announce applies an announcement received at now. A newer incarnation replaces
// the older one at once, with new counters, and replaced is true. The error is
// ErrInvalid or ErrStaleIncarnation; the Registry is then unchanged.
func (r *Registry) Announce(now time.Duration, a Announcement) (replaced bool, err error) {
	if a.VM == "" || a.Zone == "" || a.Slots < 0 || a.Slots > MaxSlots {
		return false, ErrInvalid
	}
	if a.Incarnation < r.highestIncarnation[a.VM] {
		return false, ErrStaleIncarnation
	}
	old := r.members[a.VM]
	if old != nil && old.Incarnation == a.Incarnation {
		old.Announcement = withControlVersion(a, old.ControlVersion())
		old.connected, old.heartbeatTimedOut, old.lastReceived = true, false, now
		return false, nil
	}
	r.highestIncarnation[a.VM] = a.Incarnation
	r.members[a.VM] = &member{
		Announcement: a, connected: true, lastReceived: now, stats: map[string]*routing.Stats{},
		Heartbeat: Heartbeat{ControlVersion: a.ControlVersion},
	}
	return old != nil, nil
}

func withControlVersion(a Announcement, version int64) Announcement {
	a.ControlVersion = max(a.ControlVersion, version)
	return a
}

// ControlVersion returns the highest control version that the agent has reported.
func (m *member) ControlVersion() int64 {
	return max(m.Announcement.ControlVersion, m.Heartbeat.ControlVersion)
}

// Heartbeat applies a heartbeat received at now and reports whether snapshots change.
// It returns ErrStaleIncarnation unless incarnation is the newest one of the VM.
func (r *Registry) Heartbeat(now time.Duration, vm string, incarnation int64, b Heartbeat) (changed bool, err error) {
	m := r.members[vm]
	if m == nil || m.Incarnation != incarnation {
		return false, ErrStaleIncarnation
	}
	changed = m.heartbeatTimedOut || m.Heartbeat.Leaving != b.Leaving
	if b.ServiceTime == nil {
		b.ServiceTime = m.ServiceTime
	}
	m.Heartbeat, m.heartbeatTimedOut, m.lastReceived = b, false, now
	return changed, nil
}

// SetConnected records whether the incarnation has a usable session, and reports
// whether snapshots change.
func (r *Registry) SetConnected(vm string, incarnation int64, connected bool) (changed bool) {
	m := r.members[vm]
	if m == nil || m.Incarnation != incarnation || m.connected == connected {
		return false
	}
	m.connected = connected
	return true
}

// Expire applies HeartbeatTimeout and RemoveAfter at now and reports whether snapshots
// change.
func (r *Registry) Expire(now time.Duration) (changed bool) {
	for vm, m := range r.members {
		age := now - m.lastReceived
		if !m.heartbeatTimedOut && age >= r.opts.HeartbeatTimeout {
			m.heartbeatTimedOut = true
			changed = true
		}
		if age >= r.opts.RemoveAfter {
			delete(r.members, vm)
			changed = true
		}
	}
	return changed
}

// Newest returns the newest incarnation of the VM; ok is false if the Registry does
// not have the VM.
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

// Snapshot returns the upstreams of a service, sorted by VM. Snapshots share the
// Stats of an upstream as long as its incarnation stays the same.
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

func (m *member) silent() bool { return m.heartbeatTimedOut || !m.connected }

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

// States of an upstream in its status.
const (
	StateReady       = "ready"
	StateLeaving     = "leaving"
	StateSilent      = "silent"
	StateEjected     = "ejected"
	StateZoneDrained = "zone-out"
)

// Status returns the status of every VM, sorted by VM. An upstream is ejected while
// one of its services is. now is a time of the clock of routing.Health.
func (r *Registry) Status(now time.Duration, config *structs.Config) []structs.UpstreamStatus {
	statuses := make([]structs.UpstreamStatus, 0, len(r.members))
	for _, m := range r.members {
		statuses = append(statuses, structs.UpstreamStatus{
			VM: m.VM, Zone: m.Zone, Rack: m.Rack, Services: m.Announcement.Services, Incarnation: m.Incarnation,
			Slots: int(m.Slots), InFlight: int(m.InFlight), ServiceMicros: m.meanServiceTime().Microseconds(),
			State: m.state(now, config), ControlVersion: m.ControlVersion(),
			LeaseRemainingMS: m.LeaseRemaining.Milliseconds(), AgeMS: (now - m.lastReceived).Milliseconds(),
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

// meanServiceTime returns the mean of the service times of all services.
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
