package planner

import (
	"slices"
	"strconv"
	"time"

	"bamboowood/internal/job"
)

// Progress is what the ledger keeps of a job besides the job itself.
type Progress struct {
	State job.State `json:"state"`
	// DoneBefore is the number of leading occurrences that are done whole.
	DoneBefore int `json:"before,omitempty"`
	// Open has the other occurrences of which anything is done, by number.
	Open map[int]*OccurrenceProgress `json:"open,omitempty"`
}

// OccurrenceProgress is what is done of one occurrence.
type OccurrenceProgress struct {
	// Complete says that all tasks are done.
	Complete bool `json:"whole,omitempty"`
	// Done has a bit for each task that is done, by step.
	Done [][]byte `json:"done,omitempty"`
	// Failures has the numbers of the failed runs, by task as STEP.INDEX. With the
	// numbers, an end that is listed again after a change of leaders does not count
	// twice.
	Failures map[string][]int64 `json:"failures,omitempty"`
}

func failureKey(step, index int) string { return strconv.Itoa(step) + "." + strconv.Itoa(index) }

func (pr *Progress) occurrenceDone(k int) bool {
	if pr == nil {
		return false
	}
	return k < pr.DoneBefore || pr.Open[k] != nil && pr.Open[k].Complete
}

// restore sets a step to what the ledger has of it.
func (pr *Progress) restore(s *stepState, k int) {
	if pr == nil || pr.Open[k] == nil {
		return
	}
	o := pr.Open[k]
	for i := range s.tasks {
		if s.index < len(o.Done) && bit(o.Done[s.index], i) {
			s.tasks[i].done = true
			s.done++
		}
		s.tasks[i].failures = o.Failures[failureKey(s.index, i)]
		for _, number := range s.tasks[i].failures {
			s.tasks[i].run = max(s.tasks[i].run, number)
		}
	}
}

// progress returns what the ledger has to keep of the job.
func (js *jobState) progress() *Progress {
	pr := &Progress{State: js.state}
	if js.state.Terminal() {
		return pr
	}
	if js.begun || js.live > 0 {
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
		if s.done > 0 {
			empty = false
			pr.Done[i] = make([]byte, (len(s.tasks)+7)/8)
		}
		for t := range s.tasks {
			if s.tasks[t].done {
				pr.Done[i][t/8] |= 1 << (t % 8)
			}
			if len(s.tasks[t].failures) > 0 {
				if pr.Failures == nil {
					pr.Failures = map[string][]int64{}
				}
				pr.Failures[failureKey(i, t)] = slices.Clone(s.tasks[t].failures)
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

// Change is a job whose progress the ledger does not have yet.
type Change struct {
	Job      string
	Progress *Progress
}

// TakeChanges returns up to limit changes. Each is to be passed to ChangeCommitted once
// the ledger has it.
func (p *Planner) TakeChanges(limit int) []Change {
	var changes []Change
	for js := range p.dirty {
		if len(changes) == limit {
			break
		}
		changes = append(changes, Change{Job: js.job.ID, Progress: js.progress()})
		delete(p.dirty, js)
	}
	return changes
}

// Pending says whether there are changes for the ledger, and whether one of them
// is the end of a job.
func (p *Planner) Pending() (pending, urgent bool) {
	for js := range p.dirty {
		if js.state.Terminal() {
			return true, true
		}
	}
	return len(p.dirty) > 0, false
}

// ChangeCommitted says that the ledger has a change, and returns the age of its job.
func (p *Planner) ChangeCommitted(now time.Duration, c Change) time.Duration {
	js := p.jobs[c.Job]
	if js == nil {
		return 0
	}
	js.durable = c.Progress.State
	return now - js.accepted
}

// ChangeNotCommitted returns a change that the ledger did not take.
func (p *Planner) ChangeNotCommitted(c Change) {
	if js := p.jobs[c.Job]; js != nil {
		p.dirty[js] = struct{}{}
	}
}
