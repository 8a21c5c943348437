package link

import "github.com/VictoriaMetrics/metrics"

// Counters of an entry.
var (
	announceErrors       = metrics.NewCounter(`bamboowood_link_announce_errors_total`)
	announceRefusals     = metrics.NewCounter(`bamboowood_link_announce_refusals_total`)
	incarnationsReplaced = metrics.NewCounter(`bamboowood_link_incarnations_replaced_total`)
	sessionsOpened       = metrics.NewCounter(`bamboowood_link_sessions_opened_total`)
	sessionsClosed       = metrics.NewCounter(`bamboowood_link_sessions_closed_total`)
	sessionsSuspected    = metrics.NewCounter(`bamboowood_link_sessions_suspected_total`)
	sessionsRecovered    = metrics.NewCounter(`bamboowood_link_sessions_recovered_total`)
	configPushes         = metrics.NewCounter(`bamboowood_link_config_pushes_total`)
	configMerges         = metrics.NewCounter(`bamboowood_link_config_merges_total`)
	configErrors         = metrics.NewCounter(`bamboowood_link_config_errors_total`)
	tableErrors          = metrics.NewCounter(`bamboowood_link_table_call_errors_total`)
)

// Counters of an agent.
var (
	dials            = metrics.NewCounter(`bamboowood_link_dials_total`)
	dialErrors       = metrics.NewCounter(`bamboowood_link_dial_errors_total`)
	sessionsReplaced = metrics.NewCounter(`bamboowood_link_silent_sessions_replaced_total`)
	badStreams       = metrics.NewCounter(`bamboowood_link_bad_streams_total`)
)
