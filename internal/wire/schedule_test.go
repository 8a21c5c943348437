package wire_test

import (
	"math"
	"testing"

	"github.com/shoenig/test"

	"bamboowood/internal/job"
	"bamboowood/internal/wire"
	"bamboowood/internal/wire/wirepb"
)

// Guards against a run number of another writer that the planner adds one to: it overflowed, and
// runners refused all later runs of the task.
func TestRun_NumberOutOfRange(t *testing.T) {
	const name = "5c0e7a21d94b36f8.0.1.17"
	for _, number := range []int64{math.MinInt64, -1, 0, job.MaxRunNumber + 1, 1 << 53, math.MaxInt64} {
		_, err := wire.Run(&wirepb.RunRef{Task: name, Number: number})
		test.Error(t, err, test.Sprint(number))
		_, err = wire.End(&wirepb.RunEnd{Sequence: 1, Run: &wirepb.RunRef{Task: name, Number: number}})
		test.Error(t, err, test.Sprint(number))
		test.SliceEmpty(t, wire.Activities([]*wirepb.RunActivity{{Run: &wirepb.RunRef{Task: name, Number: number}}, {}}), test.Sprint(number))
	}
	for _, number := range []int64{1, job.MaxRunNumber} {
		_, err := wire.Run(&wirepb.RunRef{Task: name, Number: number})
		test.NoError(t, err, test.Sprint(number))
	}
}
