package dispatch

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"bamboowood/internal/structs"
	"bamboowood/internal/verdict"
)

// Faults start once the entry has estimates of its agents.
const (
	faultStart        = time.Second
	faultRequestCount = 600
	faultInterval     = 5 * time.Millisecond
)

// faultCase is a fault of agent 0 and, if second is set, of agent 1, of four agents.
type faultCase struct {
	name       string
	first      fault
	second     fault
	slowdown   float64
	idempotent bool
	// maxFailed bounds the number of requests that are not answered with status 200
	// within their deadline. maxOffers, if set, bounds the number of offers to the
	// faulty agents after faultStart.
	maxFailed int
	maxOffers int64
	// disable turns off the mechanism that handles the fault. A bound must then be
	// exceeded.
	disable func(o *Options)
}

func noEjection(o *Options) { o.Routing.Ejection.MinFailures = 1 << 30 }

func noRetry(o *Options) { o.RetryShare = 0 }

func noPauseOrEjection(o *Options) {
	noEjection(o)
	o.LeavePause = 0
}

func noDetection(o *Options) {
	o.Routing.SuspectReplies = 1e12
	o.SilencePause, o.SilencePauseMax = 0, 0
	noSlowDetection(o)
	noEjection(o)
}

func noSlowDetection(o *Options) {
	o.Routing.SlowRatio, o.Routing.DoubtRatio = 1e9, 1e9
	noRetry(o)
}

var faultCases = []faultCase{
	{name: "fails fast", first: failFast, idempotent: true, maxFailed: 0, disable: noRetry},
	{name: "fails fast, not idempotent", first: failFast, maxFailed: 8, disable: noEjection},
	{name: "slow", slowdown: 12, idempotent: true, maxFailed: 2, disable: noDetection},
	{name: "truncates", first: truncated, idempotent: true, maxFailed: 0, disable: noRetry},
	{name: "truncates, not idempotent", first: truncated, maxFailed: 8, disable: noEjection},
	{name: "answer to another request", first: wrongAnswer, idempotent: true, maxFailed: 0, disable: noRetry},
	{name: "answer to another request, not idempotent", first: wrongAnswer, maxFailed: 8, disable: noEjection},
	{name: "silent", first: silent, idempotent: true, maxFailed: 2, disable: noDetection},
	{name: "silent, not idempotent", first: silent, maxFailed: 2, maxOffers: 20, disable: noDetection},
	{name: "leaving", first: refusing, maxFailed: 0, maxOffers: 20, disable: noPauseOrEjection},
	{name: "unreachable", first: down, maxFailed: 0, maxOffers: 20, disable: noEjection},
	{name: "silent and fails fast", first: silent, second: failFast, idempotent: true, maxFailed: 4, disable: noDetection},
	{name: "leaving and truncates", first: refusing, second: truncated, idempotent: true, maxFailed: 0, disable: noRetry},
}

// Each case is within its bounds, and exceeds one with the mechanism that handles
// the fault disabled.
func TestFaults(t *testing.T) {
	for _, c := range faultCases {
		t.Run(c.name, func(t *testing.T) {
			failed, offers := runFaultCase(t, c, nil)
			must.LessEq(t, c.maxFailed, failed)
			if c.maxOffers > 0 {
				must.LessEq(t, c.maxOffers, offers)
			}
			failedWithout, offersWithout := runFaultCase(t, c, c.disable)
			t.Logf("failed %d, offers %d; with the mechanism disabled: failed %d, offers %d", failed, offers, failedWithout, offersWithout)
			missed := failedWithout > c.maxFailed || c.maxOffers > 0 && offersWithout > c.maxOffers
			must.True(t, missed, must.Sprint("within the bounds with the mechanism disabled"))
		})
	}
}

