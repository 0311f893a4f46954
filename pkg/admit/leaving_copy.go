package admit

import "time"

// The prefixes of a backend server that leaves are copied to the next servers in their order by the
// requests that use them, while it is alive. Copies take time of the requests that still run there, so
// each router copies a limited number of tokens per second. The most used prefixes go first.

const (
	// leavingCopyTime is the time in which the whole cache of a leaving server may be copied.
	leavingCopyTime = 2 * time.Second
	// leavingCopySkew is how many times an even share of that a router may use, since callers are
	// spread unevenly.
	leavingCopySkew = 2
	// leavingCopyBurst is the period whose copies may be made at once.
	leavingCopyBurst = time.Second
)

// copyBudget limits this router's copies from a leaving server.
type copyBudget struct {
	// tokens may be copied now; negative after a large copy.
	tokens float64
	// filledAt is when tokens was last updated, 0 before the first time.
	filledAt time.Duration
}

// leavingCopyRate returns how many tokens per second this router may copy from a leaving server, 0 if
// that is not limited because the size of its cache is unknown.
func (c *Core) leavingCopyRate(svc *service) float64 {
	share := leavingCopySkew / float64(max(len(c.routers), leavingCopySkew))
	return float64(svc.cacheTokens) / leavingCopyTime.Seconds() * share
}

// refill adds the tokens for the elapsed time, and returns the most that may be copied at once.
func (b *copyBudget) refill(now time.Duration, rate float64) (burst float64) {
	burst = rate * leavingCopyBurst.Seconds()
	if b.filledAt == 0 {
		b.tokens = burst
	} else {
		b.tokens = min(burst, b.tokens+rate*(now-b.filledAt).Seconds())
	}
	b.filledAt = now
	return burst
}

// mayCopyFrom reports whether the shared prefix of a request may be copied from a backend server if it
// has it.
func (c *Core) mayCopyFrom(r *request, s *server) bool {
	if !c.isCopyable(s) {
		return false
	}
	svc := c.service(r.Service)
	rate := c.leavingCopyRate(svc)
	if s.isOpen() || rate == 0 || !c.knownPrefix(r, s) {
		return true
	}
	burst := s.copyBudget.refill(c.now, rate)
	if s.copyBudget.tokens < burst/2 && !svc.sizes.isMuchUsed(r.Prefix) {
		return false
	}
	return s.copyBudget.tokens > 0
}

// chargeCopy charges a copy that is about to be made.
func (c *Core) chargeCopy(r *request, from *server) {
	if from != nil && !from.isOpen() {
		from.copyBudget.tokens -= float64(r.Shared)
	}
}
