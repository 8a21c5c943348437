package site

import (
	"context"
	"errors"
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"bamboowood/internal/store"
)

// registerGauges registers the gauges of the process's watcher.
func (w *Watcher) registerGauges() {
	metrics.GetOrCreateGauge("bamboowood_site_config_version", func() float64 {
		if config := w.State().Config; config != nil {
			return float64(config.Version)
		}
		return 0
	})
	metrics.GetOrCreateGauge("bamboowood_site_settings_age_seconds", func() float64 {
		age, _ := w.Age()
		return age.Seconds()
	})
}

// countRead counts a read of the operator settings by its result.
func countRead(err error) {
	result := "failed"
	switch {
	case err == nil:
		result = "ok"
	case errors.Is(err, context.Canceled):
		result = "cancelled"
	case errors.Is(err, store.ErrCompacted):
		result = "compacted"
	case errors.Is(err, store.ErrTooLarge):
		result = "too-large"
	case errors.Is(err, store.ErrRefused):
		result = "refused"
	}
	metrics.GetOrCreateCounter(fmt.Sprintf("bamboowood_site_reads_total{result=%q}", result)).Inc()
}

// countPeerRead counts a request of the settings to a peer by its result.
func countPeerRead(result string) {
	metrics.GetOrCreateCounter(fmt.Sprintf("bamboowood_site_peer_reads_total{result=%q}", result)).Inc()
}
