package colocation_test

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"bamboowood/internal/colocation"
	"bamboowood/internal/placement"
	"bamboowood/internal/structs"
)

// Parameters of the simulation: VMs with one service each, whose requests queue for 8
// slots, and colocated batch tasks that slow the services. All policies run with the same
// recorded arrivals and the same queue of batch work.
const (
	modelVMs       = 6
	modelSlots     = 8
	modelTime      = 10 * time.Minute
	meanService    = 20 * time.Millisecond
	utilisation    = 0.6
	window         = 2 * time.Second // length of a report's window
	reportLag      = 2 * time.Second // from the end of the window to the report's arrival
	applyLag       = 500 * time.Millisecond
	checkpointTime = 2 * time.Second
	vmCores        = 12 // each task uses 1 core
)

// arrival is one recorded request.
type arrival struct {
	at      time.Duration
	service time.Duration // service time without slowdown
}

// recordArrivals returns the requests of one VM. Their rate varies over time.
func recordArrivals(random *rand.Rand) []arrival {
	var arrivals []arrival
	rate := utilisation * modelSlots / meanService.Seconds()
	phase := random.Float64()
	for at := 0.0; at < modelTime.Seconds(); {
		shift := 1 + 0.2*math.Sin(2*math.Pi*(at/300+phase))
		at += random.ExpFloat64() / (rate * shift)
		arrivals = append(arrivals, arrival{
			time.Duration(at * float64(time.Second)), time.Duration(random.ExpFloat64() * float64(meanService)),
		})
	}
	return arrivals
}

// trueSlowdown returns the factor by which one task at full speed slows the service. Kinds
// k0 to k3 slow one of the services, k4 both; the others slow a service by only 1%.
func trueSlowdown(service, kind string) float64 {
	factors := map[[2]string]float64{
		{"s0", "k0"}: 1.5, {"s1", "k1"}: 1.5, {"s0", "k2"}: 1.25, {"s1", "k3"}: 1.25, {"s0", "k4"}: 1.1, {"s1", "k4"}: 1.1,
	}
	if factor, ok := factors[[2]string{service, kind}]; ok {
		return factor
	}
	return 1.01
}

type oracle struct{}

func (oracle) Slowdown(service, kind string) (float64, float64) {
	return trueSlowdown(service, kind), 0
}

// policy is a policy of running batch work on the services' VMs.
type policy struct {
	name      string
	batch     bool
	share     float64 // start share without a guard
	guard     *colocation.GuardOptions
	estimator *colocation.Estimator
	slowdowns placement.Slowdowns // used by the placement; nil: none
}

// modelTask is one batch task.
type modelTask struct {
	id           string
	kind         string
	work         time.Duration
	done         time.Duration
	checkpointed time.Duration // progress stored in the checkpoint
	share        float64
	leavesAt     time.Duration // when its eviction ends; 0 if it is not being evicted
}

type modelVM struct {
	id, service string
	arrivals    []arrival
	slots       [modelSlots]time.Duration // time when each becomes free
	tasks       []*modelTask
	guard       *colocation.Guard
	reports     []report // not delivered yet
	applyAt     time.Duration
	actions     []colocation.Action
}

type report struct {
	due    time.Duration
	m      colocation.Measurement
	sample colocation.Sample
	// latencies of the window's requests, from which the tail latency is computed.
	latencies []time.Duration
}

// result is the result of a policy.
type result struct {
	requests, served int
	latencies        []time.Duration
	work, wasted     time.Duration
	evictions        int
}

func (r result) servedShare() float64 { return float64(r.served) / float64(r.requests) }

func (r result) quantile(q float64) time.Duration {
	return r.latencies[int(q*float64(len(r.latencies)-1))]
}

type model struct {
	policy  policy
	vms     []*modelVM
	queue   []*modelTask
	planner *placement.Planner
	result  result
}

