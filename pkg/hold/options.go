package hold

import "time"

// DefaultReportInterval is the interval between reports of held leases. It is a
// third of pool.DefaultTTL, so that leases survive the loss of one report.
const DefaultReportInterval = 500 * time.Millisecond

// fullDemandEvery: one in so many regular demands is a full one, to repair an
// owner's state after lost messages.
const fullDemandEvery = 4

// urgentCount is the count below which the change of an account's queue is sent
// immediately instead of with the next regular demand.
const urgentCount = 4

// startMargin is the remaining lease time at which requests no longer start.
const startMargin = 20 * time.Millisecond

type options struct {
	reportInterval time.Duration
	prefixes       bool
}

func defaults() options {
	return options{reportInterval: DefaultReportInterval, prefixes: true}
}

// WithPrefixAffinity sets whether requests prefer the backend server that has
// cached their prompt's prefix.
func WithPrefixAffinity(on bool) Option {
	return func(o *options) { o.prefixes = on }
}

// Option configures a new Holder.
type Option func(*options)

// WithReportInterval sets the interval of reports to owners.
func WithReportInterval(d time.Duration) Option {
	return func(o *options) { o.reportInterval = d }
}
