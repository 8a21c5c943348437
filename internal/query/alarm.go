package query

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"bamboowood/internal/state"
	"bamboowood/internal/statement"
	"bamboowood/internal/structs"
)

// Names of the alarms.
const (
	AlarmSilentWatch = "silent-watch"
	AlarmStuckDrain  = "stuck-drain"
	AlarmUnplaceable = "unplaceable-job"
	AlarmTableOutage = "table-outage"
	AlarmLeaseEnding = "lease-ending"
)

// AlarmNames is the list of all alarms.
var AlarmNames = []string{AlarmSilentWatch, AlarmStuckDrain, AlarmUnplaceable, AlarmTableOutage, AlarmLeaseEnding}

// Bounds of the alarms.
const (
	// defaultMaxGap is the bound of a watch that names none.
	defaultMaxGap = time.Minute
	// stuckDrainAfter is how long a zone or worker may be out while tasks run
	// there.
	stuckDrainAfter = 5 * time.Minute
	// leaseEndingShare is the rest of a VM lease, as a divisor of its duration,
	// that a renewal every third of the duration never reaches.
	leaseEndingShare = 2
	// tableTimeout is how long the table may take for one row before that is an
	// outage, and alarmReadTimeout for all rows.
	tableTimeout     = 2 * time.Second
	alarmReadTimeout = 8 * time.Second
	// alarmMaxAge is how long the gauges reuse an earlier evaluation, which
	// reads all tasks.
	alarmMaxAge = time.Minute
)

// alarmState keeps the last evaluation for the gauges.
type alarmState struct {
	mu          sync.Mutex
	evaluatedAt time.Time
	rows        []statement.AlarmRow
	// answeredAt is when the table last answered.
	answeredAt time.Time
	// leases has the duration of each VM's lease when the table last answered.
	leases map[string]time.Duration
}

// Alarms evaluates all alarms now. Without the table it returns those that the
// entry sees itself, and the outage.
func (q *Queries) Alarms(ctx context.Context) []statement.AlarmRow {
	q.alarms.mu.Lock()
	defer q.alarms.mu.Unlock()
	return q.evaluate(ctx)
}

// UpdateGauges sets the gauges bamboowood_alarm_active{alarm="..."} to the number
// of objects with the alarm. The table is probed each time; the rest is at most
// alarmMaxAge old.
func (q *Queries) UpdateGauges(ctx context.Context) {
	q.alarms.mu.Lock()
	defer q.alarms.mu.Unlock()
	rows := q.alarms.rows
	outage := slices.ContainsFunc(rows, func(r statement.AlarmRow) bool { return r.Alarm == AlarmTableOutage })
	age := q.now().Sub(q.alarms.evaluatedAt)
	if age > alarmMaxAge || age < 0 || outage != (q.probe(ctx) != nil) {
		rows = q.evaluate(ctx)
	}
	for _, name := range AlarmNames {
		active := 0
		for _, row := range rows {
			if row.Alarm == name {
				active++
			}
		}
		metrics.GetOrCreateGauge(fmt.Sprintf("bamboowood_alarm_active{alarm=%q}", name), nil).Set(float64(active))
	}
}

func (q *Queries) evaluate(ctx context.Context) []statement.AlarmRow {
	var rows []statement.AlarmRow
	snapshot, err := q.readForAlarms(ctx)
	if err != nil {
		rows = append(rows, q.outage(err))
	} else {
		q.alarms.answeredAt = q.now()
		rows = slices.Concat(rows, snapshot.taskAlarms(), snapshot.drainAlarms())
	}
	rows = append(rows, q.leaseAlarms()...)
	q.alarms.rows, q.alarms.evaluatedAt = rows, q.now()
	return rows
}

func (q *Queries) outage(err error) statement.AlarmRow {
	detail := "the table does not answer: " + err.Error()
	if !q.alarms.answeredAt.IsZero() {
		detail = fmt.Sprintf("no whole answer since %s: %v", q.alarms.answeredAt.UTC().Format(time.RFC3339), err)
	}
	return statement.AlarmRow{Alarm: AlarmTableOutage, Object: "table", Detail: detail}
}

// probe reads one row within tableTimeout.
func (q *Queries) probe(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	_, err := state.Get[state.Control](ctx, q.table, state.ControlKey)
	return err
}

