package pool

import (
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// Limit limits an account's use of a model in the whole fleet. Zero means
// unlimited.
type Limit struct {
	// Requests and Tokens are rates per second.
	Requests float64
	Tokens   float64
	// InFlight is the maximum number of concurrent requests.
	InFlight int
}

// Limits replaces the limits of all accounts. Accounts not listed are
// unlimited.
type Limits struct{ Of map[string]Limit }

// burst is the capacity of the token buckets in seconds of their rate.
const burst = 1.0

// limiter enforces an account's limit. Each owner tracks the use in the whole
// fleet: its own at once, that of siblings when they share it. While siblings
// are disconnected it uses only its share of the limit, so that a partitioned
// fleet stays below the limit.
type limiter struct {
	Limit
	// requests and tokens are the bucket levels. Use reported by siblings may
	// make them negative.
	requests float64
	tokens   float64
	filledAt time.Duration
	// activeSince is when the account last became active here.
	activeSince time.Duration
}

// spend takes from the buckets. The limiter of an unlimited account is nil.
func (l *limiter) spend(tokens, requests float64) {
	if l == nil {
		return
	}
	l.tokens -= tokens
	l.requests -= requests
}

func (e Limits) apply(o *Owner) {
	for _, name := range sorted(e.Of) {
		a := o.account(name)
		if a.limit == nil {
			a.limit = &limiter{filledAt: o.now, requests: e.Of[name].Requests * burst, tokens: e.Of[name].Tokens * burst}
		}
		a.limit.Limit = e.Of[name]
	}
	for _, name := range sorted(o.accounts) {
		a := o.accounts[name]
		if _, ok := e.Of[name]; !ok && a.limit != nil {
			a.limit = nil
			o.updateQueue(a)
		}
	}
}

// limitFraction returns the fraction of a limit that this owner may use: the
// fraction of the model's slots that belong to it and to siblings that send
// shares.
func (o *Owner) limitFraction() float64 {
	total, known := float64(o.slots()), float64(o.slots())
	for _, s := range o.siblings {
		total += o.slotsOf(s)
		if s.known {
			known += float64(s.slots)
		}
	}
	if total == 0 {
		return 1
	}
	return known / total
}

// refill refills the buckets of all limited accounts and reactivates accounts
// that have become able to run.
func (o *Owner) refill() {
	fraction := -1.0
	for _, name := range sorted(o.accounts) {
		a := o.accounts[name]
		if a.limit == nil {
			continue
		}
		if fraction < 0 {
			fraction = o.limitFraction()
		}
		a.limit.refill(o.now, fraction)
		o.updateQueue(a)
	}
}

func (l *limiter) refill(now time.Duration, fraction float64) {
	dt := (now - l.filledAt).Seconds() * fraction
	l.filledAt = now
	l.requests = min(l.Requests*burst, l.requests+l.Requests*dt)
	l.tokens = min(l.Tokens*burst, l.tokens+l.Tokens*dt)
}

// overLimit reports whether the account has exhausted one of its limits.
func (o *Owner) overLimit(a *account) bool {
	l := a.limit
	if l.Requests > 0 && l.requests < 1 || l.Tokens > 0 && l.tokens <= 0 {
		return true
	}
	return l.InFlight > 0 && float64(a.running) >= max(1, o.inFlightLimit(a))
}

// inFlightLimit returns how many requests of the account this owner may run:
// its share of the limit by slots, plus what connected siblings do not use of
// theirs. An account that has just become active gets only the first part, so
// that two owners do not both use the rest.
func (o *Owner) inFlightLimit(a *account) float64 {
	l := a.limit
	total := float64(o.slots())
	for _, s := range o.siblings {
		total += o.slotsOf(s)
	}
	if total == 0 {
		return float64(l.InFlight)
	}
	perSlot := float64(l.InFlight) / total
	ownShare := perSlot * float64(o.slots())
	if o.now-l.activeSince < 2*o.shareInterval() {
		return ownShare
	}
	for _, s := range o.siblings {
		siblingShare := perSlot * o.slotsOf(s)
		if s.known && !s.usesAccount(a.name) {
			ownShare += max(0, siblingShare-float64(s.limited[a.name].Running))
		}
	}
	return ownShare
}

// slotsOf returns a sibling's slots, or this pool's own number if the sibling
// has not reported yet.
func (o *Owner) slotsOf(s *sibling) float64 {
	if s.slots == 0 && !s.known {
		return float64(o.slots())
	}
	return float64(s.slots)
}

// usesAccount reports whether the sibling runs requests of the account or has
// some waiting.
func (s *sibling) usesAccount(account string) bool {
	return s.waiting[account] || s.limited[account].Running > 0
}

// limitedUsage returns the use of the limited accounts that were granted
// requests here.
func (o *Owner) limitedUsage() []wire.Limited {
	var usage []wire.Limited
	for _, name := range sorted(o.accounts) {
		if a := o.accounts[name]; a.limit != nil && a.requests > 0 {
			usage = append(usage, wire.Limited{Account: name, Requests: a.requests, Running: a.running})
		}
	}
	return usage
}

// applyLimited takes from the buckets what a sibling granted since its last
// share.
func (o *Owner) applyLimited(s *sibling, limited []wire.Limited, fresh bool) {
	before := s.limited
	s.limited = make(map[string]wire.Limited, len(limited))
	for _, v := range limited {
		s.limited[v.Account] = v
		if old, known := before[v.Account]; known && !fresh {
			o.account(v.Account).limit.spend(0, float64(v.Requests-old.Requests))
		}
	}
}
