package planner

import (
	"slices"
	"strconv"
	"time"

	"bamboowood/internal/job"
)

// Progress is the state of a job that is stored in the ledger besides the job itself.
type Progress struct {
	State job.State `json:"state"`
	// DoneBefore is the number of leading occurrences that are completely done.
	DoneBefore int `json:"before,omitempty"`
	// Open holds the progress of the other occurrences that have any, by number.
	Open map[int]*OccurrenceProgress `json:"open,omitempty"`
}

// Valid reports whether the state is one of package job, all numbers of occurrences are from 0 to
// job.MaxOccurrences and all numbers of runs from 1 to job.MaxRunNumber.
func (pr *Progress) Valid() bool {
	switch pr.State {
	case job.Queued, job.Running, job.Completed, job.Failed, job.Cancelled:
	default:
		return false
	}
	for k, o := range pr.Open {
		if k < 0 || k >= job.MaxOccurrences || o != nil && !o.valid() {
			return false
		}
	}
	return pr.DoneBefore >= 0 && pr.DoneBefore <= job.MaxOccurrences
}

func (o *OccurrenceProgress) valid() bool {
	for _, numbers := range o.Failures {
		for _, n := range numbers {
			if n < 1 || n > job.MaxRunNumber {
				return false
			}
		}
	}
	return true
}

// Fits reports whether the progress has no occurrence that the job does not have.
func (pr *Progress) Fits(j *job.Job) bool { return pr.openedOccurrences() <= j.OccurrenceCount() }

// OccurrenceProgress is the progress of one occurrence.
type OccurrenceProgress struct {
	// Complete is set if all tasks are done.
	Complete bool `json:"whole,omitempty"`
	// Done holds a bitmap of the tasks that are done, by step.
	Done [][]byte `json:"done,omitempty"`
	// Failures holds the numbers of the failed runs, by task as STEP.INDEX, of the tasks that are not done.
	// The numbers prevent that an end that is reported again after a takeover counts twice. Their order has
	// no meaning. If the queue does not limit the attempts, only the highest is kept.
	Failures map[string][]int64 `json:"failures,omitempty"`
}

// FailureKey returns the key of a task in OccurrenceProgress.Failures.
func FailureKey(step, index int) string { return strconv.Itoa(step) + "." + strconv.Itoa(index) }

func (pr *Progress) occurrenceDone(k int) bool {
	if pr == nil {
		return false
	}
	return k < pr.DoneBefore || pr.Open[k] != nil && pr.Open[k].Complete
}

// openedOccurrences returns the number of leading occurrences that have certainly been opened.
func (pr *Progress) openedOccurrences() int {
	if pr == nil {
		return 0
	}
	n := pr.DoneBefore
	for k := range pr.Open {
		n = max(n, k+1)
	}
	return n
}

// restore sets a step to its stored progress.
func (pr *Progress) restore(s *stepState, k int) {
	if pr == nil || pr.Open[k] == nil {
		return
	}
	o := pr.Open[k]
	for i := range s.tasks {
		if s.index < len(o.Done) && bit(o.Done[s.index], i) {
			s.tasks[i].done = true
			s.doneTasks++
			continue
		}
		s.tasks[i].failedRuns = slices.Clone(o.Failures[FailureKey(s.index, i)])
		for _, number := range s.tasks[i].failedRuns {
			s.tasks[i].lastRunNumber = max(s.tasks[i].lastRunNumber, number)
		}
	}
}

// progress returns the progress to be stored in the ledger.
func (js *jobState) progress() *Progress {
	pr := &Progress{State: js.state}
	if js.state.Terminal() {
		return pr
	}
	if js.started || js.liveRuns > 0 {
		pr.State = job.Running
	}
	for pr.DoneBefore < js.opened && js.open[pr.DoneBefore] == nil {
		pr.DoneBefore++
	}
	for k := pr.DoneBefore; k < js.opened; k++ {
		if o := js.open[k].progress(); o != nil {
			if pr.Open == nil {
				pr.Open = map[int]*OccurrenceProgress{}
			}
			pr.Open[k] = o
		}
	}
	return pr
}

func (o *occurrence) progress() *OccurrenceProgress {
	if o == nil {
		return &OccurrenceProgress{Complete: true}
	}
	pr := &OccurrenceProgress{Done: make([][]byte, len(o.steps))}
	empty := true
	for i := range o.steps {
		s := &o.steps[i]
		if s.doneTasks > 0 {
			empty = false
			pr.Done[i] = make([]byte, (len(s.tasks)+7)/8)
		}
		for t := range s.tasks {
			if s.tasks[t].done {
				pr.Done[i][t/8] |= 1 << (t % 8)
			}
			// The failures of a task that is done do not matter any more.
			if !s.tasks[t].done && len(s.tasks[t].failedRuns) > 0 {
				if pr.Failures == nil {
					pr.Failures = map[string][]int64{}
				}
				pr.Failures[FailureKey(i, t)] = slices.Clone(s.tasks[t].failedRuns)
				empty = false
			}
		}
	}
	if empty {
		return nil
	}
	return pr
}

func bit(bits []byte, i int) bool { return i/8 < len(bits) && bits[i/8]&(1<<(i%8)) != 0 }

// Change is a job's progress that is not stored in the ledger yet.
type Change struct {
	Job      string
	Progress *Progress
}

// TakeChanges removes and returns up to limit changes. Each must be passed to
// ChangeCommitted once it is stored in the ledger, or to ChangeNotCommitted.
func (p *Planner) TakeChanges(limit int) []Change {
	var changes []Change
	for js := range p.dirty {
		if len(changes) == limit {
			break
		}
		if !js.settled(p.lastInstant.Mono) {
			continue
		}
		changes = append(changes, Change{Job: js.job.ID, Progress: js.progress()})
		delete(p.dirty, js)
	}
	return changes
}

// Pending reports whether there are changes to store, and whether one of them is the end
// of a job.
func (p *Planner) Pending() (pending, urgent bool) {
	for js := range p.dirty {
		if js.state.Terminal() {
			return true, true
		}
	}
	return len(p.dirty) > 0, false
}

// ChangeCommitted records that a change is stored in the ledger, and returns the age of
// its job, 0 if the planner does not have the job any more.
func (p *Planner) ChangeCommitted(now time.Duration, c Change) time.Duration {
	js := p.jobs[c.Job]
	if js == nil {
		return 0
	}
	js.storedState = c.Progress.State
	return now - js.acceptedAt
}

// ChangeNotCommitted records that a change was not stored; its job is dirty again.
func (p *Planner) ChangeNotCommitted(c Change) {
	if js := p.jobs[c.Job]; js != nil && (!js.setAside || js.state.Terminal()) {
		p.dirty[js] = struct{}{}
	}
}
