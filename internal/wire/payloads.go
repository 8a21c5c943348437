package wire

import (
	"fmt"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// PayloadCacheSize is the number of jobs whose payloads an agent caches during a session.
const PayloadCacheSize = 128

// PayloadCache is an LRU cache of job payloads for one session, keyed by job id, so that a
// payload is sent only with the first start of a job. Both ends use it for each start, in
// the same order, so that their caches hold the same jobs. It is not safe for concurrent
// use.
type PayloadCache struct {
	payloads *simplelru.LRU[string, string]
}

// NewPayloadCache returns an empty cache for a new session.
func NewPayloadCache() *PayloadCache {
	payloads, err := simplelru.NewLRU[string, string](PayloadCacheSize, nil)
	if err != nil {
		panic(fmt.Sprintf("PayloadCacheSize is not positive: %v", err))
	}
	return &PayloadCache{payloads}
}

// MarkSent reports whether the payload of a job has been sent to the other end and is still
// cached there. It records the payload as sent. The sender calls it for each start.
func (p *PayloadCache) MarkSent(job string) bool {
	if _, sent := p.payloads.Get(job); sent {
		return true
	}
	p.payloads.Add(job, "")
	return false
}

// Put stores the payload of a job. The receiver calls it for each payload received.
func (p *PayloadCache) Put(job, payload string) { p.payloads.Add(job, payload) }

// Get returns the cached payload of a job, and whether there is one.
func (p *PayloadCache) Get(job string) (string, bool) { return p.payloads.Get(job) }
