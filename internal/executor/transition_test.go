package executor_test

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"bamboowood/internal/executor"
	"bamboowood/internal/standin"
	"bamboowood/internal/state"
	"bamboowood/internal/structs"
	"bamboowood/internal/task"
)

// A task whose start transaction took longer than the start bound must be requeued
// without being started.
func TestStart_LateCommitIsRequeued(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		runCluster(t, 1, func(c *cluster) {
			p := c.agent("a")
			c.submit(t, "t1", batchSpec())
			time.Sleep(2 * time.Second)
			c.place()
			c.table.Faults().Set(standin.OpCommit, standin.Fault{AnswerLatency: executor.DefaultStartBound + 100*time.Millisecond})
			p.PlacementsChanged()
			c.waitForState(t, "t1", structs.StatePending, 20*time.Second)
			must.Len(t, 0, c.runs("t1"))
			must.Eq(t, "start-bound-exceeded", c.task(t, "t1").Reason)
			c.table.Faults().Clear()
			c.place()
			p.PlacementsChanged()
			c.waitForState(t, "t1", structs.StateRunning, 5*time.Second)
		})
	})
}

// A start whose answer was lost must be repeated, not abandoned.
func TestStart_LostAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		runCluster(t, 1, func(c *cluster) {
			c.agent("a")
			c.scheduler()
			c.workers["a"].Faults().Set(standin.OpStart, standin.Fault{LoseNext: 3})
			c.submit(t, "t1", batchSpec())
			c.waitForState(t, "t1", structs.StateSucceeded, 4*time.Minute)
			must.Len(t, 1, c.runs("t1"))
		})
	})
}

// A worker that refuses every start must not use up the task's attempts and must
// not be called in a tight loop.
func TestStart_WorkerRefusesAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		runCluster(t, 1, func(c *cluster) {
			c.agent("a")
			c.scheduler()
			c.workers["a"].Faults().Set(standin.OpStart, standin.Fault{Refuse: true})
			c.submit(t, "t1", batchSpec())
			time.Sleep(10 * time.Minute)
			got := c.task(t, "t1")
			must.Eq(t, 0, got.Attempts)
			must.Between(t, 10, got.Fence, 120)
			c.workers["a"].Faults().Clear()
			c.waitForState(t, "t1", structs.StateSucceeded, 5*time.Minute)
		})
	})
}

// A completion that the agent could not report before it was killed must be
// reported by the next process. The task must not run again, even if recovery has
// requeued it.
func TestCompletion_FoundAfterRestart(t *testing.T) {
	for _, away := range []time.Duration{5 * time.Second, 5 * time.Minute} {
		t.Run(away.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				runCluster(t, 1, func(c *cluster) {
					p := c.agent("a")
					c.recovery()
					c.scheduler()
					spec := batchSpec()
					spec.DurationMS = 10_000
					c.submit(t, "t1", spec)
					c.waitForState(t, "t1", structs.StateRunning, 20*time.Second)
					time.Sleep(5 * time.Second)
					p.kill()
					time.Sleep(away)
					if away > time.Minute {
						must.Eq(t, structs.StatePending, c.task(t, "t1").State)
					}
					c.agent("a")
					c.waitForState(t, "t1", structs.StateSucceeded, time.Minute)
					must.Len(t, 1, c.runs("t1"))
				})
			})
		})
	}
}

// An unreported completion must count even if the task is placed on the VM again
// before the VM's new process has listed the worker's tasks.
func TestCompletion_FoundAfterPlacedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		runCluster(t, 1, func(c *cluster) {
			p := c.agent("a")
			c.recovery()
			c.scheduler()
			spec := batchSpec()
			spec.DurationMS = 10_000
			c.submit(t, "t1", spec)
			c.waitForState(t, "t1", structs.StateRunning, 20*time.Second)
			p.kill()
			c.waitForState(t, "t1", structs.StatePending, 5*time.Minute)
			// Longer than the scheduler's interval, shorter than the worker
			// timeout.
			c.workers["a"].Faults().Set(standin.OpList, standin.Fault{Latency: 1500 * time.Millisecond})
			c.agent("a")
			c.waitForState(t, "t1", structs.StateSucceeded, time.Minute)
			must.Len(t, 1, c.runs("t1"))
		})
	})
}