func runFaultCase(t *testing.T, c faultCase, change func(o *Options)) (failed int, offers int64) {
	opts := DefaultOptions()
	if change != nil {
		change(&opts)
	}
	synctest.Test(t, func(t *testing.T) {
		agents := []*fakeAgent{newAgent(), newAgent(), newAgent(), newAgent()}
		for i, kind := range []fault{c.first, c.second} {
			agents[i].fault = faultAfter(faultStart, kind)
		}
		if c.slowdown > 0 {
			agents[0].slowdown = func(at time.Duration) float64 {
				if at < faultStart {
					return 1
				}
				return c.slowdown
			}
		}
		d, _ := newTestDispatcher(opts, agents...)
		results := make(chan bool, faultRequestCount)
		faulty := agents[:1]
		if c.second != none {
			faulty = agents[:2]
		}
		for i := range faultRequestCount {
			if time.Duration(i)*faultInterval == faultStart {
				for _, a := range faulty {
					offers -= a.offers.Load()
				}
			}
			go func() { results <- !answeredInTime(d, fmt.Sprint(i), c.idempotent) }()
			time.Sleep(faultInterval)
		}
		for range faultRequestCount {
			if <-results {
				failed++
			}
		}
		for _, a := range faulty {
			offers += a.offers.Load()
		}
		must.NoError(t, d.Drain(context.Background()))
		must.Eq(t, 0, (*d.services.Load())["check"].inFlight.Load())
		time.Sleep(time.Minute)
	})
	return failed, offers
}

// answeredInTime sends one request and reports whether it was answered with status
// 200 within its deadline.
func answeredInTime(d *Dispatcher, id string, idempotent bool) bool {
	answer, err := d.Do(context.Background(), request(id, 20*time.Millisecond, 200*time.Millisecond, idempotent))
	return err == nil && answer.RequestID == id && answer.Status == 200
}

func faultAfter(start time.Duration, kind fault) func(time.Duration) fault {
	return func(at time.Duration) fault {
		if at < start {
			return none
		}
		return kind
	}
}

// scriptedFault is a fault that applies for an interval of a random script.
type scriptedFault struct {
	agent             int
	from, to          time.Duration
	kind              fault
	slowdown          float64
	tableDown         bool
	tableLosesAnswers bool
}

// scriptedRequest is a request of a random script.
type scriptedRequest struct {
	at         time.Duration
	entry      int
	key        string
	idempotent bool
	service    time.Duration
}

const scriptDuration = 2 * time.Second

func drawFault(t *rapid.T) scriptedFault {
	from := time.Duration(rapid.IntRange(0, int(scriptDuration/time.Millisecond)).Draw(t, "from")) * time.Millisecond
	return scriptedFault{
		agent: rapid.IntRange(0, 2).Draw(t, "agent"), from: from,
		to:       from + time.Duration(rapid.IntRange(1, 1000).Draw(t, "length"))*time.Millisecond,
		kind:     fault(rapid.IntRange(int(none), int(down)).Draw(t, "kind")),
		slowdown: rapid.Float64Range(1, 20).Draw(t, "slowdown"),
		// The faults of the table apply in the same interval.
		tableDown: rapid.Bool().Draw(t, "down"), tableLosesAnswers: rapid.Bool().Draw(t, "loses"),
	}
}

func drawRequest(t *rapid.T) scriptedRequest {
	return scriptedRequest{
		at:         time.Duration(rapid.IntRange(0, int(scriptDuration/time.Millisecond)).Draw(t, "at")) * time.Millisecond,
		entry:      rapid.IntRange(0, 1).Draw(t, "entry"),
		key:        rapid.SampledFrom([]string{"", "", "k1", "k2", "k3"}).Draw(t, "key"),
		idempotent: rapid.IntRange(0, 3).Draw(t, "idempotent") == 0,
		service:    time.Duration(rapid.IntRange(1, 150).Draw(t, "service")) * time.Millisecond,
	}
}

