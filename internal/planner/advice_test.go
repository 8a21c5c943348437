package planner

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"bamboowood/internal/job"
)

const ticketTime = 3 * time.Second

func (f *fixture) advisedJob(n int, steps ...job.Step) *job.Job {
	j := testJob(n, steps...)
	j.Queue.Advice = &job.Advice{Decide: 20 * time.Millisecond, Each: time.Millisecond, Valid: ticketTime}
	f.add(j, nil, false)
	return j
}

func (f *fixture) answer(q AdviceRequest, runners ...string) {
	tickets := map[string]string{}
	for _, id := range runners {
		tickets[id] = "ticket of " + id
	}
	f.AdviceReceived(f.now, f.now, q, job.AdviceAnswer{Tickets: tickets, Validity: ticketTime})
}

// answerAfter allows the named runners with tickets of a validity, some time after the request, and plans.
func (f *fixture) answerAfter(q AdviceRequest, took, validity time.Duration, runners ...string) Orders {
	tickets := map[string]string{}
	for _, id := range runners {
		tickets[id] = "ticket"
	}
	sentAt := f.now
	f.now += took
	f.AdviceReceived(f.now, sentAt, q, job.AdviceAnswer{Tickets: tickets, Validity: validity})
	return f.plan()
}

// A step starts only on runners that the advice service allows, with the ticket of the runner.
func TestPlanner_Advice(t *testing.T) {
	f := newFixture(t, 1)
	f.agent("a")
	f.agent("b")
	f.advisedJob(1, step(2))
	orders := f.plan()
	must.Len(t, 0, orders.Starts)
	must.Len(t, 1, orders.AdviceRequests)
	q := orders.AdviceRequests[0]
	test.SliceContainsAll(t, q.Runners, []string{"i-a", "i-b"})
	test.Eq(t, 22*time.Millisecond, q.Expected)
	must.Len(t, 0, f.plan().AdviceRequests, must.Sprint("one pending request per step"))
	f.answer(q, "i-b")
	starts := f.plan().Starts
	must.Len(t, 2, starts)
	for _, s := range starts {
		test.Eq(t, "b", s.Agent)
		test.Eq(t, "ticket of i-b", s.Ticket)
	}
}

// A runner that was denied for a step is not requested again. A ticket that has expired or
// was refused by the runner is requested again.
func TestPlanner_AdviceRequestedAgain(t *testing.T) {
	f := newFixture(t, 1)
	f.agent("a")
	f.agent("b")
	f.advisedJob(1, step(1))
	f.answer(f.plan().AdviceRequests[0], "i-b")
	starts := f.plan().Starts
	must.Len(t, 1, starts)
	f.StartRefused(f.now, "b", starts[0].Run, RefusedTicket)
	f.now += time.Second
	requests := f.plan().AdviceRequests
	must.Len(t, 1, requests)
	test.Eq(t, []string{"i-b"}, requests[0].Runners)
	f.answer(requests[0], "i-b")
	f.now += ticketTime
	orders := f.plan()
	must.Len(t, 0, orders.Starts, must.Sprint("the ticket has expired"))
	must.Len(t, 1, orders.AdviceRequests)
}

// A request without an answer is repeated after a pause.
func TestPlanner_AdviceRequestUnanswered(t *testing.T) {
	f := newFixture(t, 1)
	f.agent("a")
	f.advisedJob(1, step(1))
	f.AdviceFailed(f.now, f.now, f.plan().AdviceRequests[0], false)
	must.Len(t, 0, f.plan().AdviceRequests)
	f.now += adviceRetryDelay
	must.Len(t, 1, f.plan().AdviceRequests)
}

// The advice service processes one request at a time, so an urgent step would wait behind
// the requests of all other steps. One request is pending at a time, that of the most
// urgent step.
func TestPattern_ManyStepsNeedAdvice(t *testing.T) {
	f := newFixture(t, 1)
	f.agent("a")
	for n := range 40 {
		f.advisedJob(n, step(1))
	}
	urgent := testJob(99, step(1))
	urgent.Queue.Advice = &job.Advice{Valid: ticketTime}
	urgent.Queue.Slack = -time.Second
	f.add(urgent, nil, false)
	requests := f.plan().AdviceRequests
	must.Len(t, 1, requests)
	test.Eq(t, urgent.ID, requests[0].Task.Job)
	f.answer(requests[0], "i-a")
	must.Len(t, 1, f.plan().AdviceRequests)
}

