package membership_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"bamboowood/internal/control"
	"bamboowood/internal/membership"
	"bamboowood/internal/routing"
	"bamboowood/internal/structs"
)

const (
	heartbeatTimeout = 3 * time.Second
	removeAfter      = 60 * time.Second
)

func newRegistry() *membership.Registry {
	return membership.NewRegistry(membership.Options{HeartbeatTimeout: heartbeatTimeout, RemoveAfter: removeAfter})
}

func announcement(vm string, incarnation int64) membership.Announcement {
	return membership.Announcement{VM: vm, Zone: "norte", Incarnation: incarnation, Services: []string{"eyes"}, Slots: 8}
}

func upstreamsAt(r *membership.Registry, config *structs.Config) map[string]*routing.Upstream {
	m := map[string]*routing.Upstream{}
	for _, u := range r.Snapshot("eyes", "norte", config).Upstreams {
		m[u.VM] = u
	}
	return m
}

// The conditions under which an upstream gets no requests, and its state in the
// status.
func TestRegistry_States(t *testing.T) {
	zoneDrained := &structs.Config{Zones: map[string]structs.Zone{"norte": {State: structs.ZoneDrained}}}
	vmDrained := &structs.Config{DrainingVMs: map[string]bool{"vm1": true}}
	empty := &structs.Config{}
	cases := []struct {
		name   string
		config *structs.Config
		do     func(r *membership.Registry)
		want   string
	}{
		{"announced", empty, func(*membership.Registry) {}, membership.StateReady},
		{"leaving", empty, func(r *membership.Registry) {
			_, _ = r.Heartbeat(0, "vm1", 1, membership.Heartbeat{Leaving: true})
		}, membership.StateLeaving},
		{"VM drained", vmDrained, func(*membership.Registry) {}, membership.StateLeaving},
		{"zone drained", zoneDrained, func(*membership.Registry) {}, membership.StateZoneDrained},
		{"no session", empty, func(r *membership.Registry) { r.SetConnected("vm1", 1, false) }, membership.StateSilent},
		{"no heartbeat", empty, func(r *membership.Registry) { r.Expire(heartbeatTimeout) }, membership.StateSilent},
		{"heartbeat after silence", empty, func(r *membership.Registry) {
			r.Expire(heartbeatTimeout)
			_, _ = r.Heartbeat(heartbeatTimeout, "vm1", 1, membership.Heartbeat{})
		}, membership.StateReady},
		{"ejected", empty, func(r *membership.Registry) {
			upstreamsAt(r, &structs.Config{})["vm1"].Health.EjectedUntilNanos.Store(int64(time.Hour))
		}, membership.StateEjected},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newRegistry()
			_, err := r.Announce(0, announcement("vm1", 1))
			must.NoError(t, err)
			c.do(r)
			must.Eq(t, c.want, r.Status(0, c.config)[0].State)
			u := upstreamsAt(r, c.config)["vm1"]
			must.Eq(t, c.want == membership.StateLeaving, u.Leaving)
			must.Eq(t, c.want == membership.StateZoneDrained, u.ZoneDrained)
			must.Eq(t, c.want == membership.StateSilent, u.Silent)
		})
	}
}

// An invalid or stale announcement or heartbeat leaves the Registry unchanged.
func TestRegistry_RejectsInvalidAnnouncements(t *testing.T) {
	r := newRegistry()
	_, err := r.Announce(0, announcement("vm1", 5))
	must.NoError(t, err)
	noVM, noZone, slots := announcement("", 6), announcement("vm1", 6), announcement("vm1", 6)
	noZone.Zone, slots.Slots = "", membership.MaxSlots+1
	for _, a := range []membership.Announcement{noVM, noZone, slots} {
		_, err := r.Announce(0, a)
		must.ErrorIs(t, err, membership.ErrInvalid)
	}
	_, err = r.Announce(0, announcement("vm1", 4))
	must.ErrorIs(t, err, membership.ErrStaleIncarnation)
	_, err = r.Heartbeat(0, "vm1", 4, membership.Heartbeat{Leaving: true})
	must.ErrorIs(t, err, membership.ErrStaleIncarnation)
	must.Eq(t, 5, upstreamsAt(r, &structs.Config{})["vm1"].Incarnation)
	must.False(t, upstreamsAt(r, &structs.Config{})["vm1"].Leaving)
}