// On a worker where every start fails, a batch task must use up its attempts with
// increasing delays, and a watch must never end.
func TestFailingWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		runCluster(t, 1, func(c *cluster) {
			c.agent("a")
			c.scheduler()
			c.workers["a"].FailEverything(true)
			c.submit(t, "t1", batchSpec())
			watch := batchSpec()
			watch.Kind, watch.DurationMS = structs.KindWatch, 0
			c.submit(t, "w1", watch)
			c.waitForState(t, "t1", structs.StateFailed, 10*time.Minute)
			got := c.task(t, "t1")
			must.Eq(t, task.MaxAttempts, got.Attempts)
			must.Eq(t, "worker: failed on start", got.Reason)
			runs := c.runs("t1")
			must.Len(t, task.MaxAttempts, runs)
			for i := 2; i < len(runs); i++ {
				must.Greater(t, runs[i-1].From.Sub(runs[i-2].From), runs[i].From.Sub(runs[i-1].From))
			}
			time.Sleep(time.Hour)
			must.Greater(t, task.MaxAttempts, c.task(t, "w1").Attempts)
			c.workers["a"].FailEverything(false)
			c.waitForState(t, "w1", structs.StateRunning, 2*task.BackoffMax)
		})
	})
}

// A graceful shutdown must requeue every task at once and without loss of progress.
func TestRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		runCluster(t, 2, func(c *cluster) {
			p := c.agent("a")
			c.recovery()
			c.submit(t, "t1", batchSpec())
			c.submit(t, "t2", batchSpec())
			time.Sleep(2 * time.Second)
			c.place()
			c.waitForState(t, "t1", structs.StateRunning, 20*time.Second)
			c.waitForState(t, "t2", structs.StateRunning, 20*time.Second)
			time.Sleep(20 * time.Second)
			must.NoError(t, p.Release(c.ctx))
			p.cancel()
			c.agent("b")
			c.scheduler()
			must.Eq(t, structs.StatePending, c.task(t, "t1").State)
			must.Eq(t, structs.StatePending, c.task(t, "t2").State)
			for _, id := range []string{"t1", "t2"} {
				c.waitForState(t, id, structs.StateSucceeded, 5*time.Minute)
				runs := c.runs(id)
				must.Len(t, 2, runs)
				must.Eq(t, 0, lostWork(runs))
				must.Less(t, testLease/3+2*time.Second, runs[1].From.Sub(runs[0].To))
			}
			c.verify(t)
		})
	})
}

// A reservation without a task must be removed, so that it does not use capacity
// for ever.
func TestReservation_WithoutTask(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		runCluster(t, 1, func(c *cluster) {
			c.agent("a")
			time.Sleep(2 * time.Second)
			row, err := state.Get[structs.VM](c.ctx, c.table, state.VMKey("a"))
			must.NoError(t, err)
			row.Value.Tasks = map[string]structs.Reservation{"gone": {Resources: structs.Resources{MilliCPU: 4000}, Fence: 1}}
			tx := state.NewTx()
			tx.Put(row.Key, row.Version, row.Value)
			must.NoError(t, state.Commit(c.ctx, c.table, tx))
			c.scheduler()
			c.submit(t, "t1", batchSpec())
			c.waitForState(t, "t1", structs.StateRunning, testLease)
		})
	})
}

