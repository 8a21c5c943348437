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

// AlarmNames lists the names of all alarms.
var AlarmNames = []string{AlarmSilentWatch, AlarmStuckDrain, AlarmUnplaceable, AlarmTableOutage, AlarmLeaseEnding}

// Thresholds and timeouts of the alarms.
const (
	// defaultMaxGap is the maximum gap of a watch that does not set one.
	defaultMaxGap = time.Minute
	// stuckDrainThreshold is how long a drained zone or worker may still run tasks
	// before its drain counts as stuck.
	stuckDrainThreshold = 5 * time.Minute
	// A VM lease counts as ending when less than duration/leaseEndingDivisor remains.
	// Renewals every third of the duration keep
	// the remaining time above that.
	leaseEndingDivisor = 2
	// tableTimeout bounds the read of one row and alarmReadTimeout that of all
	// rows; a slower table counts as an outage.
	tableTimeout     = 2 * time.Second
	alarmReadTimeout = 8 * time.Second
	// alarmMaxAge is how long the gauges reuse an evaluation, because each evaluation
	// reads all tasks.
	alarmMaxAge = time.Minute
)

// alarmState caches the last evaluation for the gauges.
type alarmState struct {
	mu          sync.Mutex
	evaluatedAt time.Time
	rows        []statement.AlarmRow
	// lastReadAt is the time of the last complete read of the table.
	lastReadAt time.Time
	// leaseDurations has each VM's lease duration, as last read from the table.
	leaseDurations map[string]time.Duration
}

// Alarms evaluates all alarms now. If the table does not answer, it returns the
// outage and the alarms that do not depend on the table.
func (q *Queries) Alarms(ctx context.Context) []statement.AlarmRow {
	q.alarms.mu.Lock()
	defer q.alarms.mu.Unlock()
	return q.evaluate(ctx)
}

// UpdateGauges sets the gauges bamboowood_alarm_active{alarm="..."} to the number
// of objects with each alarm. It probes the table on each call; the other alarms
// are at most alarmMaxAge old.
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
		rows = append(rows, q.outageAlarm(err))
	} else {
		q.alarms.lastReadAt = q.now()
		rows = slices.Concat(rows, snapshot.taskAlarms(), snapshot.drainAlarms())
	}
	rows = append(rows, q.leaseAlarms()...)
	q.alarms.rows, q.alarms.evaluatedAt = rows, q.now()
	return rows
}

func (q *Queries) outageAlarm(err error) statement.AlarmRow {
	detail := "the table does not answer: " + err.Error()
	if !q.alarms.lastReadAt.IsZero() {
		detail = fmt.Sprintf("no whole answer since %s: %v", q.alarms.lastReadAt.UTC().Format(time.RFC3339), err)
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

// readForAlarms reads a snapshot with the tasks that may raise alarms, the lease
// durations and the times of the workers' drain commands.
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
	q.alarms.leaseDurations = make(map[string]time.Duration, len(leases))
	for _, l := range leases {
		q.alarms.leaseDurations[l.VM] = millis(l.DurationMS)
	}
	s, err := q.readTasks(ctx, isAlarmCandidate)
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

// leaseAlarms returns an alarm for each VM whose lease was not renewed in time,
// according to the last report of its agent.
func (q *Queries) leaseAlarms() []statement.AlarmRow {
	var rows []statement.AlarmRow
	for _, u := range q.local.Upstreams() {
		duration, found := q.alarms.leaseDurations[u.VM]
		remaining := millis(u.LeaseRemainingMS - u.AgeMS)
		if !found || remaining >= duration/leaseEndingDivisor {
			continue
		}
		detail := fmt.Sprintf("its lease was not renewed and ends in %s", remaining)
		if remaining <= 0 {
			detail = "its lease has lapsed; its tasks have stopped"
		}
		rows = append(rows, statement.AlarmRow{Alarm: AlarmLeaseEnding, Object: "worker " + u.VM, Detail: detail})
	}
	return rows
}

// isAlarmCandidate reports whether a task may raise an alarm.
func isAlarmCandidate(_ *snapshot, t structs.Task) bool {
	return t.State == structs.StatePending || t.Spec.Kind == structs.KindWatch && t.State != structs.StateRunning
}

func (s *snapshot) taskAlarms() []statement.AlarmRow {
	var rows []statement.AlarmRow
	for _, t := range s.tasks {
		if isSilent(t, s.now) {
			rows = append(rows, statement.AlarmRow{
				Alarm: AlarmSilentWatch, Object: "watch " + t.ID,
				Detail: fmt.Sprintf("not running for %s: %s", watchGap(t, s.now).Round(time.Second), t.Reason),
			})
		}
		if detail := s.unplaceableReason(t); detail != "" {
			rows = append(rows, statement.AlarmRow{Alarm: AlarmUnplaceable, Object: kindName(t) + " " + t.ID, Detail: detail})
		}
	}
	return rows
}

// unplaceableReason returns why a pending task can never be placed, or "".
func (s *snapshot) unplaceableReason(t structs.Task) string {
	if t.State != structs.StatePending {
		return ""
	}
	if team, ok := s.teams[t.Spec.Team]; ok && !t.Spec.Declared.Fits(team.Quota) {
		return fmt.Sprintf("asks for %s, more than the whole quota of team %s (%s)", t.Spec.Declared, team.Name, team.Quota)
	}
	if len(s.vms) > 0 && s.countFits(t, t.Spec.Declared).largeEnough == 0 {
		return fmt.Sprintf("asks for %s, which no worker that takes work has", t.Spec.Declared)
	}
	return ""
}

// drainAlarms returns an alarm for each zone and worker that still runs tasks
// longer than stuckDrainThreshold after it was drained.
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
	if tasks == 0 || since <= stuckDrainThreshold {
		return nil
	}
	detail := fmt.Sprintf("out for %s and still with %s", since.Round(time.Second), countNoun(tasks, "task"))
	return []statement.AlarmRow{{Alarm: AlarmStuckDrain, Object: object, Detail: detail}}
}

func millis(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

func kindName(t structs.Task) string {
	if t.Spec.Kind == structs.KindWatch {
		return "watch"
	}
	return "job"
}
