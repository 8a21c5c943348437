package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"bamboowood/internal/placement"
	"bamboowood/internal/structs"
)

func cores(n, mb, acc int64) structs.Resources {
	return structs.Resources{MilliCPU: n * 1000, MemoryMB: mb, Accelerators: acc}
}

func vm(id, zone, rack string, capacity structs.Resources, tasks ...placement.ReservedTask) placement.VM {
	return placement.VM{ID: id, Zone: zone, Rack: rack, Incarnation: 1, Capacity: capacity, Tasks: tasks}
}

func job(id, team string, size structs.Resources) placement.Task {
	return placement.Task{ID: id, Name: "fee-run", Team: team, Kind: structs.KindBatch, Size: size}
}

func urgent(t placement.Task) placement.Task {
	t.Priority = structs.PriorityUrgent
	return t
}

func reservedTask(id string, size structs.Resources, risk time.Duration) placement.ReservedTask {
	return placement.ReservedTask{ID: id, Name: "fee-run", Team: "t", Kind: structs.KindBatch, Size: size, AtRisk: risk}
}

// summarize formats a plan as "task@vm", "task:reason" and, for evictions, "-task@vm".
func summarize(p placement.Plan) []string {
	lines := []string{}
	for _, b := range p.Bindings {
		lines = append(lines, b.TaskID+"@"+b.VM)
	}
	for _, u := range p.Unplaceable {
		lines = append(lines, u.TaskID+":"+string(u.Reason))
	}
	for _, e := range p.Evictions {
		lines = append(lines, "-"+e.TaskID+"@"+e.VM)
	}
	return lines
}

