package hold

import "time"

// DefaultReportInterval is the interval at which owners hear of held leases. It
// is a third of pool.DefaultTTL, so that one lost report expires nothing.
const DefaultReportInterval = 500 * time.Millisecond

// fullRounds: one regular demand in so many is full, so that an owner that
// missed a change learns of it.
const fullRounds = 4

// soonCount: a change of an account's count is told at once while the owner
// believes it below this, and with the next report above it.
const soonCount = 4

// startMargin is how long before its expiry a lease starts nothing more.
const startMargin = 20 * time.Millisecond

type options struct {
	reportEvery time.Duration
	prefixes    bool
}

func defaults() options {
	return options{reportEvery: DefaultReportInterval, prefixes: true}
}

// WithPrefixAffinity says whether requests look for the server that holds their
// prompt's prefix.
func WithPrefixAffinity(on bool) Option {
	return func(o *options) { o.prefixes = on }
}

// Option changes a new Holder.
type Option func(*options)

// WithReportInterval sets the interval of reports to owners.
func WithReportInterval(d time.Duration) Option {
	return func(o *options) { o.reportEvery = d }
}
