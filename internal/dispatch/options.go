package dispatch

import (
	"time"

	"bamboowood/internal/routing"
)

// Options are the settings of a Dispatcher.
type Options struct {
	Routing routing.Options `toml:"routing"`
	// QueueOrder is "fifo", "edf" (earliest deadline first) or "lifo" (newest
	// first).
	QueueOrder QueueOrder `toml:"queue_order" validate:"oneof=fifo edf lifo"`
	// QueueLimit is the maximum number of requests of one service that wait for a
	// slot.
	QueueLimit int `toml:"queue_limit" validate:"gte=1,lte=100000"`
	// Admission makes the entry refuse requests at once that it does not expect to
	// be answered within their deadline.
	Admission bool `toml:"admission"`
	// ExpireServiceTimes is the remaining time, in reference service times, below
	// which a queued request is refused instead of sent.
	ExpireServiceTimes float64 `toml:"expire_service_times" validate:"gte=0,lte=10"`
	// MaxTries is the maximum number of tries of one request. Offers that were
	// refused for lack of slots do not count.
	MaxTries int `toml:"max_tries" validate:"gte=1,lte=100"`
	// RetryShare is the maximum number of retries and hedges as a share of the first
	// tries; RetryBurst is how many unused ones may accumulate.
	RetryShare float64 `toml:"retry_share" validate:"gte=0,lte=0.1"`
	RetryBurst int     `toml:"retry_burst" validate:"gte=1,lte=1000"`
	// HedgeReserve is the number of tokens of the retry budget that hedges to slow
	// upstreams leave to retries.
	HedgeReserve int `toml:"hedge_reserve" validate:"gte=0,lte=1000"`
	// HedgeServiceTimes is the age of a try, in reference service times, at
	// which it may be hedged if its upstream is slow or silent;
	// HedgeAnyServiceTimes the age at which any try may.
	HedgeServiceTimes    float64 `toml:"hedge_service_times" validate:"gt=0,lte=1000"`
	HedgeAnyServiceTimes float64 `toml:"hedge_any_service_times" validate:"gtefield=HedgeServiceTimes,lte=1000"`
	// SilencePause is how long an upstream gets no requests after a try without any
	// message from it. It doubles with each further one up to SilencePauseMax.
	SilencePause    time.Duration `toml:"silence_pause" validate:"gt=0"`
	SilencePauseMax time.Duration `toml:"silence_pause_max" validate:"gtefield=SilencePause"`
	// LeavePause is how long an upstream gets no requests after it refused one
	// because it is leaving or its zone is drained. It covers the time until a
	// snapshot shows this.
	LeavePause time.Duration `toml:"leave_pause" validate:"gt=0"`
	// ClaimTimeout bounds each operation on the claim of an Idempotency-Key that the
	// caller waits for.
	ClaimTimeout time.Duration `toml:"claim_timeout" validate:"gt=0"`
	// SettleTimeout bounds the time during which recording a claim's result is retried
	// in the background.
	SettleTimeout time.Duration `toml:"settle_timeout" validate:"gt=0"`
	// SettleBackoff is the pause between those retries.
	SettleBackoff time.Duration `toml:"settle_backoff" validate:"gt=0"`
}

// DefaultOptions returns the default settings.
func DefaultOptions() Options {
	return Options{
		Routing:              routing.DefaultOptions(),
		QueueOrder:           EDF,
		QueueLimit:           1024,
		Admission:            true,
		ExpireServiceTimes:   1.5,
		MaxTries:             8,
		RetryShare:           0.09,
		RetryBurst:           96,
		HedgeReserve:         4,
		HedgeServiceTimes:    1.5,
		HedgeAnyServiceTimes: 4,
		SilencePause:         500 * time.Millisecond,
		SilencePauseMax:      10 * time.Second,
		LeavePause:           2 * time.Second,
		ClaimTimeout:         500 * time.Millisecond,
		SettleTimeout:        30 * time.Second,
		SettleBackoff:        100 * time.Millisecond,
	}
}
