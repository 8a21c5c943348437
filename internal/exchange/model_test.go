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

// plan is one request of a generated history.
type plan struct {
	idempotent bool
	start      time.Duration
	wait       time.Duration
	service    time.Duration
	// fates strikes at the first message of each step, try by try.
	fates [maxTries]map[step]wire.MessageFault
	// replay repeats what the first try sent, on another stream after this time;
	// 0 means never.
	replay time.Duration
}

// maxTries is how often a request that did not run is tried again on the same
// agent.
const maxTries = 3

// result is what was said of one request.
type result struct {
	answer structs.Answer
	err    error
}

func drawPlan(t *rapid.T) plan {
	ms := func(label string, most int) time.Duration {
		return time.Duration(rapid.IntRange(0, most).Draw(t, label)) * time.Millisecond
	}
	p := plan{
		idempotent: rapid.Bool().Draw(t, "idempotent"), start: ms("start", 100),
		wait: 20*time.Millisecond + ms("wait", 280), service: ms("service", 250),
	}
	if rapid.IntRange(0, 3).Draw(t, "replayed") == 0 {
		p.replay = time.Millisecond + ms("replay", 400)
	}
	for try := range p.fates {
		p.fates[try] = map[step]wire.MessageFault{}
		for _, s := range []step{stepOffer, stepAccept, stepCommit, stepAnswer} {
			if rapid.IntRange(0, 2).Draw(t, "faulty") == 0 {
				p.fates[try][s] = drawFate(t)
			}
		}
	}
	return p
}

func drawFate(t *rapid.T) wire.MessageFault {
	return wire.MessageFault{
		Drop:         rapid.IntRange(0, 3).Draw(t, "drop") == 0,
		Duplicate:    rapid.IntRange(0, 3).Draw(t, "duplicate") == 0,
		Reorder:      rapid.IntRange(0, 3).Draw(t, "reorder") == 0,
		CutAfter:     rapid.IntRange(0, 7).Draw(t, "cut") == 0,
		SilenceAfter: rapid.IntRange(0, 7).Draw(t, "silence") == 0,
		Delay:        time.Duration(rapid.IntRange(0, 200).Draw(t, "delay")) * time.Millisecond,
	}
}

// history runs the plans at once on one agent with few slots, over sessions that
// are replaced when they fail.
type history struct {
	plans []plan

	mu      sync.Mutex
	rig     *rig
	counts  map[string]map[step]int
	sent    map[string][]proto.Message // by the entry in its first try
	results []result
}

func (h *history) run(t *testing.T) {
	h.rig = newRig(t, 2)
	h.counts, h.sent = map[string]map[step]int{}, map[string][]proto.Message{}
	h.results = make([]result, len(h.plans))
	h.rig.runner.serve = func(ctx context.Context, req structs.Request) (structs.Answer, error) {
		return echo(ctx, req, h.plans[indexOf(req.ID)].service)
	}
	h.rig.faults.SetHook(h.fate)
	var wg sync.WaitGroup
	for i := range h.plans {
		wg.Go(func() { h.request(i) })
		wg.Go(func() { h.replay(i) })
	}
	wg.Wait()
	<-time.After(10 * time.Second) // virtual: whatever is under way arrives
}

func idOf(i int) string { return fmt.Sprintf("r%d", i) }

func indexOf(id string) int {
	i := 0
	_, _ = fmt.Sscanf(id, "r%d", &i)
	return i
}

// fate strikes at each step's nth message with the nth try's fate.
func (h *history) fate(from wire.Side, m proto.Message) wire.MessageFault {
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
	return h.plans[indexOf(id)].fates[try][s]
}

// session returns a session that is open, dialing afresh after a cut or silence.
func (h *history) session(fresh bool) wire.Session {
	h.mu.Lock()
	defer h.mu.Unlock()
	select {
	case <-h.rig.entry.Done():
		fresh = true
	default:
	}
	if fresh {
		faults := &wire.Faults{}
		faults.SetHook(h.fate)
		old := h.rig.faults
		h.rig.faults, h.rig.entry = faults, h.rig.dial(faults)
		time.AfterFunc(time.Second, old.Cut)
	}
	return h.rig.entry
}

// request tries one request as an entry does: again only while it did not run,
// or if it is idempotent.
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

// replay sends the messages of the request's first try once more on a stream of
// their own, as a duplicating network would.
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

// violation names the first broken promise, or is "".
func (h *history) violation() string {
	for i, p := range h.plans {
		runs, r := h.rig.runner.ran(idOf(i)), h.results[i]
		switch {
		case !p.idempotent && runs > 1: // with several tries and a replay
			return fmt.Sprintf("request %d ran %d times", i, runs)
		case r.err == nil && runs == 0:
			return fmt.Sprintf("request %d was answered without a run", i)
		case r.err == nil && string(r.answer.Body) != "body of "+idOf(i):
			return fmt.Sprintf("request %d got %q", i, r.answer.Body)
		case r.err != nil && runs > 0 && verdict.OutcomeOf(r.err, ok) == verdict.NotRun:
			return fmt.Sprintf("request %d ran %d times after %v", i, runs, r.err)
		}
	}
	if h.rig.runner.most > 2 {
		return fmt.Sprintf("%d requests at once on 2 slots", h.rig.runner.most)
	}
	if n := h.rig.server.InFlight(); n != 0 {
		return fmt.Sprintf("%d slots never freed", n)
	}
	return ""
}

// Whatever is lost, delayed, duplicated, overtaken, cut or silent: no run after
// NotRun, no second run, no crossed answer, no slot too many.
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
