package routing

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const serviceTime = 20 * time.Millisecond

// newFleet returns n upstreams of 8 slots, a quarter of them in zone a.
func newFleet(n int) *Snapshot {
	s := &Snapshot{Service: "check", LocalZone: "a"}
	for i := range n {
		s.Upstreams = append(s.Upstreams, &Upstream{
			VM: fmt.Sprintf("vm-%03d", i), Zone: string(rune('a' + i%4)), Slots: 8, Stats: &Stats{},
		})
	}
	return s
}

func newQuery(now time.Duration, random uint64) *Query {
	return &Query{Now: now, Remaining: time.Second, Random: random}
}

// An upstream that is leaving, silent, without slots or in a drained zone gets no
// requests.
func TestPick_OnlyReady(t *testing.T) {
	for _, change := range []func(u *Upstream){
		func(u *Upstream) { u.Leaving = true },
		func(u *Upstream) { u.ZoneDrained = true },
		func(u *Upstream) { u.Silent = true },
		func(u *Upstream) { u.Slots = 0 },
	} {
		s := newFleet(3)
		change(s.Upstreams[0])
		change(s.Upstreams[1])
		p := NewPicker(s, DefaultOptions(), nil)
		must.Eq(t, 1, p.Ready())
		for i := range 8 {
			must.Eq(t, s.Upstreams[2], p.Pick(newQuery(time.Second, uint64(i)<<40)))
		}
	}
}

// The local zone is preferred until its upstreams are busier by LocalBias; then
// requests spill over to other zones.
func TestPick_LocalFirstThenSpill(t *testing.T) {
	s := newFleet(4)
	p := NewPicker(s, DefaultOptions(), nil)
	zones := ""
	for i := range 12 {
		zones += p.Pick(newQuery(time.Second, uint64(i)*0x9e3779b97f4a7c15)).Zone
	}
	must.Eq(t, "aa", zones[:2])
	local := strings.Count(zones, "a")
	for _, zone := range []string{"b", "c", "d"} {
		must.Between(t, 2, strings.Count(zones, zone), local-1, must.Sprint(zones))
	}
}

func TestPick_SlowOnlyWhenTheQueueIsLong(t *testing.T) {
	s := newFleet(2)
	p := NewPicker(s, DefaultOptions(), nil)
	now := time.Second
	fast, slow := s.Upstreams[0], s.Upstreams[1]
	for range 16 {
		now += time.Millisecond
		p.Record(fast, Sample{Now: now, Service: serviceTime})
		p.Record(slow, Sample{Now: now, Service: 5 * serviceTime})
	}
	p.Refresh(now)
	must.True(t, p.Slow(slow, now))
	must.False(t, p.Slow(fast, now))
	for fast.Acquire(now, fast.Slots+1) {
	}
	q := newQuery(now, 1)
	q.InFlight = 8
	must.Nil(t, p.Pick(q))
	q.Queued = 100
	must.Eq(t, slow, p.Pick(q))
	must.True(t, q.Slow)
}

// Requests that run much longer than expected mark an upstream as slow before any of
// them has ended.
func TestSlow_FromAges(t *testing.T) {
	s := newFleet(1)
	p := NewPicker(s, DefaultOptions(), nil)
	u := s.Upstreams[0]
	for i := range 16 {
		p.Record(u, Sample{Now: time.Duration(i) * time.Millisecond, Service: serviceTime})
	}
	for range 8 {
		must.True(t, u.Acquire(time.Second, u.Slots))
	}
	must.False(t, p.Slow(u, time.Second+serviceTime))
	must.True(t, p.Slow(u, time.Second+5*serviceTime))
	must.True(t, p.Suspect(u, time.Second+10*serviceTime))
	u.Replied(time.Second + 10*serviceTime)
	must.False(t, p.Suspect(u, time.Second+10*serviceTime))
}

// An upstream is ejected after MinFailures, is on probation after the ejection, is ejected
// for twice as long if it fails again, and is healthy after ProbationSuccesses.
func TestEjection(t *testing.T) {
	opts := DefaultOptions()
	s := newFleet(4)
	p := NewPicker(s, opts, nil)
	bad := s.Upstreams[1]
	now := time.Second
	ejected := false
	for range opts.Ejection.MinFailures {
		ejected = p.Record(bad, Sample{Now: now, Failed: true})
	}
	must.True(t, ejected)
	must.Eq(t, Ejected, bad.Health.State(now))
	for i := range 20 {
		must.NotEq(t, bad, p.Pick(newQuery(now, uint64(i)<<38)))
	}
	must.Nil(t, p.Probe(now, 0))

	now += opts.Ejection.Base
	must.Eq(t, Probation, bad.Health.State(now))
	must.Eq(t, bad, p.Probe(now, 0))
	must.Nil(t, p.Probe(now, 0)) // one request at a time
	bad.Release(now)
	must.True(t, p.Record(bad, Sample{Now: now, Failed: true}))
	must.Eq(t, Ejected, bad.Health.State(now+opts.Ejection.Base)) // twice as long

	now += 2 * opts.Ejection.Base
	for range opts.Ejection.ProbationSuccesses {
		must.Eq(t, Probation, bad.Health.State(now))
		p.Record(bad, Sample{Now: now, Service: serviceTime})
	}
	must.Eq(t, Healthy, bad.Health.State(now))
}

