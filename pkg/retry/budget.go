// Package retry limits retries to a share of the requests, so that failures do not multiply
// the load.
package retry

// Defaults for New.
const (
	// DefaultShare is the number of retries that each request adds to the budget.
	DefaultShare = 0.1
	// DefaultBurst is the largest number of retries in the budget.
	DefaultBurst = 10
)

// Budget limits retries. It is not safe for concurrent use.
type Budget struct {
	share     float64
	burst     float64
	available float64
}

// New returns a full budget.
func New(share, burst float64) *Budget {
	return &Budget{share: share, burst: burst, available: burst}
}

// Earn records the first attempt of a request.
func (b *Budget) Earn() {
	b.available = min(b.burst, b.available+b.share)
}

// Spend takes one retry from the budget and reports whether one was available.
func (b *Budget) Spend() bool {
	if b.available < 1 {
		return false
	}
	b.available--
	return true
}