func TestPlan(t *testing.T) {
	small, big := cores(4, 4000, 0), cores(8, 8000, 2)
	quota := map[string]structs.Resources{"a": cores(8, 8000, 0), "b": cores(4, 4000, 0)}
	cases := []struct {
		name string
		s    placement.Snapshot
		want []string
	}{
		{"accelerator VMs are left to tasks that use accelerators", placement.Snapshot{
			VMs:     []placement.VM{vm("acc", "z", "r", big), vm("plain", "z", "r", small)},
			Pending: []placement.Task{job("j", "t", cores(4, 4000, 0))},
		}, []string{"j@plain"}},
		{"task that never fits does not block the queue", placement.Snapshot{
			VMs:     []placement.VM{vm("v", "z", "r", small)},
			Pending: []placement.Task{job("a", "t", cores(5, 1, 0)), job("b", "t", cores(1, 1, 0))},
		}, []string{"b@v", "a:never-fits"}},
		{"no capacity", placement.Snapshot{
			VMs:     []placement.VM{vm("v", "z", "r", small, reservedTask("h", cores(3, 1, 0), 0))},
			Pending: []placement.Task{job("a", "t", cores(2, 1, 0))},
		}, []string{"a:no-capacity"}},
		{"quota blocks a task but not the team's smaller one", placement.Snapshot{
			VMs: []placement.VM{vm("v", "z", "r", big)}, Quotas: quota,
			Pending: []placement.Task{job("a", "b", cores(3, 1, 0)), job("b", "b", cores(2, 1, 0)), job("c", "b", cores(1, 1, 0)), job("d", "b", cores(5, 1, 0))},
		}, []string{"a@v", "c@v", "b:quota-used", "d:above-quota"}},
		{"least dominant share first", placement.Snapshot{
			VMs: []placement.VM{vm("v", "z", "r", cores(6, 8000, 0))}, Quotas: quota,
			Pending: []placement.Task{job("a1", "a", cores(2, 1, 0)), job("a2", "a", cores(2, 1, 0)), job("a3", "a", cores(2, 1, 0)), job("b1", "b", cores(2, 1, 0))},
		}, []string{"a1@v", "b1@v", "a2@v", "a3:no-capacity"}},
		{"urgent before the dominant share", placement.Snapshot{
			VMs:     []placement.VM{vm("v", "z", "r", small)},
			Pending: []placement.Task{job("a", "t", cores(4, 1, 0)), urgent(job("u", "t", cores(4, 1, 0)))},
		}, []string{"u@v", "a:no-capacity"}},
		{"no placement on draining and revoked VMs; draining VM is emptied", placement.Snapshot{
			VMs: []placement.VM{
				func() placement.VM {
					v := vm("d", "z", "r", small, reservedTask("h", cores(1, 1, 0), 0))
					v.State = placement.VMDraining
					return v
				}(),
				func() placement.VM {
					v := vm("r", "z", "r", small, reservedTask("g", cores(1, 1, 0), 0))
					v.State = placement.VMRevoked
					return v
				}(),
			},
			Pending: []placement.Task{job("a", "t", cores(1, 1, 0))},
		}, []string{"a:no-ready-vm", "-h@d"}},
		{"preemption minimizes the work at risk", placement.Snapshot{
			VMs: []placement.VM{
				vm("v1", "z", "r", small, reservedTask("old", cores(4, 1, 0), time.Hour)),
				vm("v2", "z", "r", small, reservedTask("new", cores(4, 1, 0), time.Minute)),
			},
			Pending: []placement.Task{urgent(job("u", "t", cores(2, 1, 0)))},
		}, []string{"u:waiting-for-eviction", "-new@v2"}},
		{"preemption reuses capacity of leaving tasks", placement.Snapshot{
			VMs: []placement.VM{
				vm("v1", "z", "r", small, reservedTask("old", cores(4, 1, 0), time.Hour)),
				vm("v2", "z", "r", small, func() placement.ReservedTask { h := reservedTask("new", cores(4, 1, 0), 0); h.Leaving = true; return h }()),
			},
			Pending: []placement.Task{urgent(job("u", "t", cores(2, 1, 0))), job("n", "t", cores(1, 1, 0))},
		}, []string{"u:waiting-for-eviction", "n:no-capacity"}},
		{"preemption spares unneeded victims", placement.Snapshot{
			VMs:     []placement.VM{vm("v1", "z", "r", small, reservedTask("s", cores(1, 1, 0), time.Second), reservedTask("l", cores(3, 1, 0), time.Minute))},
			Pending: []placement.Task{urgent(job("u", "t", cores(3, 1, 0)))},
		}, []string{"u:waiting-for-eviction", "-l@v1"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			must.Eq(t, c.want, summarize(placement.NewPlanner(placement.Options{}).Plan(&c.s)))
		})
	}
}

func TestPlan_SpreadsWatches(t *testing.T) {
	var s placement.Snapshot
	for i := range 12 {
		s.VMs = append(s.VMs, vm(fmt.Sprintf("v%02d", i), fmt.Sprintf("z%d", i/6), fmt.Sprintf("r%d", i/3), cores(8, 8000, 0)))
	}
	for i := range 8 {
		w := job(fmt.Sprintf("w%d", i), "t", cores(1, 1, 0))
		w.Kind = structs.KindWatch
		s.Pending = append(s.Pending, w)
	}
	plan := placement.NewPlanner(placement.Options{}).Plan(&s)
	zones, racks, vms := map[string]int{}, map[string]int{}, map[string]int{}
	for _, b := range plan.Bindings {
		var i int
		_, err := fmt.Sscanf(b.VM, "v%d", &i)
		must.NoError(t, err)
		zones[s.VMs[i].Zone]++
		racks[s.VMs[i].Rack]++
		vms[b.VM]++
	}
	must.Eq(t, map[string]int{"z0": 4, "z1": 4}, zones)
	must.Eq(t, map[string]int{"r0": 2, "r1": 2, "r2": 2, "r3": 2}, racks)
	must.MapLen(t, 8, vms)
}

// fixedSlowdowns maps names of tasks to factors with a small error. Other names have a
// large one.
type fixedSlowdowns map[string]float64

