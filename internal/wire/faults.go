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

// MessageFault is what happens to one message of an in-memory session.
type MessageFault struct {
	// Drop loses the message.
	Drop bool
	// Duplicate delivers it twice.
	Duplicate bool
	// Delay is added to the delay of the link.
	Delay time.Duration
	// Reorder lets later messages of the stream overtake it within Delay.
	Reorder bool
	// SilenceAfter and CutAfter strike once this message is under way.
	SilenceAfter bool
	CutAfter     bool
}

// Faults programs the link of an in-memory session; its zero value is a perfect
// link. All methods may be called while the session is in use.
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

// SetHook sets the function that decides the MessageFault of each message; nil removes
// it.
func (f *Faults) SetHook(hook func(from Side, m proto.Message) MessageFault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hook = hook
}

// Silence loses everything sent from now on, in both directions, while both ends
// take the session for open.
func (f *Faults) Silence() {
	f.SilenceFrom(AgentSide)
	f.SilenceFrom(EntrySide)
}

// SilenceFrom loses everything that one side sends from now on.
func (f *Faults) SilenceFrom(side Side) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.silent[side] = true
}

// Restore ends all silence; what was lost stays lost.
func (f *Faults) Restore() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.silent = [2]bool{}
}

// Cut ends the session at both ends.
func (f *Faults) Cut() {
	f.mu.Lock()
	cut := f.cut
	f.mu.Unlock()
	if cut != nil {
		cut()
	}
}

// fate decides what happens to a message; m is nil for the opening and the
// closing of a stream.
func (f *Faults) fate(from Side, m proto.Message) MessageFault {
	f.mu.Lock()
	hook, silent, delay := f.hook, f.silent[from], f.delay
	f.mu.Unlock()
	fate := MessageFault{}
	if hook != nil && m != nil {
		fate = hook(from, m)
	}
	fate.Drop = fate.Drop || silent
	fate.Delay += delay
	return fate
}

// strike applies what follows a message.
func (f *Faults) strike(fate MessageFault) {
	if fate.SilenceAfter {
		f.Silence()
	}
	if fate.CutAfter {
		f.Cut()
	}
}
