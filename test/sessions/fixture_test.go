package sessions_test

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"sync"
	"time"

	"bamboowood/internal/command"
	"bamboowood/internal/control"
	"bamboowood/internal/ingress"
	"bamboowood/internal/operators"
	"bamboowood/internal/platform"
	"bamboowood/internal/query"
	"bamboowood/internal/standin"
	"bamboowood/internal/state"
	"bamboowood/internal/statement"
	"bamboowood/internal/structs"
)

// bodiesLimit bounds the bodies of all operators in bytes.
const bodiesLimit = 8 << 20

// deployment is the operators' HTTP handler of an entry backed by a stand-in of
// the table, with a clock that only the script advances.
type deployment struct {
	table   *standin.Table
	control *control.Holder
	server  *httptest.Server
	// entryA and entryB are the commanders of two entries, used by the operators ana and
	// bea.
	entryA, entryB *command.Commander

	mu       sync.Mutex
	now      time.Time
	inFlight map[string]int
	// beforeCommit is called once, before the next commit of entryA.
	beforeCommit     func()
	injectedCommands int
	// dropCommits makes commits of entryA fail before they take effect.
	dropCommits bool
}

// Resources of the VMs and jobs.
var (
	vmSize       = structs.Resources{MilliCPU: 64_000, MemoryMB: 250_000}
	jobSize      = structs.Resources{MilliCPU: 16_000, MemoryMB: 65_536}
	largeJobSize = structs.Resources{MilliCPU: 60_000, MemoryMB: 131_072}
)

func newDeployment(ctx context.Context) (*deployment, error) {
	d := &deployment{
		table: standin.NewTable(), control: control.NewHolder(), inFlight: map[string]int{},
		now: time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC),
	}
	d.entryA, d.entryB = command.New(interceptedTable{d.table, d}, d.clock), command.New(d.table, d.clock)
	if err := d.populate(ctx); err != nil {
		return nil, err
	}
	d.server = httptest.NewServer(operators.Handler(operators.Options{
		Commander: d.entryA, Queries: query.NewAt(d.table, d, d.control, d.clock),
		Tokens: []operators.Token{
			{Name: "ana", Secret: "ana-secret", Role: operators.RoleOperate},
			{Name: "rita", Secret: "rita-secret", Role: operators.RoleRead},
		},
		Bodies:   ingress.NewGate(bodiesLimit, 0, nil),
		OnChange: func() { _ = d.reload(context.Background()) },
	}))
	return d, d.reload(ctx)
}

func (d *deployment) clock() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.now
}

func (d *deployment) advance(by time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.now = d.now.Add(by)
}

func (d *deployment) reload(ctx context.Context) error {
	config, err := state.LoadConfig(ctx, d.table)
	if err == nil {
		d.control.Merge(config)
	}
	return err
}

// zones is sorted by name.
var zones = []string{"centro", "norte", "puerto", "sur"}

// populate creates four zones with two VMs each, three jobs and two watches.
func (d *deployment) populate(ctx context.Context) error {
	config := structs.Config{
		Services: map[string]structs.Service{"glint-check": {Name: "glint-check", WaitMS: 300, Idempotent: true}},
		Zones:    map[string]structs.Zone{},
		Teams: map[string]structs.Team{
			"workshops": {Name: "workshops", Quota: structs.Resources{MilliCPU: 96_000, MemoryMB: 500_000}},
			"guild":     {Name: "guild", Quota: structs.Resources{MilliCPU: 32_000, MemoryMB: 200_000}},
		},
		Kinds: map[string]structs.Kind{"recalibration": {Name: "recalibration", Kind: structs.KindBatch, Team: "workshops", Declared: jobSize}},
	}
	for _, zone := range zones {
		config.Zones[zone] = structs.Zone{Name: zone, State: structs.ZoneActive}
	}
	if err := d.entryB.Bootstrap(ctx, config); err != nil {
		return err
	}
	for _, zone := range zones {
		for i := range 2 {
			if err := d.createVM(ctx, fmt.Sprintf("%s-w%d", zone, i+1), zone); err != nil {
				return err
			}
		}
	}
	return d.createTasks(ctx)
}