// Cancelling a running task must stop it permanently; the agent confirms the stop.
func TestStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		runCluster(t, 1, func(c *cluster) {
			c.agent("a")
			c.scheduler()
			c.submit(t, "t1", batchSpec())
			c.waitForState(t, "t1", structs.StateRunning, 20*time.Second)
			must.NoError(t, c.commitTransition("t1", func(tx *task.Tx, row task.Row, vm task.VMRow) error {
				return tx.Cancel(row, vm, "operator")
			}))
			must.Eq(t, structs.StateStopping, c.task(t, "t1").State)
			c.waitForState(t, "t1", structs.StateCancelled, testLease)
			must.Len(t, 1, c.runs("t1"))
			must.False(t, c.runs("t1")[0].To.IsZero())
			c.verify(t)
		})
	})
}

// A start sent by an older process, frozen in the middle of the call, reaches the
// worker after a new process has registered the VM. The worker must refuse it.
func TestRegister_FencesInFlightStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		runCluster(t, 2, func(c *cluster) {
			p := c.agent("a")
			c.submit(t, "t1", batchSpec())
			time.Sleep(2 * time.Second)
			c.place()
			var frozen atomic.Pointer[func()]
			p.worker.set(func(g *faultProxy) {
				g.detachStarts = true
				g.before = func(op standin.Operation) {
					if op == standin.OpStart && frozen.Load() == nil {
						thaw := p.freeze()
						frozen.Store(&thaw)
					}
				}
			})
			p.PlacementsChanged()
			time.Sleep(5 * time.Second)
			thaw := frozen.Load()
			must.NotNil(t, thaw)
			c.agent("b")
			c.agent("a")
			c.scheduler("a")
			c.waitFor(t, time.Minute, "started on b", func() bool { return len(c.runs("t1")) == 1 })
			(*thaw)()
			time.Sleep(time.Minute)
			must.Len(t, 1, c.runs("t1"), must.Sprint(c.describe(c.runs("t1"))))
			must.Eq(t, "b", c.runs("t1")[0].VM)
		})
	})
}

// An evicted task may be requeued only when its stop is confirmed. It must resume
// once and from its newest checkpoint. Without waiting for the stop, the task runs
// twice when the worker does not answer.
func TestEvict(t *testing.T) {
	cases := []struct {
		name string
		op   standin.Operation
		// fault lasts for 8 s from the eviction on.
		fault standin.Fault
		loss  time.Duration
	}{
		{"no fault", standin.OpStop, standin.Fault{}, 0},
		{"stop unanswered", standin.OpStop, standin.Fault{Down: true}, 12 * time.Second},
		{"stop refused", standin.OpStop, standin.Fault{Refuse: true}, 12 * time.Second},
		{"stop response lost", standin.OpStop, standin.Fault{LoseNext: 1}, 3 * time.Second},
		{"checkpoint refused", standin.OpCheckpoint, standin.Fault{Refuse: true}, time.Minute},
		{"checkpoint response lost", standin.OpCheckpoint, standin.Fault{LoseNext: 1}, 0},
		{"checkpoint slow", standin.OpCheckpoint, standin.Fault{Latency: 6 * time.Second}, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				runCluster(t, 2, func(c *cluster) {
					p := c.agent("a")
					c.submit(t, "t1", batchSpec())
					time.Sleep(2 * time.Second)
					c.place()
					c.waitForState(t, "t1", structs.StateRunning, 20*time.Second)
					c.agent("b")
					c.scheduler()
					time.Sleep(50 * time.Second)
					c.workers["a"].Faults().Set(tc.op, tc.fault)
					must.NoError(t, c.evict("t1"))
					p.PlacementsChanged()
					time.AfterFunc(8*time.Second, c.workers["a"].Faults().Clear)
					c.waitForState(t, "t1", structs.StateSucceeded, 10*time.Minute)
					c.verify(t)
					runs, got := c.runs("t1"), c.task(t, "t1")
					must.Len(t, 2, runs, must.Sprint(c.describe(runs)))
					must.Eq(t, 1, got.Evictions)
					must.Eq(t, 0, got.Attempts)
					must.LessEq(t, tc.loss, lostWork(runs), must.Sprint(c.describe(runs)))
				})
			})
		})
	}
}
