package routing

import "time"

// Options are the settings of routing decisions.
type Options struct {
	// ScanLimit is the number of upstreams up to which a pick considers all of them.
	ScanLimit int `toml:"scan_limit" validate:"gte=1,lte=256"`
	// SampleSize is the number of upstreams that a pick samples if there are more
	// than ScanLimit.
	SampleSize int `toml:"sample_size" validate:"gte=2,lte=64"`
	// LocalBias is the share of slots by which an upstream of the entry's own
	// zone may be busier than another and still be preferred.
	LocalBias float64 `toml:"local_bias" validate:"gte=0,lte=1"`
	// InitialService is the reference service time before the first measurement.
	InitialService time.Duration `toml:"initial_service" validate:"gt=0"`
	// EstimateWeight is the number of answers that the moving estimate of the
	// service time spans.
	EstimateWeight int `toml:"estimate_weight" validate:"gte=1,lte=1000"`
	// EstimateAge is the age, in reference service times, at which an answer's
	// weight has decayed to about a third (1/e).
	EstimateAge float64 `toml:"estimate_age" validate:"gt=0,lte=1000"`
	// SlowRatio is the ratio to the reference service time above which an
	// upstream is slow.
	SlowRatio float64 `toml:"slow_ratio" validate:"gt=1,lte=100"`
	// FastRatio is the ratio below which a slow upstream is fast again.
	FastRatio float64 `toml:"fast_ratio" validate:"gte=1,ltefield=SlowRatio"`
	// SlowWaitShare limits the wait for a fast upstream: a request goes to a slow
	// one if the expected wait reaches this share of its extra service time.
	SlowWaitShare float64 `toml:"slow_wait_share" validate:"gte=0,lte=10"`
	// DoubtRatio is the ratio to the reference service time above which an upstream
	// is possibly slow (see Picker.MaybeSlow) and a try at it is hedged.
	DoubtRatio float64 `toml:"doubt_ratio" validate:"gt=1,lte=100"`
	// ReprobeAfter is the age of a slow upstream's estimate at which a probe
	// request is sent to measure it again.
	ReprobeAfter time.Duration `toml:"reprobe_after" validate:"gt=0"`
	// RefreshEvery is the interval at which the reference service time is
	// recomputed.
	RefreshEvery time.Duration `toml:"refresh_every" validate:"gt=0"`
	// HoldDepth is the number of offers beyond its slots that are assumed to wait at an
	// upstream's agent for a slot (see exchange.ServerOptions.MaxSlotWait).
	HoldDepth int `toml:"hold_depth" validate:"gte=0,lte=64"`
	// RefusalBackoff is the pause after the first refused offer, as a share of
	// the reference service time; it doubles up to RefusalBackoffMax.
	RefusalBackoff    float64 `toml:"refusal_backoff" validate:"gt=0,lte=10"`
	RefusalBackoffMax float64 `toml:"refusal_backoff_max" validate:"gt=0,lte=100"`
	// SuspectReplies is the number of answers that must have been expected, by the
	// estimated service time, while an upstream was inactive for it to be suspected of
	// having stopped. It gets no further requests until it answers.
	SuspectReplies float64 `toml:"suspect_replies" validate:"gt=0"`
	// AdmitServiceTimes is the number of reference service times that must remain
	// after the expected wait in the queue for a request to be admitted.
	AdmitServiceTimes float64 `toml:"admit_service_times" validate:"gte=0,lte=100"`
	// AdmitBurstServiceTimes replaces AdmitServiceTimes while the backlog is
	// recent.
	AdmitBurstServiceTimes float64 `toml:"admit_burst_service_times" validate:"gte=0,ltefield=AdmitServiceTimes"`

	Ejection EjectionOptions `toml:"ejection"`
}

// EjectionOptions are the settings of outlier ejection.
type EjectionOptions struct {
	// Ratio is the share of failures at which an upstream is ejected.
	Ratio float64 `toml:"ratio" validate:"gt=0,lte=1"`
	// MinFailures is the minimum number of recent failures for an ejection. As many
	// consecutive failures eject the upstream regardless of Ratio.
	MinFailures int `toml:"min_failures" validate:"gte=1"`
	// Window is the number of recent answers that the ratio spans.
	Window int `toml:"window" validate:"gte=2"`
	// Base is the length of the first ejection; it doubles with each further one up
	// to Max.
	Base time.Duration `toml:"base" validate:"gt=0"`
	Max  time.Duration `toml:"max" validate:"gtefield=Base"`
	// ProbationSuccesses is the number of successes that end the probation after an
	// ejection.
	ProbationSuccesses int `toml:"probation_successes" validate:"gte=1"`
	// MaxShare is the maximum share of upstreams that may be ejected at once.
	MaxShare float64 `toml:"max_share" validate:"gte=0,lt=1"`
}

// DefaultOptions returns the default settings.
func DefaultOptions() Options {
	return Options{
		ScanLimit:              24,
		SampleSize:             4,
		LocalBias:              0.25,
		InitialService:         20 * time.Millisecond,
		EstimateWeight:         8,
		EstimateAge:            10,
		SlowRatio:              2.5,
		DoubtRatio:             1.5,
		FastRatio:              1.7,
		SlowWaitShare:          0.2,
		ReprobeAfter:           100 * time.Millisecond,
		RefreshEvery:           20 * time.Millisecond,
		HoldDepth:              1,
		RefusalBackoff:         0.1,
		RefusalBackoffMax:      1,
		SuspectReplies:         8,
		AdmitServiceTimes:      6,
		AdmitBurstServiceTimes: 3,
		Ejection: EjectionOptions{
			Ratio:              0.5,
			MinFailures:        5,
			Window:             32,
			Base:               2 * time.Second,
			Max:                time.Minute,
			ProbationSuccesses: 3,
			MaxShare:           0.4,
		},
	}
}