func newModel(p policy, seed uint64) *model {
	m := &model{policy: p, planner: placement.NewPlanner(placement.Options{Slowdowns: p.slowdowns, Seed: seed})}
	for i := range modelVMs {
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		vm := &modelVM{id: fmt.Sprintf("v%d", i), service: fmt.Sprintf("s%d", i%2), arrivals: recordArrivals(random)}
		if p.guard != nil {
			vm.guard = colocation.NewGuard(*p.guard, p.slowdowns)
		}
		m.vms = append(m.vms, vm)
	}
	random := rand.New(rand.NewPCG(seed, 1000))
	for i := range 4000 {
		work := time.Duration(30+random.IntN(180)) * time.Second
		m.queue = append(m.queue, &modelTask{id: fmt.Sprintf("j%04d", i), kind: fmt.Sprintf("k%d", random.IntN(10)), work: work})
	}
	return m
}

// run simulates modelTime in steps of one second.
func (m *model) run() result {
	for now := time.Duration(0); now < modelTime; now += time.Second {
		if m.policy.batch {
			m.place()
		}
		for _, vm := range m.vms {
			m.serve(vm, now)
			m.progress(vm, now)
			m.deliverReports(vm, now)
		}
	}
	slices.Sort(m.result.latencies)
	return m.result
}

// place assigns queued tasks to free cores with placement.Planner.
func (m *model) place() {
	s := &placement.Snapshot{}
	for _, vm := range m.vms {
		v := placement.VM{ID: vm.id, Zone: "z", Capacity: cpu(vmCores), Services: []string{vm.service}}
		for _, t := range vm.tasks {
			v.Tasks = append(v.Tasks, placement.ReservedTask{ID: t.id, Name: t.kind, Kind: structs.KindBatch, Size: cpu(1), Leaving: t.leavesAt > 0})
		}
		s.VMs = append(s.VMs, v)
	}
	const lookahead = 100
	byID := map[string]*modelTask{}
	for i, t := range m.queue[:min(lookahead, len(m.queue))] {
		byID[t.id] = t
		s.Pending = append(s.Pending, placement.Task{
			ID: t.id, Name: t.kind, Kind: structs.KindBatch, Size: cpu(1), SubmittedAt: time.Unix(int64(i), 0),
		})
	}
	for _, b := range m.planner.Plan(s).Bindings {
		t := byID[b.TaskID]
		vm := m.vms[slices.IndexFunc(m.vms, func(vm *modelVM) bool { return vm.id == b.VM })]
		t.share = m.policy.share
		if vm.guard != nil {
			t.share = vm.guard.StartShare([]string{vm.service}, t.kind)
		}
		vm.tasks = append(vm.tasks, t)
		m.queue = slices.DeleteFunc(m.queue, func(q *modelTask) bool { return q == t })
	}
}

func cpu(n int64) structs.Resources { return structs.Resources{MilliCPU: n * 1000} }

func (vm *modelVM) slowdown() float64 {
	factor := 1.0
	for _, t := range vm.tasks {
		factor *= math.Pow(trueSlowdown(vm.service, t.kind), t.share)
	}
	return factor
}

// serve simulates the requests that arrive within one second and adds them to the reports.
func (m *model) serve(vm *modelVM, now time.Duration) {
	slowdown := vm.slowdown()
	for len(vm.arrivals) > 0 && vm.arrivals[0].at < now+time.Second {
		a := vm.arrivals[0]
		vm.arrivals = vm.arrivals[1:]
		slot := slices.Index(vm.slots[:], slices.Min(vm.slots[:]))
		serviceTime := time.Duration(float64(a.service) * slowdown)
		end := max(a.at, vm.slots[slot]) + serviceTime
		vm.slots[slot] = end
		latency := end - a.at
		m.result.requests++
		if latency <= wait {
			m.result.served++
		}
		m.result.latencies = append(m.result.latencies, latency)
		vm.recordRequest(latency, serviceTime, now)
	}
}

