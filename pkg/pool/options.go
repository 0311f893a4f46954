package pool

import "time"

// Estimator is how an owner reads the service that other zones gave since
// their last share.
type Estimator string

// The estimators weighed in docs/FAIRNESS.md.
const (
	// AsLastShared takes the last share as it stands.
	AsLastShared Estimator = "as-last-shared"
	// CountedByZones counts own service once for each zone that serves the
	// account, until the next share puts it right.
	CountedByZones Estimator = "counted-by-zones"
)

// The defaults; docs/CAPACITY.md weighs them at the target size.
const (
	// DefaultTTL is how long a holder may start work on a lease unrenewed.
	DefaultTTL = 1500 * time.Millisecond
	// DefaultReclaim is after what silence an owner takes a lease back. It
	// exceeds the TTL and the longest trip of a renewal.
	DefaultReclaim = 4 * time.Second
	// DefaultReclaimReported is the same where the backend server reports its
	// load, which tells whether the request still runs. It exceeds the TTL.
	DefaultReclaimReported = 2 * time.Second
	// DefaultShareEvery is the interval between shares of one pool.
	DefaultShareEvery = 250 * time.Millisecond
	// DefaultShareSoonest is the least time between two urgent shares.
	DefaultShareSoonest = 20 * time.Millisecond
	// DefaultSiblingSilence is when another owner's demand is dropped.
	DefaultSiblingSilence = 2 * time.Second
	// DefaultFirstEstimate is a request's cost in tokens before any is known.
	DefaultFirstEstimate = 100
	// DefaultFirstRate is what a slot serves, in tokens a second, before any
	// report tells.
	DefaultFirstRate = 100
	// DefaultLookAhead is for how long ahead a grant charges: a report and a
	// share later the owners know better.
	DefaultLookAhead = 500 * time.Millisecond
	// DefaultAgree is the part of a difference in virtual time between two
	// owners that one share takes away.
	DefaultAgree = 0.25
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
		reclaim:         DefaultReclaim,
		reclaimReported: DefaultReclaimReported,
		shareEvery:      DefaultShareEvery,
		shareSoonest:    DefaultShareSoonest,
		siblingSilence:  DefaultSiblingSilence,
		calm:            500 * time.Millisecond,
		recent:          30 * time.Second,
		idleGrace:       250 * time.Millisecond,
		firstEstimate:   DefaultFirstEstimate,
		estimator:       CountedByZones,
		quiet:           DefaultTTL,
		agree:           DefaultAgree,
		runOn:           true,
		firstRate:       DefaultFirstRate,
		lookAhead:       DefaultLookAhead,
	}
}

// Option changes a new Owner.
type Option func(*options)

// WithQuiet sets how long a new owner grants nothing.
func WithQuiet(d time.Duration) Option {
	return func(o *options) { o.quiet = d }
}

// WithAgree sets how much of the difference between two owners' virtual times
// each share takes away, from 0 to 1.
func WithAgree(part float64) Option {
	return func(o *options) { o.agree = part }
}

// WithLookAhead sets for how long ahead a grant charges what a slot serves.
func WithLookAhead(d time.Duration) Option {
	return func(o *options) { o.lookAhead = d }
}

// WithRunOn says whether running requests are charged between their reports.
func WithRunOn(on bool) Option {
	return func(o *options) { o.runOn = on }
}

// WithEstimator sets how others' service is read between shares.
func WithEstimator(e Estimator) Option {
	return func(o *options) { o.estimator = e }
}

// WithShareEvery sets the interval between shares.
func WithShareEvery(d time.Duration) Option {
	return func(o *options) { o.shareEvery = d }
}
