package ingress

import (
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

var epoch = time.Unix(1_000_000, 0)

// Guards against ordinary small bodies that are refused while large ones fill the account.
func TestAccount_SmallBesideLarge(t *testing.T) {
	a := NewAccount(1 << 20)
	for a.Open(epoch, 256<<10, nil) != nil {
	}
	test.Nil(t, a.Open(epoch, 256<<10, nil))
	test.NotNil(t, a.Open(epoch, 4<<10, nil))
}

// Guards against a single body that fits the account and is refused although nothing else is held.
func TestAccount_SingleLargeBody(t *testing.T) {
	a := NewAccount(1 << 20)
	g := a.Open(epoch, 4<<10, nil)
	must.NotNil(t, g)
	test.True(t, a.Grow(g, 1<<20))
	test.False(t, a.Grow(g, 1<<20+1))
}

// Guards against evictions that spare the slowest and the largest bodies, or take complete or young
// ones.
func TestAccount_EvictsSlowestThenLargest(t *testing.T) {
	a := NewAccount(100 << 10)
	open := func(kb int64, age time.Duration, receivedKB int64) *Grant {
		g := a.Open(epoch.Add(-age), kb<<10, nil)
		must.NotNil(t, g)
		a.Received(g, receivedKB<<10)
		return g
	}
	fast := open(20, time.Second, 18)
	slow := open(10, time.Second, 2)
	slowLarge := open(30, time.Second, 2)
	young := open(20, evictableAge/2, 0)
	complete := open(20, time.Second, 0)
	must.True(t, a.Complete(complete))
	must.Eq(t, []*Grant{slowLarge}, a.Evict(epoch, 25<<10))
	must.SliceEmpty(t, a.Evict(epoch, 25<<10), must.Sprint("room is about to be free"))
	must.Eq(t, []*Grant{slow}, a.Evict(epoch, 32<<10), must.Sprint("of those that are left"))
	test.False(t, young.evicted || complete.evicted || fast.evicted)
	test.False(t, a.Complete(slow))
	test.False(t, a.Grow(slowLarge, 31<<10))
	a.Close(slowLarge)
	test.NotNil(t, a.Open(epoch, 25<<10, nil))
}

// Guards against a sum above the bound, and against memory that is never freed, over any order of
// grants, growth, completions, evictions and closings.
func TestAccount_Property(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Int64Range(1, 1<<20).Draw(t, "limit")
		a := NewAccount(limit)
		now := epoch
		var open []*Grant
		pick := func(t *rapid.T) *Grant {
			if len(open) == 0 {
				t.Skip("none open")
			}
			return open[rapid.IntRange(0, len(open)-1).Draw(t, "grant")]
		}
		size := rapid.Int64Range(0, limit+limit/4)
		t.Repeat(map[string]func(*rapid.T){
			"open": func(t *rapid.T) {
				if g := a.Open(now, size.Draw(t, "bytes"), nil); g != nil {
					open = append(open, g)
				}
			},
			"grow": func(t *rapid.T) {
				g := pick(t)
				before, evicted, n := g.bytes, g.evicted, size.Draw(t, "bytes")
				grown := a.Grow(g, n)
				if grown && (evicted || g.bytes < n) || !grown && g.bytes != before {
					t.Fatalf("grown %t from %d by %d to %d", grown, before, n, g.bytes)
				}
			},
			"receive":  func(t *rapid.T) { g := pick(t); a.Received(g, g.bytes/2) },
			"complete": func(t *rapid.T) { a.Complete(pick(t)) },
			"close": func(t *rapid.T) {
				g := pick(t)
				a.Close(g)
				if rapid.Bool().Draw(t, "twice") {
					a.Close(g)
				}
				for i := range open {
					if open[i] == g {
						open = append(open[:i], open[i+1:]...)
						break
					}
				}
			},
			"evict": func(t *rapid.T) {
				for _, g := range a.Evict(now, size.Draw(t, "bytes")) {
					if g.complete || now.Sub(g.since) < evictableAge {
						t.Fatalf("evicted %+v", g)
					}
				}
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				sum := int64(0)
				for _, g := range open {
					sum += g.bytes
				}
				if sum != a.used || sum > limit || len(a.grants) != len(open) {
					t.Fatalf("sum %d, used %d of %d, %d grants for %d open", sum, a.used, limit, len(a.grants), len(open))
				}
			},
		})
		for _, g := range open {
			a.Close(g)
		}
		if a.used != 0 || len(a.grants) != 0 {
			t.Fatalf("%d bytes left", a.used)
		}
	})
}

// Guards against peers that together take more than the pool has, and against memory that is never
// returned.
func TestPool_Property(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := NewPool(1000)
		var members []*Member
		t.Repeat(map[string]func(*rapid.T){
			"join": func(t *rapid.T) {
				var m *Member
				m = p.Join(rapid.Int64Range(0, 1500).Draw(t, "limit"), func() { m.Leave() })
				members = append(members, m)
			},
			"take": func(t *rapid.T) {
				if len(members) == 0 {
					t.Skip("no member")
				}
				m := rapid.SampledFrom(members).Draw(t, "member")
				n := rapid.Int64Range(0, 400).Draw(t, "bytes")
				if ok, retry := m.Take(n); !ok && retry && p.used+n > p.limit && len(p.members) == 0 {
					t.Fatal("nobody was expelled")
				}
			},
			"give": func(t *rapid.T) {
				if len(members) == 0 {
					t.Skip("no member")
				}
				rapid.SampledFrom(members).Draw(t, "member").Give(rapid.Int64Range(0, 400).Draw(t, "bytes"))
			},
			"": func(t *rapid.T) {
				sum := int64(0)
				for _, m := range members {
					sum += m.bytes
				}
				if sum != p.used || sum > p.limit || p.used < 0 {
					t.Fatalf("sum %d, used %d of %d", sum, p.used, p.limit)
				}
			},
		})
		for _, m := range members {
			m.Leave()
		}
		if p.used != 0 || len(p.members) != 0 {
			t.Fatalf("%d bytes left", p.used)
		}
	})
}

// Guards against limits that ordinary callers of the smallest machine reach (27 to 100 connections), and
// against listeners that together take descriptors from the store and the agents.
func TestNewLimits(t *testing.T) {
	small := NewLimits(184<<20, 4100)
	test.GreaterEq(t, 300, small.Callers)
	test.GreaterEq(t, 20<<20, small.Bodies)
	for _, fds := range []int{128, 256, 1024, 4100, 8192} {
		l := NewLimits(536<<20, fds)
		test.LessEq(t, fds*3/4, l.Callers+l.Peers+2*l.Probes, test.Sprint(fds))
	}
}
