package placement

import (
	"cmp"
	"container/heap"
	"slices"

	"bamboowood/internal/structs"
)

// Queue returns pending tasks in scheduling order.
type Queue interface {
	// Next returns the next task, or nil at the end.
	Next() *Task
	// Placed updates the order after capacity was assigned to the task, by a binding or
	// a preemption. The accounts must include this capacity.
	Placed(t *Task)
}

// Accounts tracks the reservations of each team and its dominant share: the greatest
// fraction of its quota over all resources.
type Accounts struct {
	teams  map[string]*account
	quotas map[string]structs.Resources
	total  structs.Resources
}

type account struct {
	used    structs.Resources
	quota   structs.Resources
	limited bool
}

// NewAccounts returns the accounts for the reservations of a snapshot.
func NewAccounts(s *Snapshot) *Accounts {
	a := &Accounts{teams: map[string]*account{}, quotas: s.Quotas}
	for i := range s.VMs {
		vm := &s.VMs[i]
		a.total = a.total.Add(vm.Capacity)
		for j := range vm.Tasks {
			acc := a.team(vm.Tasks[j].Team)
			acc.used = acc.used.Add(vm.Tasks[j].Size)
		}
	}
	return a
}

func (a *Accounts) team(name string) *account {
	acc, ok := a.teams[name]
	if !ok {
		acc = &account{}
		acc.quota, acc.limited = a.quotas[name]
		a.teams[name] = acc
	}
	return acc
}

// Allows returns "" if the team may reserve size in addition, or the Reason.
func (a *Accounts) Allows(team string, size structs.Resources) Reason {
	acc := a.team(team)
	switch {
	case !acc.limited:
		return ""
	case !size.Fits(acc.quota):
		return AboveQuota
	case !acc.used.Add(size).Fits(acc.quota):
		return QuotaUsed
	}
	return ""
}

// Add adds a reservation of the team.
func (a *Accounts) Add(team string, size structs.Resources) {
	acc := a.team(team)
	acc.used = acc.used.Add(size)
}

// Share returns the team's dominant share. For a team without a quota it is the
// fraction of the capacity of all VMs.
func (a *Accounts) Share(team string) float64 {
	acc := a.team(team)
	limit := a.total
	if acc.limited {
		limit = acc.quota
	}
	return max(fraction(acc.used.MilliCPU, limit.MilliCPU), fraction(acc.used.MemoryMB, limit.MemoryMB),
		fraction(acc.used.Accelerators, limit.Accelerators))
}

func fraction(used, total int64) float64 {
	if total <= 0 {
		return 0
	}
	return float64(used) / float64(total)
}

// fairQueue orders tasks by priority, then by the dominant share of the team, least
// first, then by age, oldest first.
type fairQueue struct {
	accounts *Accounts
	classes  []*priorityClass // highest priority first
}

// priorityClass is a heap of the teams with pending tasks of one priority.
type priorityClass struct {
	priority structs.Priority
	teams    []*teamTasks
	byName   map[string]*teamTasks
}

type teamTasks struct {
	team  string
	tasks []*Task
	share float64
	index int // in priorityClass.teams; -1 after removal
}

// NewFairQueue returns the queue for the pending tasks of a snapshot.
func NewFairQueue(s *Snapshot, accounts *Accounts) Queue {
	q := &fairQueue{accounts: accounts}
	byPriority := map[structs.Priority]*priorityClass{}
	for i := range s.Pending {
		t := &s.Pending[i]
		c, ok := byPriority[t.Priority]
		if !ok {
			c = &priorityClass{priority: t.Priority, byName: map[string]*teamTasks{}}
			byPriority[t.Priority] = c
			q.classes = append(q.classes, c)
		}
		c.add(t, accounts)
	}
	slices.SortFunc(q.classes, func(a, b *priorityClass) int { return cmp.Compare(b.priority, a.priority) })
	for _, c := range q.classes {
		for _, team := range c.teams {
			slices.SortFunc(team.tasks, compareAge)
		}
		heap.Init(c)
	}
	return q
}

func compareAge(a, b *Task) int {
	if c := a.SubmittedAt.Compare(b.SubmittedAt); c != 0 {
		return c
	}
	return cmp.Compare(a.ID, b.ID)
}

func (c *priorityClass) add(t *Task, accounts *Accounts) {
	team, ok := c.byName[t.Team]
	if !ok {
		team = &teamTasks{team: t.Team, share: accounts.Share(t.Team), index: len(c.teams)}
		c.byName[t.Team] = team
		c.teams = append(c.teams, team)
	}
	team.tasks = append(team.tasks, t)
}

// Next implements Queue.
func (q *fairQueue) Next() *Task {
	for len(q.classes) > 0 {
		c := q.classes[0]
		if len(c.teams) == 0 {
			q.classes = q.classes[1:]
			continue
		}
		team := c.teams[0]
		t := team.tasks[0]
		team.tasks = team.tasks[1:]
		if len(team.tasks) == 0 {
			heap.Pop(c)
		}
		return t
	}
	return nil
}

// Placed implements Queue.
func (q *fairQueue) Placed(t *Task) {
	for _, c := range q.classes {
		team, ok := c.byName[t.Team]
		if !ok || team.index < 0 {
			continue
		}
		team.share = q.accounts.Share(t.Team)
		heap.Fix(c, team.index)
	}
}

// Len implements heap.Interface.
func (c *priorityClass) Len() int { return len(c.teams) }

// Less implements heap.Interface.
func (c *priorityClass) Less(i, j int) bool {
	a, b := c.teams[i], c.teams[j]
	if a.share != b.share {
		return a.share < b.share
	}
	return compareAge(a.tasks[0], b.tasks[0]) < 0
}

// Swap implements heap.Interface.
func (c *priorityClass) Swap(i, j int) {
	c.teams[i], c.teams[j] = c.teams[j], c.teams[i]
	c.teams[i].index, c.teams[j].index = i, j
}

// Push implements heap.Interface.
func (c *priorityClass) Push(x any) {
	team, ok := x.(*teamTasks)
	if !ok {
		return
	}
	team.index = len(c.teams)
	c.teams = append(c.teams, team)
}

// Pop implements heap.Interface.
func (c *priorityClass) Pop() any {
	last := c.teams[len(c.teams)-1]
	c.teams = c.teams[:len(c.teams)-1]
	last.index = -1
	return last
}
