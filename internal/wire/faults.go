package wire

import (
	"sync"
	"time"

	"google.golang.org/protobuf/proto"
)

// Side is one end of a session.
type Side uint8

// Sides of a session.
const (
	AgentSide Side = iota
	EntrySide
)

// String returns the side's name.
func (s Side) String() string {
	if s == AgentSide {
		return "agent"
	}
	return "entry"
}

// MessageFault is a fault injected into one message of an in-memory session.
type MessageFault struct {
	// Drop discards the message.
	Drop bool
	// Duplicate delivers the message twice.
	Duplicate bool
	// Delay is added to the one-way delay of the link.
	Delay time.Duration
	// Reorder allows later messages of the stream to be delivered first, within Delay.
	Reorder bool
	// SilenceAfter and CutAfter call Faults.Silence and Faults.Cut once the message has
	// been sent.
	SilenceAfter bool
	CutAfter     bool
}

// Faults injects faults into the link of an in-memory session; its zero value injects
// none. All methods are safe for concurrent use with the session.
type Faults struct {
	mu     sync.Mutex
	delay  time.Duration
	silent [2]bool
	hook   func(from Side, m proto.Message) MessageFault
	cut    func()
}

// SetDelay sets the one-way delay of the link.
func (f *Faults) SetDelay(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delay = d
}

// SetHook sets the function that returns the MessageFault of each message; nil removes
// it.
func (f *Faults) SetHook(hook func(from Side, m proto.Message) MessageFault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hook = hook
}

// Silence discards everything sent from now on, in both directions. The session stays
// open at both ends.
func (f *Faults) Silence() {
	f.SilenceFrom(AgentSide)
	f.SilenceFrom(EntrySide)
}

// SilenceFrom discards everything that one side sends from now on.
func (f *Faults) SilenceFrom(side Side) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.silent[side] = true
}

// Restore reverts Silence and SilenceFrom. Messages discarded before are not delivered.
func (f *Faults) Restore() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.silent = [2]bool{}
}

// Cut closes the session at both ends.
func (f *Faults) Cut() {
	f.mu.Lock()
	cut := f.cut
	f.mu.Unlock()
	if cut != nil {
		cut()
	}
}

// faultFor returns the fault of a message sent by one side; m is nil for the opening and
// the closing of a stream.
func (f *Faults) faultFor(from Side, m proto.Message) MessageFault {
	f.mu.Lock()
	hook, silent, delay := f.hook, f.silent[from], f.delay
	f.mu.Unlock()
	fault := MessageFault{}
	if hook != nil && m != nil {
		fault = hook(from, m)
	}
	fault.Drop = fault.Drop || silent
	fault.Delay += delay
	return fault
}

// applyAfterSend applies the faults that take effect after a message was sent.
func (f *Faults) applyAfterSend(fault MessageFault) {
	if fault.SilenceAfter {
		f.Silence()
	}
	if fault.CutAfter {
		f.Cut()
	}
}
