package planner

import (
	"fmt"
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
	f.AdviceReceived(f.now, f.now, q, tickets, ticketTime)
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
	test.Eq(t, 22*time.Millisecond, f.AdviceDuration(q))
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
	f.AdviceReceived(f.now, f.now, f.plan().AdviceRequests[0], nil, 0)
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
	must.Len(t, maxPendingAdvice, requests)
	test.Eq(t, urgent.ID, requests[0].Task.Job)
	f.answer(requests[0], "i-a")
	must.Len(t, 1, f.plan().AdviceRequests)
}

// A request is limited to the runners with the lowest cost. If the service denies them all,
// the next request names the following ones.
func TestPattern_AdviceServiceDeniesMostRunners(t *testing.T) {
	f := newFixture(t, 1)
	for n := range maxRunnersPerRequest + 5 {
		f.agent(fmt.Sprint("m", n))
	}
	f.advisedJob(1, step(1))
	q := f.plan().AdviceRequests[0]
	must.Len(t, maxRunnersPerRequest, q.Runners)
	f.answer(q)
	q = f.plan().AdviceRequests[0]
	must.Len(t, 5, q.Runners)
	f.answer(q, q.Runners[0])
	must.Len(t, 1, f.plan().Starts)
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
		sentAt := f.now
		f.now += c.took
		f.AdviceReceived(f.now, sentAt, q, map[string]string{"i-a": "ticket"}, c.validity)
		test.Len(t, 1, f.plan().Starts, test.Sprint(c.took, c.validity))
	}
}
