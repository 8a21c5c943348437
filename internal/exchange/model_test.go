package exchange_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"bamboowood/internal/structs"
	"bamboowood/internal/verdict"
	"bamboowood/internal/wire"
	"bamboowood/internal/wire/wirepb"
)

// requestPlan is one request of a generated history.
type requestPlan struct {
	idempotent bool
	start      time.Duration
	wait       time.Duration
	service    time.Duration
	// faults are applied to the first message of each step, one map for each try.
	faults [maxTries]map[step]wire.MessageFault
	// replay is the time after the start at which the first try's messages are sent again
	// on another stream; 0 means never.
	replay time.Duration
}

// maxTries is the number of tries of a request on the same agent.
const maxTries = 3

// result is what the entry returned for one request.
type result struct {
	answer structs.Answer
	err    error
}

func drawPlan(t *rapid.T) requestPlan {
	ms := func(label string, limit int) time.Duration {
		return time.Duration(rapid.IntRange(0, limit).Draw(t, label)) * time.Millisecond
	}
	p := requestPlan{
		idempotent: rapid.Bool().Draw(t, "idempotent"), start: ms("start", 100),
		wait: 20*time.Millisecond + ms("wait", 280), service: ms("service", 250),
	}
	if rapid.IntRange(0, 3).Draw(t, "replayed") == 0 {
		p.replay = time.Millisecond + ms("replay", 400)
	}
	for try := range p.faults {
		p.faults[try] = map[step]wire.MessageFault{}
		for _, s := range []step{stepOffer, stepAccept, stepCommit, stepAnswer} {
			if rapid.IntRange(0, 2).Draw(t, "faulty") == 0 {
				p.faults[try][s] = drawMessageFault(t)
			}
		}
	}
	return p
}

func drawMessageFault(t *rapid.T) wire.MessageFault {
	return wire.MessageFault{
		Drop:         rapid.IntRange(0, 3).Draw(t, "drop") == 0,
		Duplicate:    rapid.IntRange(0, 3).Draw(t, "duplicate") == 0,
		Reorder:      rapid.IntRange(0, 3).Draw(t, "reorder") == 0,
		CutAfter:     rapid.IntRange(0, 7).Draw(t, "cut") == 0,
		SilenceAfter: rapid.IntRange(0, 7).Draw(t, "silence") == 0,
		Delay:        time.Duration(rapid.IntRange(0, 200).Draw(t, "delay")) * time.Millisecond,
	}
}

// history runs the plans concurrently on one agent with few slots. Sessions are
// replaced when they fail.
type history struct {
	plans []requestPlan

	mu      sync.Mutex
	harness *harness
	counts  map[string]map[step]int
	sent    map[string][]proto.Message // by the entry in the first try
	results []result
}

func (h *history) run(t *testing.T) {
	h.harness = newHarness(t, 2)
	h.counts, h.sent = map[string]map[step]int{}, map[string][]proto.Message{}
	h.results = make([]result, len(h.plans))
	h.harness.upstream.serve = func(ctx context.Context, req structs.Request) (structs.Answer, error) {
		return echo(ctx, req, h.plans[indexOf(req.ID)].service)
	}
	h.harness.faults.SetHook(h.messageFault)
	var wg sync.WaitGroup
	for i := range h.plans {
		wg.Go(func() { h.request(i) })
		wg.Go(func() { h.replay(i) })
	}
	wg.Wait()
	<-time.After(10 * time.Second) // virtual time: messages in transit arrive
}

func idOf(i int) string { return fmt.Sprintf("r%d", i) }

func indexOf(id string) int {
	i := 0
	_, _ = fmt.Sscanf(id, "r%d", &i)
	return i
}

// messageFault applies the nth try's faults to the nth message of each step.
func (h *history) messageFault(from wire.Side, m proto.Message) wire.MessageFault {
	s, id := stepOf(m)
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.counts[id] == nil {
		h.counts[id] = map[step]int{}
	}
	try := h.counts[id][s]
	h.counts[id][s]++
	if from == wire.EntrySide && try == 0 {
		h.sent[id] = append(h.sent[id], proto.Clone(m))
	}
	if id == "" || try >= maxTries {
		return wire.MessageFault{}
	}
	return h.plans[indexOf(id)].faults[try][s]
}

