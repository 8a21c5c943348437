package wire_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"bamboowood/internal/wire"
)

// Guards against a start without its payload that the agent does not have: after any order
// of starts, the agent has cached each payload that the sender omits.
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
			if payload, ok := receiver.Get(id); !ok || payload != "payload of "+id {
				t.Fatalf("agent has cached payload %q for job %s", payload, id)
			}
		}
	})
}