// readForAlarms reads the snapshot, the durations of the leases and the times of
// the workers' drain orders.
func (q *Queries) readForAlarms(ctx context.Context) (*snapshot, error) {
	if err := q.probe(ctx); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, alarmReadTimeout)
	defer cancel()
	leases, err := listAfter[structs.Lease](ctx, q.table, state.LeasePrefix, "")
	if err != nil {
		return nil, err
	}
	q.alarms.leases = make(map[string]time.Duration, len(leases))
	for _, l := range leases {
		q.alarms.leases[l.VM] = millis(l.DurationMS)
	}
	s, err := q.readTasks(ctx, mayAlarm)
	if err != nil {
		return nil, err
	}
	if s.teams, err = q.teams(ctx); err != nil {
		return nil, err
	}
	s.drainedAt = make(map[string]time.Time, len(s.control.DrainedBy))
	for vm, id := range s.control.DrainedBy {
		change, err := state.Get[structs.Change](ctx, q.table, state.CommandKey(id))
		if err != nil {
			return nil, err
		}
		s.drainedAt[vm] = change.Value.At
	}
	return s, nil
}

// leaseAlarms names the VMs whose lease was not renewed in time, by what their
// agents last reported.
func (q *Queries) leaseAlarms() []statement.AlarmRow {
	var rows []statement.AlarmRow
	for _, u := range q.live.Upstreams() {
		duration, held := q.alarms.leases[u.VM]
		left := millis(u.LeaseRemainingMS - u.AgeMS)
		if !held || left >= duration/leaseEndingShare {
			continue
		}
		detail := fmt.Sprintf("its lease was not renewed and ends in %s", left)
		if left <= 0 {
			detail = "its lease has lapsed; its tasks have stopped"
		}
		rows = append(rows, statement.AlarmRow{Alarm: AlarmLeaseEnding, Object: "worker " + u.VM, Detail: detail})
	}
	return rows
}

// mayAlarm reports whether a task is one that alarms are about.
func mayAlarm(_ *snapshot, t structs.Task) bool {
	return t.State == structs.StatePending || t.Spec.Kind == structs.KindWatch && t.State != structs.StateRunning
}

func (s *snapshot) taskAlarms() []statement.AlarmRow {
	var rows []statement.AlarmRow
	for _, t := range s.tasks {
		if silent(t, s.now) {
			rows = append(rows, statement.AlarmRow{
				Alarm: AlarmSilentWatch, Object: "watch " + t.ID,
				Detail: fmt.Sprintf("not running for %s: %s", gapOf(t, s.now).Round(time.Second), t.Reason),
			})
		}
		if detail := s.unplaceable(t); detail != "" {
			rows = append(rows, statement.AlarmRow{Alarm: AlarmUnplaceable, Object: kindName(t) + " " + t.ID, Detail: detail})
		}
	}
	return rows
}

// unplaceable says why a pending task cannot run however long it waits, or "".
func (s *snapshot) unplaceable(t structs.Task) string {
	if t.State != structs.StatePending {
		return ""
	}
	if team, ok := s.teams[t.Spec.Team]; ok && !t.Spec.Declared.Fits(team.Quota) {
		return fmt.Sprintf("asks for %s, more than the whole quota of team %s (%s)", t.Spec.Declared, team.Name, team.Quota)
	}
	if len(s.vms) > 0 && s.fit(t, t.Spec.Declared).everFits == 0 {
		return fmt.Sprintf("asks for %s, which no worker that takes work has", t.Spec.Declared)
	}
	return ""
}

// drainAlarms names the zones and workers that have been out for long while
// tasks still run there.
func (s *snapshot) drainAlarms() []statement.AlarmRow {
	var rows []statement.AlarmRow
	for _, z := range s.zoneRows(nil) {
		if z.State == string(structs.ZoneDrained) {
			rows = append(rows, s.drainAlarm("zone "+z.Name, z.Changed, int(z.Tasks))...)
		}
	}
	for _, vm := range s.vms {
		if at, ok := s.drainedAt[vm.ID]; ok {
			rows = append(rows, s.drainAlarm("worker "+vm.ID, at, len(vm.Tasks))...)
		}
	}
	return rows
}

func (s *snapshot) drainAlarm(object string, at time.Time, tasks int) []statement.AlarmRow {
	since := s.now.Sub(at)
	if tasks == 0 || since <= stuckDrainAfter {
		return nil
	}
	detail := fmt.Sprintf("out for %s and still with %s", since.Round(time.Second), count(tasks, "task"))
	return []statement.AlarmRow{{Alarm: AlarmStuckDrain, Object: object, Detail: detail}}
}

func millis(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

func kindName(t structs.Task) string {
	if t.Spec.Kind == structs.KindWatch {
		return "watch"
	}
	return "job"
}
