package pool

import "time"

// Estimator is how an owner reads the service that other zones gave since
// their last share.
type Estimator string

// The estimators weighed in docs/FAIRNESS.md.
const (
	// LastShare takes the last share as it stands.
	LastShare Estimator = "as-last-shared"
	// ScaledByZones counts own service once for each zone that serves the
	// account, until the next share puts it right.
	ScaledByZones Estimator = "counted-by-zones"
)

// The defaults; docs/CAPACITY.md weighs them at the target size.
const (
	// DefaultTTL is how long a holder may start work on a lease unrenewed.
	DefaultTTL = 1500 * time.Millisecond
	// DefaultReclaimTimeout is after what silence an owner takes a lease back. It
	// exceeds the TTL and the longest trip of a renewal.
	DefaultReclaimTimeout = 4 * time.Second
	// DefaultShortReclaimTimeout is the same where the backend server reports its
	// load, which tells whether the request still runs. It exceeds the TTL.
	DefaultShortReclaimTimeout = 2 * time.Second
	// DefaultShareInterval is the interval between shares of one pool.
	DefaultShareInterval = 250 * time.Millisecond
	// DefaultMinShareInterval is the least time between two urgent shares.
	DefaultMinShareInterval = 20 * time.Millisecond
	// DefaultSiblingTimeout is when another owner's demand is dropped.
	DefaultSiblingTimeout = 2 * time.Second
	// DefaultInitialEstimate is a request's cost in tokens before any is known.
	DefaultInitialEstimate = 100
	// DefaultInitialRate is what a slot serves, in tokens a second, before any
	// report tells.
	DefaultInitialRate = 100
	// DefaultChargeHorizon is for how long ahead a grant charges: a report and a
	// share later the owners know better.
	DefaultChargeHorizon = 500 * time.Millisecond
	// DefaultConvergence is the part of a difference in virtual time between two
	// owners that one share takes away.
	DefaultConvergence = 0.25
)

type options struct {
	ttl     time.Duration
	reclaim time.Duration
	// reclaimReported is reclaim for servers that report their load.
	reclaimReported time.Duration
	shareEvery      time.Duration
	shareSoonest    time.Duration
	siblingSilence  time.Duration
	calm            time.Duration
	recent          time.Duration
	idleGrace       time.Duration
	firstEstimate   float64
	estimator       Estimator
	quiet           time.Duration
	agree           float64
	runOn           bool
	firstRate       float64
	lookAhead       time.Duration
}

func defaults() options {
	return options{
		ttl:             DefaultTTL,
		reclaim:         DefaultReclaimTimeout,
		reclaimReported: DefaultShortReclaimTimeout,
		shareEvery:      DefaultShareInterval,
		shareSoonest:    DefaultMinShareInterval,
		siblingSilence:  DefaultSiblingTimeout,
		calm:            500 * time.Millisecond,
		recent:          30 * time.Second,
		idleGrace:       250 * time.Millisecond,
		firstEstimate:   DefaultInitialEstimate,
		estimator:       ScaledByZones,
		quiet:           DefaultTTL,
		agree:           DefaultConvergence,
		runOn:           true,
		firstRate:       DefaultInitialRate,
		lookAhead:       DefaultChargeHorizon,
	}
}

// Option changes a new Owner.
type Option func(*options)

// WithTakeoverDelay sets how long a new owner grants nothing.
func WithTakeoverDelay(d time.Duration) Option {
	return func(o *options) { o.quiet = d }
}

// WithConvergence sets how much of the difference between two owners' virtual times
// each share takes away, from 0 to 1.
func WithConvergence(part float64) Option {
	return func(o *options) { o.agree = part }
}

// WithChargeHorizon sets for how long ahead a grant charges what a slot serves.
func WithChargeHorizon(d time.Duration) Option {
	return func(o *options) { o.lookAhead = d }
}

// WithExtrapolation says whether running requests are charged between their reports.
func WithExtrapolation(on bool) Option {
	return func(o *options) { o.runOn = on }
}

// WithEstimator sets how others' service is read between shares.
func WithEstimator(e Estimator) Option {
	return func(o *options) { o.estimator = e }
}

// WithShareInterval sets the interval between shares.
func WithShareInterval(d time.Duration) Option {
	return func(o *options) { o.shareEvery = d }
}