func (p fixedSlowdowns) Slowdown(_, taskName string) (float64, float64) {
	if factor, ok := p[taskName]; ok {
		return factor, 0.01
	}
	if taskName == "fuzzy" {
		return 1, 0.09
	}
	return 1.05, 0.3
}

// The drain of many tasks must leave evictions for the preemption by an urgent task.
func TestPlan_PreemptsDuringDrain(t *testing.T) {
	drained := vm("out", "z", "r", cores(64, 64000, 0))
	drained.State = placement.VMZoneDrained
	for i := range 64 {
		drained.Tasks = append(drained.Tasks, reservedTask(fmt.Sprintf("h%d", i), cores(1, 1, 0), 0))
	}
	s := placement.Snapshot{
		VMs:     []placement.VM{drained, vm("v", "y", "r", cores(4, 4000, 0), reservedTask("victim", cores(4, 1, 0), 0))},
		Pending: []placement.Task{urgent(job("u", "t", cores(2, 1, 0)))},
	}
	plan := placement.NewPlanner(placement.Options{MaxEvictions: 10}).Plan(&s)
	must.Len(t, 10, plan.Evictions)
	must.Eq(t, placement.Eviction{TaskID: "victim", VM: "v", Reason: placement.EvictUrgent, ForTask: "u"}, plan.Evictions[0])
}

// Tasks with a large slowdown are not colocated with a service, those with a small one up
// to the budget of the VM, unknown ones one at a time, and harmless ones always. VMs
// without services accept all.
func TestPlan_LimitsSlowdown(t *testing.T) {
	cases := []struct {
		name      string
		taskNames []string
		want      int // on the VM with a service
	}{
		{"above the limit", []string{"bad", "bad"}, 0},
		{"budget limits the sum", []string{"mild", "mild", "mild"}, 2},
		{"one unknown at a time", []string{"new1", "new2"}, 1},
		{"sum of errors is limited", []string{"fuzzy", "fuzzy", "fuzzy", "fuzzy"}, 2},
		{"negligible slowdown with the budget used up", []string{"mild", "mild", "good", "good"}, 4},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := placement.Snapshot{VMs: []placement.VM{vm("v", "z", "r", cores(8, 8000, 0))}}
			for i, taskName := range c.taskNames {
				j := job(fmt.Sprintf("j%d", i), "t", cores(1, 1, 0))
				j.Name = taskName
				s.Pending = append(s.Pending, j)
			}
			planner := placement.NewPlanner(placement.Options{Slowdowns: fixedSlowdowns{"bad": 1.5, "mild": 1.07, "good": 1.01}})
			must.Len(t, len(c.taskNames), planner.Plan(&s).Bindings)
			s.VMs[0].Services = []string{"glint"}
			must.Len(t, c.want, planner.Plan(&s).Bindings)
		})
	}
}

// A VM on which different jobs fail is ejected. A single job that fails everywhere
// ejects no VM, because each job counts once per VM.
func TestPlan_EjectsFailingVM(t *testing.T) {
	s := placement.Snapshot{Pending: []placement.Task{job("a", "t", cores(1, 1, 0))}}
	for i := range 5 {
		s.VMs = append(s.VMs, vm(fmt.Sprintf("v%d", i), "z", "r", cores(8, 8000, 0)))
		s.VMs[i].Failed, s.VMs[i].Ran = 1, 20
	}
	s.VMs[0].Failed, s.VMs[0].Ran, s.VMs[0].Capacity = 6, 6, cores(1, 10, 0) // the best fit
	must.NotEq(t, []string{"a@v0"}, summarize(placement.NewPlanner(placement.Options{}).Plan(&s)))
	s.VMs[0].Failed = 1
	must.Eq(t, []string{"a@v0"}, summarize(placement.NewPlanner(placement.Options{}).Plan(&s)))
}
