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
	silentAfter = 3 * time.Second
	forgetAfter = 60 * time.Second
)

func newRegistry() *membership.Registry {
	return membership.NewRegistry(membership.Options{SilentAfter: silentAfter, RemoveAfter: forgetAfter})
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

// What makes an upstream unfit for requests, and how operators see it.
func TestRegistry_States(t *testing.T) {
	out := &structs.Config{Zones: map[string]structs.Zone{"norte": {State: structs.ZoneDrained}}}
	drained := &structs.Config{DrainingVMs: map[string]bool{"vm1": true}}
	in := &structs.Config{}
	cases := []struct {
		name   string
		config *structs.Config
		do     func(r *membership.Registry)
		want   string
	}{
		{"announced", in, func(*membership.Registry) {}, membership.StateReady},
		{"leaving", in, func(r *membership.Registry) {
			_, _ = r.Heartbeat(0, "vm1", 1, membership.Heartbeat{Leaving: true})
		}, membership.StateLeaving},
		{"drained", drained, func(*membership.Registry) {}, membership.StateLeaving},
		{"zone out", out, func(*membership.Registry) {}, membership.StateZoneDrained},
		{"no session", in, func(r *membership.Registry) { r.SetConnected("vm1", 1, false) }, membership.StateSilent},
		{"no heartbeat", in, func(r *membership.Registry) { r.Expire(silentAfter) }, membership.StateSilent},
		{"heartbeat after silence", in, func(r *membership.Registry) {
			r.Expire(silentAfter)
			_, _ = r.Heartbeat(silentAfter, "vm1", 1, membership.Heartbeat{})
		}, membership.StateReady},
		{"ejected", in, func(r *membership.Registry) {
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

// A wrong announcement changes nothing.
func TestRegistry_RefusesAnnouncements(t *testing.T) {
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

// An old incarnation stays refused after the VM was forgotten.
func TestRegistry_RemembersIncarnations(t *testing.T) {
	r := newRegistry()
	_, err := r.Announce(0, announcement("vm1", 5))
	must.NoError(t, err)
	must.True(t, r.Expire(forgetAfter))
	must.SliceEmpty(t, r.Status(0, &structs.Config{}))
	_, err = r.Announce(forgetAfter, announcement("vm1", 4))
	must.ErrorIs(t, err, membership.ErrStaleIncarnation)
}

// registryModel drives a Registry with announcements and heartbeats in any order.
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
	newest, known := m.registry.Newest(vm)
	_, err := m.registry.Heartbeat(m.now, vm, incarnation, membership.Heartbeat{Leaving: rapid.Bool().Draw(t, "leaving")})
	must.Eq(t, known && newest == incarnation, err == nil)
}

func (m *registryModel) pass(t *rapid.T) {
	m.now += time.Duration(rapid.IntRange(0, 70_000).Draw(t, "ms")) * time.Millisecond
	m.registry.Expire(m.now)
}

func (m *registryModel) check(t *rapid.T) {
	for vm, u := range upstreamsAt(m.registry, &structs.Config{}) {
		must.Eq(t, m.highest[vm], u.Incarnation)
		id := fmt.Sprintf("%s/%d", vm, u.Incarnation)
		for other, stats := range m.stats {
			must.True(t, other == id || stats != u.Stats, must.Sprint("two incarnations share counters"))
		}
		m.stats[id] = u.Stats
	}
	for _, s := range m.registry.Status(m.now, &structs.Config{}) {
		age := time.Duration(s.AgeMS) * time.Millisecond
		must.True(t, age < silentAfter || s.State == membership.StateSilent)
		must.True(t, age < forgetAfter)
	}
}

func drawVM(t *rapid.T) string { return rapid.SampledFrom([]string{"vm1", "vm2"}).Draw(t, "vm") }

// Only the newest incarnation of a VM is ever in a snapshot, none goes back, and
// nothing silent looks ready.
func TestRegistry_Model(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &registryModel{registry: newRegistry(), highest: map[string]int64{}, stats: map[string]*routing.Stats{}}
		t.Repeat(map[string]func(*rapid.T){
			"announce": m.announce, "heartbeat": m.heartbeat, "pass": m.pass, "": m.check,
		})
	})
}

// Configurations that meet in any order, over any path, leave every node at the
// highest version it has seen, and none goes back.
func TestSpread_NeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := make([]*control.Holder, 5)
		seen := make([]int64, len(nodes))
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
			must.Eq(t, config.Version > seen[to], merged)
			seen[to] = max(seen[to], config.Version)
			must.Eq(t, seen[to], nodes[to].Version())
		}
	})
}