// Under random faults of the agents and of the table, with keyed requests repeated
// at two entries: a request that ends as NotRun has not run, a request that is not
// idempotent runs at most once, so does each key, and every answer belongs to its
// request.
func TestProperty_AtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		faults := rapid.SliceOfN(rapid.Custom(drawFault), 0, 6).Draw(rt, "faults")
		requests := rapid.SliceOfN(rapid.Custom(drawRequest), 1, 40).Draw(rt, "requests")
		violations := runScript(t, faults, requests)
		if len(violations) > 0 {
			rt.Fatalf("%v", violations)
		}
	})
}

func runScript(t *testing.T, faults []scriptedFault, requests []scriptedRequest) (violations []string) {
	synctest.Test(t, func(*testing.T) {
		start := time.Now()
		runs := newRunCounter()
		active := func(match func(f scriptedFault) bool) *scriptedFault {
			at := time.Since(start)
			for i, f := range faults {
				if f.from <= at && at < f.to && match(f) {
					return &faults[i]
				}
			}
			return nil
		}
		var agents []*fakeAgent
		for i := range 3 {
			a := newAgent()
			a.slots, a.runCounter = 2, runs
			a.fault = func(time.Duration) fault {
				if f := active(func(f scriptedFault) bool { return f.agent == i }); f != nil {
					return f.kind
				}
				return none
			}
			a.slowdown = func(time.Duration) float64 {
				if f := active(func(f scriptedFault) bool { return f.agent == i }); f != nil {
					return f.slowdown
				}
				return 1
			}
			agents = append(agents, a)
		}
		table := newFakeTable()
		table.delay = time.Millisecond
		table.down = func() bool { return active(func(f scriptedFault) bool { return f.tableDown }) != nil }
		table.loseAnswer = func() bool { return active(func(f scriptedFault) bool { return f.tableLosesAnswers }) != nil }
		var entries []*Dispatcher
		for range 2 {
			d, _ := newTestDispatcher(DefaultOptions(), agents...)
			d.claims.table = table
			entries = append(entries, d)
		}
		ends := make([]chan string, len(requests))
		for i, r := range requests {
			ends[i] = make(chan string, 1)
			go func() {
				time.Sleep(r.at)
				ends[i] <- sendScripted(entries[r.entry], fmt.Sprint(i), r)
			}()
		}
		for _, end := range ends {
			if v := <-end; v != "" {
				violations = append(violations, v)
			}
		}
		for _, d := range entries {
			_ = d.Drain(context.Background())
		}
		time.Sleep(time.Minute)
		violations = append(violations, checkRuns(runs, requests)...)
	})
	return violations
}

// sendScripted sends one request and returns a description of the violation, if any.
func sendScripted(d *Dispatcher, id string, r scriptedRequest) string {
	agents := d.ex.(*fakeExchange).agents
	answer, err := d.Do(context.Background(), structs.Request{
		ID: id, Service: "check", Key: r.key, Idempotent: r.idempotent,
		Body: encodeServiceTime(r.service / time.Duration(1+len(r.key))), Deadline: time.Now().Add(200 * time.Millisecond),
	})
	switch ran := agents[vmName(0)].runCounter.count(id); {
	case err == nil && answer.RequestID != id:
		return fmt.Sprintf("request %s got the answer to %s", id, answer.RequestID)
	case err != nil && verdict.OutcomeOf(err, verdict.Ran) == verdict.NotRun && ran > 0:
		return fmt.Sprintf("request %s ran %d times and was refused: %v", id, ran, err)
	}
	return ""
}

// checkRuns returns a description of each request and key that ran more than once.
func checkRuns(runs *runCounter, requests []scriptedRequest) (violations []string) {
	byKey := map[string]int{}
	for i, r := range requests {
		n := runs.count(fmt.Sprint(i))
		if !r.idempotent && n > 1 {
			violations = append(violations, fmt.Sprintf("request %d ran %d times", i, n))
		}
		if !r.idempotent && r.key != "" {
			byKey[r.key] += n
		}
	}
	for key, n := range byKey {
		if n > 1 {
			violations = append(violations, fmt.Sprintf("key %s ran %d times", key, n))
		}
	}
	return violations
}
