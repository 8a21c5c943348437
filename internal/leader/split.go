package leader

import (
	"google.golang.org/protobuf/proto"

	"bamboowood/internal/wire/wirepb"
)

// maxStartsBytes bounds the starts of one message, unless it is a single one. It is far below
// wire.MaxMessageBytes, since the agent gives a session up that brings no whole message for 1.2 s.
const maxStartsBytes = 256 << 10

// splitOrders splits a message into those that are sent in its place, in this order: the lease and the orders
// for runs that are not started here, the starts, and the orders for runs that are. Agents of earlier versions
// apply the stops and speed limits of a message before its starts.
func splitOrders(m *wirepb.LeaderMessage) []*wirepb.LeaderMessage {
	if len(m.Starts) == 0 {
		return []*wirepb.LeaderMessage{m}
	}
	starts := m.Starts
	started := make(map[runKey]bool, len(starts))
	for _, o := range starts {
		started[keyOf(o.GetDetails().GetRun())] = true
	}
	later := &wirepb.LeaderMessage{}
	first := &wirepb.LeaderMessage{Grant: m.Grant, Stored: m.Stored, Details: m.Details}
	for _, run := range m.Stops {
		target := first
		if started[keyOf(run)] {
			target = later
		}
		target.Stops = append(target.Stops, run)
	}
	for _, o := range m.Paces {
		target := first
		if started[keyOf(o.Run)] {
			target = later
		}
		target.Paces = append(target.Paces, o)
	}
	messages, bytes := []*wirepb.LeaderMessage{first}, 0
	for _, o := range starts {
		size := proto.Size(o)
		if bytes > 0 && bytes+size > maxStartsBytes {
			messages, bytes = append(messages, &wirepb.LeaderMessage{}), 0
		}
		last := messages[len(messages)-1]
		last.Starts = append(last.Starts, o)
		bytes += size
	}
	if len(later.Stops)+len(later.Paces) > 0 {
		messages = append(messages, later)
	}
	messagesSplit.Add(len(messages) - 1)
	return messages
}

// runKey is the encoded reference to a run.
type runKey struct {
	task   string
	number int64
}

func keyOf(run *wirepb.RunRef) runKey { return runKey{run.GetTask(), run.GetNumber()} }
