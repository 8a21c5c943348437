package wire_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"bamboowood/internal/wire"
)

// A start may omit its payload only if the agent still has it cached, after any order of
// starts. Otherwise the agent cannot start the run.
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
