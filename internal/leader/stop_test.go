package leader

import (
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"bamboowood/internal/job"
	"bamboowood/internal/wire"
	"bamboowood/internal/wire/wirepb"
)

// Guards against logs that do not say why a run was stopped, or say it again in each session.
func TestLeader_LogsReasonOfStop(t *testing.T) {
	hooked, _ := newHookedStore(t)
	jobLedger := newLedger(hooked)
	a := newFakeAgent(t)
	must.NoError(t, jobLedger.RegisterAgent(t.Context(), "a", a.address))
	logs := &memory.Handler{}
	_, stop := runLeaderWith(t, jobLedger, func(o *Options) { o.Logger = &log.Logger{Handler: logs, Level: log.InfoLevel} })
	j := testJob(1)
	must.NoError(t, jobLedger.Accept(t.Context(), j))
	started := a.await(t, hasStarts).message.Starts[0].Details.Run
	run, err := wire.Run(started)
	must.NoError(t, err)
	must.NoError(t, jobLedger.Cancel(t.Context(), j.ID))
	first := a.await(t, hasStops)
	a.set(func() { a.active = []*wirepb.RunActivity{{Run: started}} })
	a.closeSessions()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return a.count(hasStops) > 1 }), wait.Timeout(8*time.Second), wait.Gap(5*time.Millisecond)))
	stop()
	must.Len(t, 1, first.message.Stops)
	var lines []log.Fields
	for _, e := range logs.Entries {
		if e.Message == "stop ordered" {
			lines = append(lines, e.Fields)
		}
	}
	want := log.Fields{"term": int64(1), "agent": "a", "reason": "job-cancelled", "run": run.Number, "task": job.Task{Job: j.ID}.String()}
	test.Eq(t, []log.Fields{want}, lines)
}
