package planner

import (
	"cmp"
	"slices"
	"time"

	"bamboowood/internal/job"
)

const (
	// maxAsked is the number of runners that one question names. The users' objectives
	// allow for one question on 30 runners a step.
	maxAsked = 30
	// maxQuestions bounds the questions without an answer: the service takes one after
	// another, and the most urgent step must not wait for all others.
	maxQuestions = 4
	// ticketMargin is left of a ticket's time for the start to reach its runner.
	ticketMargin = 300 * time.Millisecond
	// adviceRetry is the pause after a question without an answer.
	adviceRetry = 200 * time.Millisecond
)

// AdviceRequest asks which of the runners may run the task's step.
type AdviceRequest struct {
	Task    job.Task
	Runners []string
}

// advice is what is known of the runners that may run one step. The policy does not
// change during a step, so a runner that got no ticket is not asked about again.
type advice struct {
	asking  bool
	retryAt time.Duration
	tickets map[string]ticket
	// denied has the lives of runners that may not run the step.
	denied map[string]bool
}

type ticket struct {
	text  string
	until time.Duration
}

func newAdvice() *advice {
	return &advice{tickets: map[string]ticket{}, denied: map[string]bool{}}
}

func (v *advice) valid(now time.Duration, runnerID string) bool {
	return now < v.tickets[runnerID].until
}

// consult asks about runners for a step unless it has enough that may run it: those
// that are eligible and cost least first.
func (p *Planner) consult(now time.Duration, s *stepState, eject bool) {
	v := s.advice
	if v.asking || p.asking >= maxQuestions || now < v.retryAt {
		return
	}
	type option struct {
		id   string
		cost float64
	}
	var options []option
	for _, a := range p.order {
		if !p.eligible(now, a, s, choice{eject: eject}) || v.denied[a.runner.ID] {
			continue
		}
		if v.valid(now, a.runner.ID) {
			return
		}
		options = append(options, option{a.runner.ID, p.cost(now, a, s, &s.tasks[0], "")})
	}
	if len(options) == 0 {
		return
	}
	slices.SortStableFunc(options, func(a, b option) int { return cmp.Compare(a.cost, b.cost) })
	q := AdviceRequest{Task: job.Task{Job: s.job.job.ID, Occurrence: s.occ.k, Step: s.index}}
	for _, o := range options[:min(len(options), maxAsked)] {
		q.Runners = append(q.Runners, o.id)
	}
	v.asking = true
	p.asking++
	p.questions = append(p.questions, q)
}

// AdviceDuration is how long the service takes for a question.
func (p *Planner) AdviceDuration(q AdviceRequest) time.Duration {
	js := p.jobs[q.Task.Job]
	if js == nil || js.job.Queue.Advice == nil {
		return 0
	}
	a := js.job.Queue.Advice
	return a.Decide + time.Duration(len(q.Runners))*a.Each
}

// AdviceReceived takes the answer to a question that was sent at the time asked: the tickets of
// those runners that may run the step. A nil map means that there was no answer.
func (p *Planner) AdviceReceived(now, asked time.Duration, q AdviceRequest, tickets map[string]string, valid time.Duration) {
	p.asking--
	s, _ := p.find(q.Task)
	if s == nil || s.advice == nil {
		return
	}
	v := s.advice
	v.asking = false
	if tickets == nil {
		v.retryAt = now + adviceRetry
		return
	}
	for _, id := range q.Runners {
		if text, ok := tickets[id]; ok {
			v.tickets[id] = ticket{text: text, until: asked + valid - ticketMargin}
		} else {
			v.denied[id] = true
		}
	}
}
