package pool

import "time"

// Estimator is how an owner estimates the service by other zones since their
// last share.
type Estimator string

// The estimators; see docs/FAIRNESS.md.
const (
	// LastShare assumes no service since the last share.
	LastShare Estimator = "as-last-shared"
	// ScaledByZones assumes that each zone that serves the account serves as
	// much as this one, until the next share corrects it.
	ScaledByZones Estimator = "counted-by-zones"
)

// The defaults; see docs/CAPACITY.md.
const (
	// DefaultTTL is how long a holder may start requests on a lease without
	// renewal.
	DefaultTTL = 1500 * time.Millisecond
	// DefaultReclaimTimeout is how long after the last report an owner reclaims
	// a lease. It exceeds the TTL plus the longest delivery time of a renewal.
	DefaultReclaimTimeout = 4 * time.Second
	// DefaultShortReclaimTimeout applies if the backend server reports its
	// load, which shows whether the request still runs. It exceeds the TTL.
	DefaultShortReclaimTimeout = 2 * time.Second
	// DefaultShareInterval is the interval between shares of one pool.
	DefaultShareInterval = 250 * time.Millisecond
	// DefaultMinShareInterval is the minimum time between two early shares.
	DefaultMinShareInterval = 20 * time.Millisecond
	// DefaultSiblingTimeout is how long after its last share a sibling's demand
	// is dropped.
	DefaultSiblingTimeout = 2 * time.Second
	// DefaultInitialEstimate is the estimated cost of a request, in tokens,
	// before any request has ended.
	DefaultInitialEstimate = 100
	// DefaultInitialRate is the assumed rate of a slot, in tokens per second,
	// before any report.
	DefaultInitialRate = 100
	// DefaultChargeHorizon is the service time that a grant charges in advance.
	// By its end the owners have received a report and a share.
	DefaultChargeHorizon = 500 * time.Millisecond
	// DefaultConvergence is the fraction of the difference in virtual time
	// between two owners that one share removes.
	DefaultConvergence = 0.25
)

type options struct {
	ttl            time.Duration
	reclaimTimeout time.Duration
	// shortReclaimTimeout applies to servers that report their load.
	shortReclaimTimeout time.Duration
	shareInterval       time.Duration
	minShareInterval    time.Duration
	siblingTimeout      time.Duration
	// calmPeriod is how long no request must have waited before standing leases
	// are granted.
	calmPeriod time.Duration
	// recentUse is how long after its last request a router gets standing leases.
	recentUse time.Duration
	// idleGrace is the idle time after which the virtual time of an account is
	// clamped when it becomes active.
	idleGrace       time.Duration
	initialEstimate float64
	estimator       Estimator
	takeoverDelay   time.Duration
	convergence     float64
	extrapolate     bool
	initialRate     float64
	chargeHorizon   time.Duration
}

func defaults() options {
	return options{
		ttl:                 DefaultTTL,
		reclaimTimeout:      DefaultReclaimTimeout,
		shortReclaimTimeout: DefaultShortReclaimTimeout,
		shareInterval:       DefaultShareInterval,
		minShareInterval:    DefaultMinShareInterval,
		siblingTimeout:      DefaultSiblingTimeout,
		calmPeriod:          500 * time.Millisecond,
		recentUse:           30 * time.Second,
		idleGrace:           250 * time.Millisecond,
		initialEstimate:     DefaultInitialEstimate,
		estimator:           ScaledByZones,
		takeoverDelay:       DefaultTTL,
		convergence:         DefaultConvergence,
		extrapolate:         true,
		initialRate:         DefaultInitialRate,
		chargeHorizon:       DefaultChargeHorizon,
	}
}

// Option configures a new Owner.
type Option func(*options)

// WithTakeoverDelay sets how long a new owner grants nothing.
func WithTakeoverDelay(d time.Duration) Option {
	return func(o *options) { o.takeoverDelay = d }
}

// WithConvergence sets the fraction of the difference between two owners'
// virtual times that each share removes, from 0 to 1.
func WithConvergence(fraction float64) Option {
	return func(o *options) { o.convergence = fraction }
}

// WithChargeHorizon sets the service time that a grant charges in advance.
func WithChargeHorizon(d time.Duration) Option {
	return func(o *options) { o.chargeHorizon = d }
}

// WithExtrapolation sets whether running requests are charged between their
// reports.
func WithExtrapolation(on bool) Option {
	return func(o *options) { o.extrapolate = on }
}

// WithEstimator sets how service by other zones is estimated between shares.
func WithEstimator(e Estimator) Option {
	return func(o *options) { o.estimator = e }
}

// WithShareInterval sets the interval between shares.
func WithShareInterval(d time.Duration) Option {
	return func(o *options) { o.shareInterval = d }
}
