package wire

import (
	"fmt"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// KeptPayloads is how many jobs' payloads an agent keeps for a session's further starts.
const KeptPayloads = 128

// Payloads are those of the jobs that a session's last starts were of. Both ends use it
// for each start, in the same order, so that they keep the same ones. It is not safe for
// concurrent use.
type Payloads struct {
	kept *simplelru.LRU[string, string]
}

// NewPayloads returns the payloads of a session that begins.
func NewPayloads() *Payloads {
	kept, err := simplelru.NewLRU[string, string](KeptPayloads, nil)
	if err != nil {
		panic(fmt.Sprintf("KeptPayloads is not positive: %v", err))
	}
	return &Payloads{kept}
}

// Known says whether the other end has a job's payload, and notes that it has it from
// now on.
func (p *Payloads) Known(job string) bool {
	if _, known := p.kept.Get(job); known {
		return true
	}
	p.kept.Add(job, "")
	return false
}

// Keep notes a job's payload.
func (p *Payloads) Keep(job, payload string) { p.kept.Add(job, payload) }

// Get returns the payload of a job that was kept.
func (p *Payloads) Get(job string) (string, bool) { return p.kept.Get(job) }
