// Package retry bounds retries to a share of the traffic, so that failures
// are not multiplied by the routers that meet them.
package retry

// The defaults.
const (
	// DefaultShare is how many retries each request earns.
	DefaultShare = 0.1
	// DefaultBurst is how many retries may be saved up.
	DefaultBurst = 10
)

// Budget counts what may still be retried. It is not safe for concurrent use.
type Budget struct {
	// share is earned by each request; saved is between 0 and burst.
	share float64
	burst float64
	saved float64
}

// New returns a full budget.
func New(share, burst float64) *Budget {
	return &Budget{share: share, burst: burst, saved: burst}
}

// Earn notes a request's first attempt.
func (b *Budget) Earn() {
	b.saved = min(b.burst, b.saved+b.share)
}

// Spend takes one retry out and reports whether there was one.
func (b *Budget) Spend() bool {
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}