// session returns an open session. It dials a new one if redial is set or the last ended.
func (h *history) session(redial bool) wire.Session {
	h.mu.Lock()
	defer h.mu.Unlock()
	select {
	case <-h.harness.entry.Done():
		redial = true
	default:
	}
	if redial {
		faults := &wire.Faults{}
		faults.SetHook(h.messageFault)
		old := h.harness.faults
		h.harness.faults, h.harness.entry = faults, h.harness.dial(faults)
		time.AfterFunc(time.Second, old.Cut)
	}
	return h.harness.entry
}

// request tries one request as an entry does: a request is tried again only if it did
// not run or is idempotent.
func (h *history) request(i int) {
	p := h.plans[i]
	<-time.After(p.start)
	req := request(idOf(i), p.idempotent)
	req.Deadline = time.Now().Add(p.wait)
	silent := false
	for range maxTries {
		answer, _, err := doOn(h.session(silent), req)
		h.mu.Lock()
		outcome := verdict.NotRun
		if prior := h.results[i].err; prior != nil {
			outcome = verdict.OutcomeOf(prior, verdict.MayHaveRun)
		}
		if err != nil {
			err = verdict.Wrap(err, outcome, verdict.ReasonOf(err))
		}
		h.results[i] = result{answer: answer, err: err}
		h.mu.Unlock()
		if err == nil || !p.idempotent && verdict.OutcomeOf(err, verdict.MayHaveRun) != verdict.NotRun {
			return
		}
		silent = verdict.ReasonOf(err) == verdict.SessionSilent
	}
}

// replay sends the messages of the request's first try again on a stream of their own,
// as a network that duplicates messages does.
func (h *history) replay(i int) {
	p := h.plans[i]
	if p.replay == 0 {
		return
	}
	<-time.After(p.start + p.replay)
	stream, err := h.session(false).Open(context.Background())
	if err != nil {
		return
	}
	defer stream.Close()
	_ = stream.SetDeadline(time.Now().Add(time.Second))
	h.mu.Lock()
	messages := slices.Clone(h.sent[idOf(i)])
	h.mu.Unlock()
	for _, m := range messages {
		_ = stream.Send(m)
	}
	_ = stream.Recv(&wirepb.Reply{})
	_ = stream.Recv(&wirepb.Reply{})
}

// violation describes the first violated guarantee, or is "".
func (h *history) violation() string {
	for i, p := range h.plans {
		runs, r := h.harness.upstream.runCount(idOf(i)), h.results[i]
		switch {
		case !p.idempotent && runs > 1: // over all tries and the replay
			return fmt.Sprintf("request %d ran %d times", i, runs)
		case r.err == nil && runs == 0:
			return fmt.Sprintf("request %d was answered but did not run", i)
		case r.err == nil && string(r.answer.Body) != "body of "+idOf(i):
			return fmt.Sprintf("request %d received body %q", i, r.answer.Body)
		case r.err != nil && runs > 0 && verdict.OutcomeOf(r.err, ok) == verdict.NotRun:
			return fmt.Sprintf("request %d ran %d times after %v", i, runs, r.err)
		}
	}
	if h.harness.upstream.maxRunning > 2 {
		return fmt.Sprintf("%d concurrent requests on 2 slots", h.harness.upstream.maxRunning)
	}
	if n := h.harness.server.InFlight(); n != 0 {
		return fmt.Sprintf("%d slots still in use", n)
	}
	return ""
}

// With messages lost, delayed, duplicated and reordered, and sessions cut or silent, no
// request runs after NotRun, no non-idempotent request runs twice, no request gets
// another's answer, and no more requests run than there are slots.
func TestExchange_Model(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := &history{}
		for range rapid.IntRange(1, 5).Draw(rt, "requests") {
			h.plans = append(h.plans, drawPlan(rt))
		}
		synctest.Test(t, h.run)
		if v := h.violation(); v != "" {
			rt.Fatal(v)
		}
	})
}