// If the service denies all runners of a request, the next one names others: each runner once, at most
// maxRunnersPerRequest at a time, more of them as denials make grants less likely.
func TestPattern_AdviceServiceDeniesMostRunners(t *testing.T) {
	f := newFixture(t, 1)
	for n := range maxRunnersPerRequest + 5 {
		f.agent(fmt.Sprint("m", n))
	}
	f.advisedJob(1, step(1))
	named := map[string]bool{}
	last := 0
	orders := f.plan()
	for len(named) < maxRunnersPerRequest+5 {
		must.Len(t, 0, orders.Starts)
		must.Len(t, 1, orders.AdviceRequests)
		q := orders.AdviceRequests[0]
		must.LessEq(t, maxRunnersPerRequest, len(q.Runners))
		for _, id := range q.Runners {
			must.False(t, named[id], must.Sprint("named twice"))
			named[id] = true
		}
		if len(named) == maxRunnersPerRequest+5 {
			f.answer(q, q.Runners[len(q.Runners)-1])
		} else {
			test.GreaterEq(t, last, len(q.Runners))
			last = len(q.Runners)
			f.answer(q)
		}
		orders = f.plan()
	}
	must.Len(t, 1, orders.Starts)
}

// A step that needs many runners names as many as a request may have.
func TestPlanner_AdviceForWideStep(t *testing.T) {
	f := newFixture(t, 1)
	for n := range maxRunnersPerRequest + 5 {
		f.agent(fmt.Sprint("m", n))
	}
	f.advisedJob(1, step(16*maxRunnersPerRequest))
	must.Len(t, maxRunnersPerRequest, f.plan().AdviceRequests[0].Runners)
}

// Guards against steps that never start because the answer took nearly as long as its tickets last, or longer, or
// because the tickets last no longer than the margin for the start's way.
func TestPattern_AdviceTakesAsLongAsTicketsLast(t *testing.T) {
	for _, c := range []struct{ took, validity time.Duration }{
		{1490 * time.Millisecond, 1500 * time.Millisecond},
		{2750 * time.Millisecond, ticketTime},
		{2 * ticketTime, ticketTime},
		{30 * time.Millisecond, 250 * time.Millisecond},
	} {
		f := newFixture(t, 1)
		f.agent("a")
		f.advisedJob(1, step(1))
		q := f.plan().AdviceRequests[0]
		test.Len(t, 1, f.answerAfter(q, c.took, c.validity, "i-a").Starts, test.Sprint(c.took, c.validity))
	}
}

// slowAdvice has answers on many runners that take longer than their tickets last.
var slowAdvice = job.Advice{Decide: 500 * time.Millisecond, Each: 90 * time.Millisecond, Valid: ticketTime}

// Guards against requests that name more runners than the step can use: with many runners the answer took so
// long that its tickets had expired, and the steps behind it waited longer than needed.
func TestPattern_AdviceOnManyRunners(t *testing.T) {
	f := newFixture(t, 1)
	for n := range 40 {
		f.agent(fmt.Sprint("m", n))
	}
	const jobs = 5
	for n := range jobs {
		j := testJob(n, step(4))
		j.Queue.Advice = &slowAdvice
		f.add(j, nil, false)
	}
	began := f.now
	starts := 0
	for orders := f.plan(); len(orders.AdviceRequests) > 0; {
		q := orders.AdviceRequests[0]
		test.LessEq(t, ticketTime/2, q.Expected)
		orders = f.answerAfter(q, q.Expected, ticketTime, q.Runners...)
		starts += len(orders.Starts)
	}
	// A starved job starts one task at first.
	starts += len(f.plan().Starts)
	test.Eq(t, 4*jobs, starts)
	test.Less(t, 5*time.Second, f.now-began, test.Sprint("5 answers on 30 runners each take 16 s"))
}

// Guards against gangs that never start: tickets of several answers had to be valid at once.
func TestPattern_GangNeedsAdviceOnManyRunners(t *testing.T) {
	f := newFixture(t, 1)
	for n := range 12 {
		f.agent(fmt.Sprint("m", n))
	}
	const validity = 1500 * time.Millisecond
	s := step(6)
	s.Gang, s.MaxPerRunner = true, 1
	j := testJob(1, s)
	j.Queue.Advice = &job.Advice{Decide: slowAdvice.Decide, Each: slowAdvice.Each, Valid: validity}
	f.add(j, nil, false)
	allowed := map[string]bool{}
	for n := range 8 {
		allowed[fmt.Sprint("i-m", n)] = true
	}
	starts := 0
	for range 4 {
		q := f.plan().AdviceRequests[0]
		granted := slices.DeleteFunc(slices.Clone(q.Runners), func(id string) bool { return !allowed[id] })
		if starts += len(f.answerAfter(q, q.Expected, validity, granted...).Starts); starts > 0 {
			break
		}
	}
	test.Eq(t, 6, starts)
}

