package executor_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"bamboowood/internal/structs"
)

func TestBatch_CompletesOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		runCluster(t, 1, func(c *cluster) {
			c.agent("a")
			c.recovery()
			c.scheduler()
			c.submit(t, "t1", batchSpec())
			c.waitForState(t, "t1", structs.StateSucceeded, 4*time.Minute)
			c.verify(t)
			must.Len(t, 1, c.runs("t1"))
		})
	})
}
