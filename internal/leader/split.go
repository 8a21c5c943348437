package leader

import (
	"google.golang.org/protobuf/proto"

	"bamboowood/internal/wire/wirepb"
)

// maxStartsBytes bounds the starts of one message, unless it is a single one. It is far below
// wire.MaxMessageBytes, since the agent gives a session up that brings no whole message for 1.2 s.
const maxStartsBytes = 256 << 10

// splitOrders splits a message into those that are sent in its place, in this order. Stops come in the first one.
func splitOrders(m *wirepb.LeaderMessage) []*wirepb.LeaderMessage {
	starts := m.Starts
	m.Starts = nil
	messages, bytes := []*wirepb.LeaderMessage{m}, 0
	for _, o := range starts {
		size := proto.Size(o)
		if bytes > 0 && bytes+size > maxStartsBytes {
			messages, bytes = append(messages, &wirepb.LeaderMessage{}), 0
		}
		last := messages[len(messages)-1]
		last.Starts = append(last.Starts, o)
		bytes += size
	}
	orderMessagesSplit.Add(len(messages) - 1)
	return messages
}