// recordRequest adds a request to the report of the current window.
func (vm *modelVM) recordRequest(latency, serviceTime, now time.Duration) {
	end := now/window*window + window
	if n := len(vm.reports); n == 0 || vm.reports[n-1].m.Taken != end {
		vm.reports = append(vm.reports, report{
			due:    end + reportLag,
			m:      colocation.Measurement{From: end - window, Taken: end},
			sample: colocation.Sample{Service: vm.service, Taken: end, Load: vm.load(), Utilisation: utilisation},
		})
	}
	r := &vm.reports[len(vm.reports)-1]
	if len(r.m.Services) == 0 {
		r.m.Services = []colocation.Tail{{Service: vm.service, Wait: wait}}
	}
	r.latencies = append(r.latencies, latency)
	r.sample.MeanTime = (r.sample.MeanTime*time.Duration(r.sample.Requests) + serviceTime) / time.Duration(r.sample.Requests+1)
	r.sample.Requests++
}

func (vm *modelVM) load() map[string]float64 {
	load := map[string]float64{}
	for _, t := range vm.tasks {
		load[t.kind] += t.share
	}
	return load
}

// progress advances the tasks by one second; evicted ones go back to the queue.
func (m *model) progress(vm *modelVM, now time.Duration) {
	vm.tasks = slices.DeleteFunc(vm.tasks, func(t *modelTask) bool {
		if t.leavesAt > 0 {
			if now >= t.leavesAt {
				m.result.wasted += t.done - t.checkpointed
				m.result.work -= t.done - t.checkpointed
				t.done, t.leavesAt = t.checkpointed, 0
				m.queue = append(m.queue, t)
				return true
			}
			return false
		}
		gained := min(time.Duration(float64(time.Second)*t.share), t.work-t.done)
		t.done += gained
		m.result.work += gained
		return t.done >= t.work
	})
}

// deliverReports carries out the guard's actions after applyLag and delivers the reports
// that are due.
func (m *model) deliverReports(vm *modelVM, now time.Duration) {
	if len(vm.actions) > 0 && now >= vm.applyAt {
		for _, a := range vm.actions {
			m.applyAction(vm, a, now)
		}
		vm.actions = nil
		vm.guard.Applied(now)
	}
	for len(vm.reports) > 0 && vm.reports[0].due <= now {
		r := vm.reports[0]
		vm.reports = vm.reports[1:]
		if m.policy.estimator != nil {
			m.policy.estimator.Add(r.sample)
		}
		if vm.guard == nil || len(vm.actions) > 0 {
			continue
		}
		r.m.Tasks = vm.guardTasks()
		slices.Sort(r.latencies)
		r.m.Services[0].Latency = r.latencies[len(r.latencies)*99/100]
		r.m.Services[0].Requests = len(r.latencies)
		vm.actions = vm.guard.Decide(now, r.m)
		vm.applyAt = now + applyLag
	}
}

func (vm *modelVM) guardTasks() []colocation.Task {
	var tasks []colocation.Task
	for _, t := range vm.tasks {
		tasks = append(tasks, colocation.Task{
			ID: t.id, Kind: t.kind, TaskKind: structs.KindBatch, Share: t.share, MilliCPU: 1000, Leaving: t.leavesAt > 0,
		})
	}
	slices.SortFunc(tasks, func(a, b colocation.Task) int { return cmp.Compare(a.ID, b.ID) })
	return tasks
}

func (m *model) applyAction(vm *modelVM, a colocation.Action, now time.Duration) {
	i := slices.IndexFunc(vm.tasks, func(t *modelTask) bool { return t.id == a.TaskID })
	if i < 0 {
		return
	}
	t := vm.tasks[i]
	switch a.Kind {
	case colocation.SetShare:
		t.share = a.Share
	case colocation.TakeCheckpoint:
		t.checkpointed = t.done
	case colocation.EvictTask:
		t.checkpointed = t.done // an eviction takes a checkpoint
		t.leavesAt = now + checkpointTime
		m.result.evictions++
	}
}
