package supervisor

import (
	"fmt"
	"time"

	"bamboowood/internal/job"
	"bamboowood/internal/runner"
)

// Reports that contradict an earlier one of the same incarnation replace it once minContradictions of
// them have arrived in their order, over at least minContradictionTime. Delayed reports arrive together.
const (
	minContradictions    = 5
	minContradictionTime = 2 * time.Second
)

// errMoved is the error of a report that names another service or zone than the runner's: these do not
// change while a runner lives.
var errMoved = fmt.Errorf("%w: the runner has another service or zone", runner.ErrOtherIncarnation)

// contradiction counts consecutive reports of the current incarnation that contradict the one applied
// last, which may be of another writer: they have a lower sequence number, or another service or zone.
type contradiction struct {
	count int
	since time.Duration
	last  job.Runner
}

// outvotes counts a report and reports whether it is to replace the one applied last.
func (c *contradiction) outvotes(now time.Duration, r *job.Runner) bool {
	if c.count == 0 || r.Sequence <= c.last.Sequence || r.Service != c.last.Service || r.Zone != c.last.Zone {
		c.count, c.since = 0, now
	}
	c.count++
	c.last = *r
	return c.count >= minContradictions && now-c.since >= minContradictionTime
}
