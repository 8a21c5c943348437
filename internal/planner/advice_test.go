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

// A step starts only where the policy allows it, with that runner's ticket.
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
	must.Len(t, 0, f.plan().AdviceRequests, must.Sprint("one question at a time"))
	f.answer(q, "i-b")
	starts := f.plan().Starts
	must.Len(t, 2, starts)
	for _, s := range starts {
		test.Eq(t, "b", s.Agent)
		test.Eq(t, "ticket of i-b", s.Ticket)
	}
}

// A runner that may not run a step is not asked about again; a ticket that has expired,
// or that the runner refuses, is asked for again.
func TestPlanner_AdviceAgain(t *testing.T) {
	f := newFixture(t, 1)
	f.agent("a")
	f.agent("b")
	f.advisedJob(1, step(1))
	f.answer(f.plan().AdviceRequests[0], "i-b")
	starts := f.plan().Starts
	must.Len(t, 1, starts)
	f.StartRefused(f.now, "b", starts[0].Run, RefusedTicket)
	f.now += time.Second
	questions := f.plan().AdviceRequests
	must.Len(t, 1, questions)
	test.Eq(t, []string{"i-b"}, questions[0].Runners)
	f.answer(questions[0], "i-b")
	f.now += ticketTime
	orders := f.plan()
	must.Len(t, 0, orders.Starts, must.Sprint("expired"))
	must.Len(t, 1, orders.AdviceRequests)
}

// A question without an answer is asked again after a pause.
func TestPlanner_AdviceLost(t *testing.T) {
	f := newFixture(t, 1)
	f.agent("a")
	f.advisedJob(1, step(1))
	f.AdviceReceived(f.now, f.now, f.plan().AdviceRequests[0], nil, 0)
	must.Len(t, 0, f.plan().AdviceRequests)
	f.now += adviceRetry
	must.Len(t, 1, f.plan().AdviceRequests)
}

// The service answers one question after another. While many steps need one, few are
// under way, those of the most urgent steps.
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
	questions := f.plan().AdviceRequests
	must.Len(t, maxQuestions, questions)
	test.Eq(t, urgent.ID, questions[0].Task.Job)
	f.answer(questions[0], "i-a")
	must.Len(t, 1, f.plan().AdviceRequests)
}

// A question names the cheapest runners only, then the next ones.
func TestPattern_PolicyDeniesMostRunners(t *testing.T) {
	f := newFixture(t, 1)
	for n := range maxAsked + 5 {
		f.agent(fmt.Sprint("m", n))
	}
	f.advisedJob(1, step(1))
	q := f.plan().AdviceRequests[0]
	must.Len(t, maxAsked, q.Runners)
	f.answer(q)
	q = f.plan().AdviceRequests[0]
	must.Len(t, 5, q.Runners)
	f.answer(q, q.Runners[0])
	must.Len(t, 1, f.plan().Starts)
}