// Guards against a service that is slower than its queue's figures say, all of whose answers come after the
// request was given up.
func TestPattern_AdviceTakesLongerThanFigures(t *testing.T) {
	f := newFixture(t, 1)
	f.agent("a")
	f.advisedJob(1, step(1))
	const takes = 20 * time.Second
	began := f.now
	q := f.plan().AdviceRequests[0]
	for q.Timeout < takes {
		must.Less(t, time.Minute, f.now-began)
		sentAt := f.now
		f.now += q.Timeout
		f.AdviceFailed(f.now, sentAt, q, true)
		f.now += maxAdviceRetryDelay
		q = f.plan().AdviceRequests[0]
	}
	test.Len(t, 1, f.answerAfter(q, takes, ticketTime, "i-a").Starts)
}

// A service that is fast again gets requests of the usual size and timeout again.
func TestAdviceTiming_Recovers(t *testing.T) {
	const figure = time.Second
	timing := &adviceTiming{}
	usual := timing.timeout(figure)
	timing.answered(figure, 10*figure)
	test.Greater(t, 10*figure, timing.timeout(figure))
	for range 10 {
		timing.answered(figure, figure)
	}
	test.Less(t, usual+100*time.Millisecond, timing.timeout(figure))
	for range 100 {
		timing.givenUp(figure, timing.timeout(figure))
	}
	test.LessEq(t, adviceFactor*maxAdviceDelay+adviceSlack, timing.timeout(figure))
}

// Guards against an urgent step whose tickets cannot be used, here a gang of which one member has no runner, and
// which kept the service from all other steps.
func TestPattern_UnusableAdviceOfUrgentStep(t *testing.T) {
	f := newFixture(t, 1)
	for _, id := range []string{"a", "b", "c"} {
		f.agent(id)
	}
	gang := step(3)
	gang.Gang, gang.MaxPerRunner = true, 1
	urgent := testJob(99, gang)
	urgent.Queue.Advice = &slowAdvice
	urgent.Queue.Slack = -time.Minute
	f.add(urgent, nil, false)
	const others = 5
	for n := range others {
		j := testJob(n, step(1))
		j.Queue.Advice = &slowAdvice
		f.add(j, nil, false)
	}
	began, started := f.now, 0
	for orders := f.plan(); started < others; orders = f.plan() {
		must.Less(t, 10*time.Second, f.now-began)
		f.now += 50 * time.Millisecond
		for _, q := range orders.AdviceRequests {
			sentAt := f.now
			f.now += q.Expected
			f.AdviceReceived(f.now, sentAt, q, job.AdviceAnswer{Tickets: map[string]string{"i-a": "ticket", "i-b": "ticket"}, Validity: ticketTime})
		}
		started += len(orders.Starts)
	}
}

// Guards against calls at the pace of the network to a service that refuses them all: each step had a pause of
// its own only.
func TestPattern_AdviceServiceRefusesAll(t *testing.T) {
	f := newFixture(t, 1)
	f.agent("a")
	for n := range 100 {
		f.advisedJob(n, step(1))
	}
	calls := 0
	for began := f.now; f.now-began < 10*time.Second; f.now += 10 * time.Millisecond {
		for _, q := range f.plan().AdviceRequests {
			calls++
			f.AdviceFailed(f.now, f.now, q, false)
		}
	}
	test.LessEq(t, 20, calls)
}

// Guards against late rejections of starts with an old ticket that drop the ticket which has come since.
func TestPlanner_OldTicketRejectedAfterNewOne(t *testing.T) {
	f := newFixture(t, 1)
	f.agent("a")
	f.advisedJob(1, step(3))
	f.answer(f.plan().AdviceRequests[0], "i-a")
	starts := f.plan().Starts
	must.Len(t, 3, starts)
	f.now += 10 * time.Millisecond
	f.StartRefused(f.now, "a", starts[0].Run, RefusedTicket)
	f.answer(f.plan().AdviceRequests[0], "i-a")
	f.StartRefused(f.now, "a", starts[1].Run, RefusedTicket)
	f.StartRefused(f.now, "a", starts[2].Run, RefusedTicket)
	orders := f.plan()
	test.Len(t, 3, orders.Starts)
	test.Len(t, 0, orders.AdviceRequests)
}