func (d *deployment) createVM(ctx context.Context, id, zone string) error {
	vm := structs.VM{
		ID: id, Zone: zone, Rack: zone + "-r1", Incarnation: 1, Capacity: vmSize,
		ServiceReserve: structs.Resources{MilliCPU: 8000, MemoryMB: 16_384}, Services: []string{"glint-check"},
	}
	if err := put(ctx, d.table, state.VMKey(id), vm); err != nil {
		return err
	}
	lease := structs.Lease{VM: id, Incarnation: 1, Sequence: 1, DurationMS: 30_000}
	return put(ctx, d.table, state.LeaseKey(id), lease)
}

func (d *deployment) createTasks(ctx context.Context) error {
	at := d.now.Add(-10 * time.Minute)
	watchSize := structs.Resources{MilliCPU: 1000, MemoryMB: 1024}
	for _, t := range []struct {
		id, name, team, vm string
		kind               structs.TaskKind
		size               structs.Resources
	}{
		{"rc-1", "recalibration", "workshops", "norte-w1", structs.KindBatch, jobSize},
		{"rc-2", "recalibration", "workshops", "norte-w1", structs.KindBatch, jobSize},
		{"rc-3", "recalibration", "workshops", "", structs.KindBatch, largeJobSize},
		{"lash-1", "lash-watch", "guild", "norte-w2", structs.KindWatch, watchSize},
		{"lash-2", "lash-watch", "guild", "sur-w1", structs.KindWatch, watchSize},
	} {
		task := structs.Task{
			ID: t.id, State: structs.StatePending, SubmittedAt: at, ChangedAt: at, Reason: "waits for room",
			Spec: structs.TaskSpec{Name: t.name, Kind: t.kind, Team: t.team, Declared: t.size, MaxGapMS: 60_000},
		}
		if t.vm != "" {
			if err := d.place(ctx, &task, t.vm); err != nil {
				return err
			}
		}
		if err := d.putTask(ctx, task); err != nil {
			return err
		}
	}
	return nil
}

// putTask writes a task and adds or deletes its queue entry.
func (d *deployment) putTask(ctx context.Context, t structs.Task) error {
	key := state.QueueKey(t.Spec.Priority, t.ID)
	entry, err := state.Get[structs.QueueEntry](ctx, d.table, key)
	if err != nil {
		return err
	}
	row, err := state.Get[structs.Task](ctx, d.table, state.TaskKey(t.ID))
	if err != nil {
		return err
	}
	tx := state.NewTx()
	tx.Put(row.Key, row.Version, t)
	switch {
	case t.State == structs.StatePending:
		tx.Put(key, entry.Version, structs.NewQueueEntry(t))
	case entry.Exists():
		tx.Delete(key, entry.Version)
	}
	return state.Commit(ctx, d.table, tx)
}

// place records a task as running on a VM, as the scheduler and an agent would.
func (d *deployment) place(ctx context.Context, t *structs.Task, vmID string) error {
	vm, err := state.Get[structs.VM](ctx, d.table, state.VMKey(vmID))
	if err != nil {
		return err
	}
	at := d.clock()
	t.Fence++
	t.History = append(t.History, structs.Transition{At: at, From: t.State, To: structs.StateRunning, VM: vmID, Fence: t.Fence, Reason: "started"})
	t.State, t.Reason, t.ChangedAt = structs.StateRunning, "started", at
	t.Owner, t.Reserved = structs.Owner{VM: vmID, Incarnation: 1}, t.Spec.Declared
	if vm.Value.Tasks == nil {
		vm.Value.Tasks = map[string]structs.Reservation{}
	}
	vm.Value.Tasks[t.ID] = structs.NewReservation(*t, at)
	return put(ctx, d.table, vm.Key, vm.Value)
}

