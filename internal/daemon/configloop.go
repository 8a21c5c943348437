package daemon

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"bamboowood/internal/control"
	"bamboowood/internal/platform"
	"bamboowood/internal/state"
)

// configLoop keeps an entry's configuration up to date with the table. It reads the control
// row at an interval, and at once after refreshNow.
type configLoop struct {
	table    platform.Table
	holder   *control.Holder
	interval time.Duration
	onChange func()
	log      log.Interface
	wake     chan struct{}
}

var (
	configReloads  = metrics.NewCounter("bamboowood_config_reloads_total")
	configFailures = metrics.NewCounter("bamboowood_config_read_failures_total")
)

func newConfigLoop(table platform.Table, holder *control.Holder, interval time.Duration, onChange func(), logger log.Interface) *configLoop {
	return &configLoop{
		table: table, holder: holder, interval: interval, onChange: onChange, log: logger, wake: make(chan struct{}, 1),
	}
}

// refreshNow makes the loop read the table at once.
func (c *configLoop) refreshNow() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// run reads the table until ctx ends. The interval is jittered by a tenth, so that entries
// started together spread their reads.
func (c *configLoop) run(ctx context.Context) error {
	failing := false
	for {
		err := c.refresh(ctx)
		if err != nil && !failing {
			c.log.WithError(err).Warn("configuration read failed; keeping the current configuration")
		}
		if err == nil && failing {
			c.log.Info("configuration reads recovered")
		}
		failing = err != nil
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-c.wake:
		case <-time.After(c.nextDelay()):
		}
	}
}

// nextDelay returns the time until the next read: a tenth of the interval until there is a
// first configuration.
func (c *configLoop) nextDelay() time.Duration {
	if c.holder.Version() == 0 {
		return c.interval / 10
	}
	return c.interval + rand.N(c.interval/10+1)
}

func (c *configLoop) refresh(ctx context.Context) error {
	row, err := state.Get[state.Control](ctx, c.table, state.ControlKey)
	if err != nil {
		configFailures.Inc()
		return err
	}
	if row.Value.Version <= c.holder.Version() {
		return nil
	}
	config, err := state.LoadConfig(ctx, c.table)
	if err != nil {
		configFailures.Inc()
		return err
	}
	if c.holder.Merge(config) {
		configReloads.Inc()
		c.log.WithField("version", config.Version).Info("configuration applied")
		c.onChange()
	}
	return nil
}
