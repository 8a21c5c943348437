package wire

import (
	"fmt"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// PayloadCacheSize is how many jobs' payloads an agent keeps for a session's further starts.
const PayloadCacheSize = 128

// PayloadCache holds those of the jobs that a session's last starts were of. Both ends use it
// for each start, in the same order, so that they keep the same ones. It is not safe for
// concurrent use.
type PayloadCache struct {
	kept *simplelru.LRU[string, string]
}

// NewPayloadCache returns the payloads of a session that begins.
func NewPayloadCache() *PayloadCache {
	kept, err := simplelru.NewLRU[string, string](PayloadCacheSize, nil)
	if err != nil {
		panic(fmt.Sprintf("PayloadCacheSize is not positive: %v", err))
	}
	return &PayloadCache{kept}
}

// MarkSent says whether the other end has a job's payload, and notes that it has it from
// now on.
func (p *PayloadCache) MarkSent(job string) bool {
	if _, known := p.kept.Get(job); known {
		return true
	}
	p.kept.Add(job, "")
	return false
}

// Put notes a job's payload.
func (p *PayloadCache) Put(job, payload string) { p.kept.Add(job, payload) }

// Get returns the payload of a job that was kept.
func (p *PayloadCache) Get(job string) (string, bool) { return p.kept.Get(job) }