// At most MaxShare of the upstreams is ejected, however many fail. Failing
// upstreams that are not ejected are picked last.
func TestEjection_MaxShare(t *testing.T) {
	s := newFleet(10)
	p := NewPicker(s, DefaultOptions(), nil)
	now := time.Second
	for range 10 {
		for _, u := range s.Upstreams[:9] {
			p.Record(u, Sample{Now: now, Failed: true})
		}
	}
	ejected := 0
	for _, u := range s.Upstreams {
		if u.Health.State(now) == Ejected {
			ejected++
		}
	}
	must.Eq(t, 4, ejected)
	must.Eq(t, s.Upstreams[9], p.Pick(newQuery(now, 7)))
}

// A budget starts empty, holds at most the burst, and keeps the reserve of each Spend.
func TestRetryBudget(t *testing.T) {
	var b RetryBudget
	must.False(t, b.Spend(0))
	for range 100 {
		b.Earn(0.1, 5)
	}
	spent := 0
	for b.Spend(2) {
		spent++
	}
	must.Eq(t, 3, spent)
	must.True(t, b.Spend(0))
	must.True(t, b.Spend(0))
	must.False(t, b.Spend(0))
}

// The estimate follows the service times of successful requests, ignores failures, and
// rises with the age of running requests.
func TestMeter(t *testing.T) {
	var m Meter
	must.Eq(t, 0, m.Mean(0))
	now := time.Duration(0)
	run := func(n int, service time.Duration, counts bool) {
		for range n {
			m.Start(now)
			now += service
			m.End(now, now-service, counts)
		}
	}
	run(50, serviceTime, true)
	must.Between(t, serviceTime-time.Millisecond, m.Mean(now), serviceTime+time.Millisecond)
	run(50, time.Microsecond, false) // failures do not change the estimate
	must.Between(t, serviceTime-time.Millisecond, m.Mean(now), serviceTime+time.Millisecond)
	for range 8 {
		m.Start(now)
	}
	must.Greater(t, 2*serviceTime, m.Mean(now+4*serviceTime)) // from the ages of running requests
}

// A request is admitted if the expected wait leaves enough time to serve it; a short burst
// may fill the queue further.
func TestAdmit(t *testing.T) {
	p := NewPicker(newFleet(11), DefaultOptions(), nil)
	q := &Query{Remaining: 10 * serviceTime, InFlight: 20, Queued: 20, BacklogDuration: time.Minute}
	must.True(t, p.Admit(q)) // waits one service time
	q.Queued = 120           // waits six service times; five are reserved for the service
	must.False(t, p.Admit(q))
	q.BacklogDuration = 0 // a burst may use more of the wait
	must.True(t, p.Admit(q))
	q.Queued = 200
	must.False(t, p.Admit(q))
}

// BenchmarkPick measures one pick with its release, alone and from many goroutines,
// in a small and in a large fleet.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{11, 900} {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			p := benchPicker(n)
			q := newQuery(time.Second, 1)
			b.ReportAllocs()
			for b.Loop() {
				q.Random = nextRandom(q.Random)
				p.Pick(q).Release(q.Now)
			}
		})
		b.Run(fmt.Sprintf("upstreams=%d/parallel", n), func(b *testing.B) {
			p := benchPicker(n)
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				q := newQuery(time.Second, uint64(time.Now().UnixNano()))
				for pb.Next() {
					q.Random = nextRandom(q.Random)
					p.Pick(q).Release(q.Now)
				}
			})
		})
	}
}

// benchPicker returns a picker over half-busy upstreams with estimates.
func benchPicker(n int) *Picker {
	s := newFleet(n)
	p := NewPicker(s, DefaultOptions(), nil)
	for i, u := range s.Upstreams {
		for range i % 5 {
			u.Acquire(time.Second-time.Millisecond, u.Slots)
		}
		p.Record(u, Sample{Now: time.Second, Service: serviceTime})
		p.RecordLoad(u, time.Second, int32(i%5+i%3))
	}
	return p
}

func TestPick_NoAllocation(t *testing.T) {
	for _, n := range []int{11, 900} {
		p := benchPicker(n)
		q := newQuery(time.Second, 1)
		must.Eq(t, 0, testing.AllocsPerRun(1000, func() {
			q.Random = nextRandom(q.Random)
			p.Pick(q).Release(q.Now)
		}))
	}
}