// Guards against tickets that expire while the step's task waits for its retry: the step asked at once, and
// again after each answer.
func TestPattern_AdviceDuringRetryDelay(t *testing.T) {
	f := newFixture(t, 1)
	f.agent("a")
	j := testJob(1, step(1))
	j.Queue.MaxAttempts = 9
	j.Queue.Advice = &job.Advice{Decide: 20 * time.Millisecond, Each: time.Millisecond, Valid: 100 * time.Millisecond}
	f.add(j, nil, false)
	requests, failures := 0, 0
	for began := f.now; failures < 6; f.now += 10 * time.Millisecond {
		must.Less(t, 10*time.Second, f.now-began)
		orders := f.plan()
		for _, q := range orders.AdviceRequests {
			requests++
			sentAt := f.now
			f.now += q.Expected
			f.AdviceReceived(f.now, sentAt, q, job.AdviceAnswer{Tickets: map[string]string{"i-a": "ticket"}, Validity: 100 * time.Millisecond})
		}
		for _, s := range orders.Starts {
			failures++
			f.end(s.Agent, s.Run, job.EndFailed)
		}
	}
	test.LessEq(t, failures, requests, test.Sprint("one answer for each start"))
}

// Guards against steps that never start because some entries of an answer cannot be read: the runners without a
// ticket counted as denied.
func TestPattern_IncompleteAdvice(t *testing.T) {
	f := newFixture(t, 1)
	f.agent("a")
	f.advisedJob(1, step(1))
	for range 3 {
		f.AdviceReceived(f.now, f.now, f.plan().AdviceRequests[0], job.AdviceAnswer{Tickets: map[string]string{"i-b": "ticket"}, Incomplete: true})
		f.now += maxAdviceRetryDelay
	}
	f.answer(f.plan().AdviceRequests[0], "i-a")
	test.Len(t, 1, f.plan().Starts)
}

// Guards against steps that never start because the answer does not say how long its tickets are valid.
func TestPattern_AdviceWithoutValidity(t *testing.T) {
	for _, inQueue := range []time.Duration{0, ticketTime} {
		f := newFixture(t, 1)
		f.agent("a")
		j := testJob(1, step(1))
		j.Queue.Advice = &job.Advice{Valid: inQueue}
		f.add(j, nil, false)
		q := f.plan().AdviceRequests[0]
		test.Len(t, 1, f.answerAfter(q, 10*time.Millisecond, 0, "i-a").Starts, test.Sprint(inQueue))
	}
}

// With several callers, as many requests are pending, each for another step.
func TestPlanner_AdviceCallers(t *testing.T) {
	f := newFixture(t, 1)
	f.agent("a")
	for n := range 5 {
		f.advisedJob(n, step(1))
	}
	f.SetAdviceCallers(3)
	requests := f.plan().AdviceRequests
	must.Len(t, 3, requests)
	named := map[string]bool{}
	for _, q := range requests {
		named[q.Task.Job] = true
	}
	test.MapLen(t, 3, named)
	must.Len(t, 0, f.plan().AdviceRequests)
	f.answer(requests[0], "i-a")
	test.Len(t, 1, f.plan().AdviceRequests)
	f.SetAdviceCallers(1)
	f.answer(requests[1], "i-a")
	test.Len(t, 0, f.plan().AdviceRequests, test.Sprint("two are still pending"))
}

// Guards against a step that waits beside free runners because those which it may use are full when the answer
// comes: it asks for others at once, and starts where there is room first.
func TestPattern_GrantedRunnersFull(t *testing.T) {
	f := newFixture(t, 1)
	for _, id := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
		f.agent(id)
	}
	j := testJob(1, step(1))
	j.Queue.Advice = &slowAdvice
	f.add(j, nil, false)
	q := f.plan().AdviceRequests[0]
	full := map[string]bool{}
	for _, id := range q.Runners {
		full[id] = true
		f.agents[strings.TrimPrefix(id, "i-")].requested.CPU = 16_000
	}
	must.Less(t, 8, len(full))
	orders := f.answerAfter(q, q.Expected, ticketTime, q.Runners...)
	test.Len(t, 0, orders.Starts)
	must.Len(t, 1, orders.AdviceRequests)
	test.Eq(t, AdviceNoRoom, orders.AdviceRequests[0].Reason)
	for _, id := range orders.AdviceRequests[0].Runners {
		test.False(t, full[id])
	}
	f.agents[strings.TrimPrefix(q.Runners[0], "i-")].requested.CPU = 0
	f.now += 10 * time.Millisecond
	test.Len(t, 1, f.plan().Starts)
}
