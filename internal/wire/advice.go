package wire

import (
	"errors"
	"fmt"
	"time"

	"bamboowood/internal/job"
	"bamboowood/internal/wire/wirepb"
)

// errNoAdvice is the error of an advice call that an agent reports as failed.
var errNoAdvice = errors.New("no answer of the advice service")

// AdviceReply encodes an answer of the advice service, or the error of the call.
func AdviceReply(a job.AdviceAnswer, err error) *wirepb.AdviceReply {
	if err != nil {
		return &wirepb.AdviceReply{Error: err.Error()}
	}
	m := &wirepb.AdviceReply{ValidMs: a.Validity.Milliseconds(), Incomplete: a.Incomplete}
	for runner, text := range a.Tickets {
		m.Tickets = append(m.Tickets, &wirepb.AdviceTicket{Runner: runner, Text: text})
	}
	return m
}

// AdviceAnswer decodes an AdviceReply. It returns the error of the call if it failed.
func AdviceAnswer(m *wirepb.AdviceReply) (job.AdviceAnswer, error) {
	if m.GetError() != "" {
		return job.AdviceAnswer{}, fmt.Errorf("%w: %s", errNoAdvice, m.GetError())
	}
	a := job.AdviceAnswer{
		Tickets: map[string]string{}, Validity: time.Duration(m.GetValidMs()) * time.Millisecond, Incomplete: m.GetIncomplete(),
	}
	for _, t := range m.GetTickets() {
		a.Tickets[t.GetRunner()] = t.GetText()
	}
	return a, nil
}