// An old incarnation stays refused after the VM was removed.
func TestRegistry_RemembersIncarnations(t *testing.T) {
	r := newRegistry()
	_, err := r.Announce(0, announcement("vm1", 5))
	must.NoError(t, err)
	must.True(t, r.Expire(removeAfter))
	must.SliceEmpty(t, r.Status(0, &structs.Config{}))
	_, err = r.Announce(removeAfter, announcement("vm1", 4))
	must.ErrorIs(t, err, membership.ErrStaleIncarnation)
}

// registryModel applies announcements, heartbeats and the passing of time to a
// Registry in any order.
type registryModel struct {
	registry *membership.Registry
	now      time.Duration
	highest  map[string]int64
	stats    map[string]*routing.Stats // by VM and incarnation
}

func (m *registryModel) announce(t *rapid.T) {
	vm, incarnation := drawVM(t), rapid.Int64Range(1, 6).Draw(t, "incarnation")
	replaced, err := m.registry.Announce(m.now, announcement(vm, incarnation))
	if incarnation < m.highest[vm] {
		must.ErrorIs(t, err, membership.ErrStaleIncarnation)
		return
	}
	must.NoError(t, err)
	must.True(t, !replaced || incarnation > m.highest[vm])
	m.highest[vm] = incarnation
}

func (m *registryModel) heartbeat(t *rapid.T) {
	vm, incarnation := drawVM(t), rapid.Int64Range(1, 6).Draw(t, "incarnation")
	newest, ok := m.registry.Newest(vm)
	_, err := m.registry.Heartbeat(m.now, vm, incarnation, membership.Heartbeat{Leaving: rapid.Bool().Draw(t, "leaving")})
	must.Eq(t, ok && newest == incarnation, err == nil)
}

func (m *registryModel) advanceTime(t *rapid.T) {
	m.now += time.Duration(rapid.IntRange(0, 70_000).Draw(t, "ms")) * time.Millisecond
	m.registry.Expire(m.now)
}

func (m *registryModel) check(t *rapid.T) {
	for vm, u := range upstreamsAt(m.registry, &structs.Config{}) {
		must.Eq(t, m.highest[vm], u.Incarnation)
		id := fmt.Sprintf("%s/%d", vm, u.Incarnation)
		for other, stats := range m.stats {
			must.True(t, other == id || stats != u.Stats, must.Sprint("two incarnations share their Stats"))
		}
		m.stats[id] = u.Stats
	}
	for _, s := range m.registry.Status(m.now, &structs.Config{}) {
		age := time.Duration(s.AgeMS) * time.Millisecond
		must.True(t, age < heartbeatTimeout || s.State == membership.StateSilent)
		must.True(t, age < removeAfter)
	}
}

func drawVM(t *rapid.T) string { return rapid.SampledFrom([]string{"vm1", "vm2"}).Draw(t, "vm") }

// Snapshots contain only the newest incarnation of each VM, the incarnation never
// decreases, and a VM without recent heartbeats is never in another state than silent.
func TestRegistry_Model(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &registryModel{registry: newRegistry(), highest: map[string]int64{}, stats: map[string]*routing.Stats{}}
		t.Repeat(map[string]func(*rapid.T){
			"announce": m.announce, "heartbeat": m.heartbeat, "pass time": m.advanceTime, "": m.check,
		})
	})
}

// When nodes exchange configurations in any order and over any path, each one keeps
// the highest version that it has received, and no version is replaced by a lower one.
func TestConfigMerge_NeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := make([]*control.Holder, 5)
		highest := make([]int64, len(nodes))
		for i := range nodes {
			nodes[i] = control.NewHolder()
		}
		for range rapid.IntRange(1, 60).Draw(t, "messages") {
			to := rapid.IntRange(0, len(nodes)-1).Draw(t, "to")
			config := &structs.Config{Version: rapid.Int64Range(1, 20).Draw(t, "version")}
			if from := rapid.IntRange(-1, len(nodes)-1).Draw(t, "from"); from >= 0 {
				config = nodes[from].Load()
			}
			merged := nodes[to].Merge(config)
			must.Eq(t, config.Version > highest[to], merged)
			highest[to] = max(highest[to], config.Version)
			must.Eq(t, highest[to], nodes[to].Version())
		}
	})
}
