package wire_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"bamboowood/internal/wire"
)

// Whatever the order of starts, a payload that is left out is the one that the agent has.
func TestPayloads_BothEndsAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sender, receiver := wire.NewPayloadCache(), wire.NewPayloadCache()
		jobs := rapid.SliceOfN(rapid.IntRange(0, 3*wire.PayloadCacheSize), 1, 2_000).Draw(t, "jobs")
		for _, n := range jobs {
			id := fmt.Sprintf("%016x", n)
			if !sender.MarkSent(id) {
				receiver.Put(id, "payload of "+id)
				continue
			}
			if payload, known := receiver.Get(id); !known || payload != "payload of "+id {
				t.Fatalf("agent has %q for job %s", payload, id)
			}
		}
	})
}