// move evicts a task from its VM, if it has one, and places it on another VM or
// leaves it pending.
func (d *deployment) move(ctx context.Context, id, to string) error {
	row, err := state.Get[structs.Task](ctx, d.table, state.TaskKey(id))
	if err != nil {
		return err
	}
	t := row.Value
	if t.Owner.VM != "" {
		if err := d.evict(ctx, &t); err != nil {
			return err
		}
	}
	if to != "pending" {
		if err := d.place(ctx, &t, to); err != nil {
			return err
		}
	}
	return d.putTask(ctx, t)
}

func (d *deployment) evict(ctx context.Context, t *structs.Task) error {
	vm, err := state.Get[structs.VM](ctx, d.table, state.VMKey(t.Owner.VM))
	if err != nil {
		return err
	}
	delete(vm.Value.Tasks, t.ID)
	at, reason := d.clock(), "evicted: its zone is out"
	t.Evictions++
	t.History = append(t.History, structs.Transition{At: at, From: t.State, To: structs.StatePending, VM: t.Owner.VM, Fence: t.Fence, Reason: reason})
	t.State, t.Reason, t.ChangedAt = structs.StatePending, reason, at
	t.Owner, t.Reserved, t.Checkpoint = structs.Owner{}, structs.Resources{}, "checkpoint/"+t.ID
	return put(ctx, d.table, vm.Key, vm.Value)
}

func put(ctx context.Context, table platform.Table, key string, value any) error {
	row, err := state.Get[any](ctx, table, key)
	if err != nil {
		return err
	}
	tx := state.NewTx()
	tx.Put(key, row.Version, value)
	return state.Commit(ctx, table, tx)
}

// Upstreams implements query.LocalView.
func (d *deployment) Upstreams() []structs.UpstreamStatus {
	config := d.control.Load()
	d.mu.Lock()
	defer d.mu.Unlock()
	var statuses []structs.UpstreamStatus
	for _, zone := range zones {
		for i := range 2 {
			s := structs.UpstreamStatus{
				VM: fmt.Sprintf("%s-w%d", zone, i+1), Zone: zone, Rack: zone + "-r1", Services: []string{"glint-check"},
				Incarnation: 1, Slots: 8, ServiceMicros: 20_500, State: "ready", ControlVersion: config.Version,
				LeaseRemainingMS: 25_000, AgeMS: 400,
			}
			if !control.ZoneActive(config, zone) {
				s.State = "zone-out"
			}
			s.InFlight = d.inFlight[s.VM]
			statuses = append(statuses, s)
		}
	}
	return statuses
}

// Entries implements query.LocalView.
func (d *deployment) Entries() []structs.EntryStatus {
	return []structs.EntryStatus{{Address: "10.0.0.1:7480", Zone: "centro", Sessions: 8, Scheduling: true, ControlVersion: d.control.Version()}}
}

// injectCommand makes entryB run a command between the decision and the commit of
// entryA's next command.
func (d *deployment) injectCommand(text string) error {
	s, err := statement.Parse(text)
	if err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.injectedCommands++
	order := command.Request{ID: fmt.Sprintf("bea-%d", d.injectedCommands), Author: "bea", Statement: s}
	d.beforeCommit = func() {
		if _, err := d.entryB.Run(context.Background(), order); err != nil {
			panic(err)
		}
	}
	return nil
}

// interceptedTable is the table that entryA uses. It applies dropCommits and
// beforeCommit.
type interceptedTable struct {
	platform.Table
	deployment *deployment
}

func (i interceptedTable) Commit(ctx context.Context, tx platform.Tx) (int64, error) {
	i.deployment.mu.Lock()
	beforeCommit, dropCommits := i.deployment.beforeCommit, i.deployment.dropCommits
	i.deployment.beforeCommit = nil
	i.deployment.mu.Unlock()
	if dropCommits {
		return 0, errors.New("connection cut")
	}
	if beforeCommit != nil {
		beforeCommit()
	}
	return i.Table.Commit(ctx, tx)
}
