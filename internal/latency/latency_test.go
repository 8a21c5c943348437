package latency_test

import (
	"testing"
	"time"

	"github.com/shoenig/test"

	"bamboowood/internal/latency"
)

func TestWatch(t *testing.T) {
	const ms = time.Millisecond
	for name, c := range map[string]struct {
		tails []int64
		over  time.Duration
	}{
		"none":                        {nil, 0},
		"first measurement":           {[]int64{120}, 0},
		"since the first one over it": {[]int64{80, 120, 120}, 300 * ms},
		"at the target":               {[]int64{80, 100, 100}, 300 * ms},
		"rounded to the target once":  {[]int64{80, 120, 100, 120}, 600 * ms},
		"slightly below once":         {[]int64{80, 120, 95, 120}, 600 * ms},
		"slightly below for 1.2 s":    {[]int64{80, 120, 95, 95, 95, 95, 95}, 1500 * ms},
		"slightly below for 1.5 s":    {[]int64{80, 120, 95, 95, 95, 95, 95, 95}, 0},
		"clearly below":               {[]int64{80, 120, 120, 90}, 0},
		"over again":                  {[]int64{120, 120, 90, 110, 110}, 300 * ms},
		"no figure":                   {[]int64{80, 120, 0, 0}, 600 * ms},
		"no figure for 1.5 s":         {[]int64{80, 120, 0, 0, 0, 0, 0, 0}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			var w latency.Watch
			now := time.Hour
			for i, tail := range c.tails {
				if i > 0 {
					now += 300 * ms
				}
				w.Observe(now, time.Duration(tail)*ms, 100*ms)
			}
			test.Eq(t, c.over, w.Over(now))
		})
	}
}
