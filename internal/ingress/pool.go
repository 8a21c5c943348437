package ingress

import "sync"

// Pool bounds the memory that all members take together. It is safe for concurrent use.
type Pool struct {
	mu          sync.Mutex
	limit, used int64
	members     map[*Member]struct{}
}

// Member is a participant of a Pool, such as the session of a peer.
type Member struct {
	pool         *Pool
	bytes, limit int64
	left         bool
	// expel makes the member leave.
	expel func()
}

// NewPool returns a pool with a limit in bytes.
func NewPool(limit int64) *Pool { return &Pool{limit: limit, members: map[*Member]struct{}{}} }

// Used returns the bytes that the members have taken.
func (p *Pool) Used() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.used
}

// Join adds a member that may take at most limit bytes; 0 means the pool's limit. expel is called, with no lock held, when the member is to leave because it has
// more than others that need memory.
func (p *Pool) Join(limit int64, expel func()) *Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	if limit == 0 {
		limit = p.limit
	}
	m := &Member{pool: p, limit: min(limit, p.limit), expel: expel}
	p.members[m] = struct{}{}
	return m
}

// Take takes n bytes. Without room it returns false and takes nothing. retry is set if another member,
// which has more, has been expelled, so that there is room once it has left.
func (m *Member) Take(n int64) (ok, retry bool) {
	largest := m.take(n)
	switch largest {
	case nil:
		return true, false
	case m:
		return false, false
	}
	largest.expel()
	return false, true
}

// take returns nil if it took n bytes, m if it has no right to them, or else the largest member.
func (m *Member) take(n int64) *Member {
	p := m.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if m.left || m.bytes+n > m.limit {
		return m
	}
	if p.used+n <= p.limit {
		m.bytes += n
		p.used += n
		return nil
	}
	largest := m
	for other := range p.members {
		if other.bytes > largest.bytes {
			largest = other
		}
	}
	return largest
}

// Give returns n bytes.
func (m *Member) Give(n int64) {
	m.pool.mu.Lock()
	defer m.pool.mu.Unlock()
	n = min(n, m.bytes)
	m.bytes -= n
	m.pool.used -= n
}

// Leave returns all bytes. The member can take no more.
func (m *Member) Leave() {
	m.pool.mu.Lock()
	defer m.pool.mu.Unlock()
	m.pool.used -= m.bytes
	m.bytes, m.left = 0, true
	delete(m.pool.members, m)
}
