package leader

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"golang.org/x/time/rate"

	"bamboowood/internal/planner"
)

var (
	tasksHeldBack = metrics.NewCounter("bamboowood_tasks_held_back_total")
	gapsFilled    = metrics.NewCounter("bamboowood_gaps_filled_total")
	// reservationLogs limits the log lines on reservations to one a second for each change.
	reservationLogs = map[planner.ReservationChange]*rate.Sometimes{
		planner.ReservationMade:       {Interval: time.Second},
		planner.ReservationMoved:      {Interval: time.Second},
		planner.ReservationOverdue:    {Interval: time.Second},
		planner.ReservationStepEnded:  {Interval: time.Second},
		planner.ReservationRunnerLost: {Interval: time.Second},
		planner.ReservationIncomplete: {Interval: time.Second},
		planner.ReservationOutranked:  {Interval: time.Second},
	}
)

// reportReservations counts the changes of reservations in a plan, and logs those made and given up.
func (r *leadership) reportReservations(orders planner.Orders) {
	tasksHeldBack.Add(orders.TasksHeldBack)
	gapsFilled.Add(orders.GapsFilled)
	for _, e := range orders.Reservations {
		metrics.GetOrCreateCounter(fmt.Sprintf("bamboowood_reservations_total{change=%q}", string(e.Change))).Inc()
		logs := reservationLogs[e.Change]
		if logs == nil {
			continue // a kept reservation shows as its start
		}
		logs.Do(func() {
			message := "reservation given up"
			if e.Change == planner.ReservationMade {
				message = "reservation made"
			}
			r.opts.Logger.WithFields(log.Fields{
				"job": e.Task.Job, "occurrence": e.Task.Occurrence, "step": e.Task.Step, "agent": e.Agent,
				"reason": string(e.Change), "in_ms": e.In.Milliseconds(),
			}).Info(message)
		})
	}
}
