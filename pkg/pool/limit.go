package pool

import (
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// Limit bounds one account's use of the model over the whole fleet. Zero
// means no limit.
type Limit struct {
	// Requests and Tokens are rates a second.
	Requests float64
	Tokens   float64
	// InFlight is how many requests may run at once.
	InFlight int
}

// Limits replaces the limits of accounts; an account not named has none.
type Limits struct{ Of map[string]Limit }

// burst is how much of a rate may be saved up, in seconds of it.
const burst = 1.0

// limiter holds an account to its limit. Each owner keeps the whole fleet's
// account of it: it takes off its own use at once and that of the others as
// they share it. Where some of them are cut off, it lets itself have only its
// part of the limit, so that a split fleet errs on the side of too little.
type limiter struct {
	Limit
	// requests and tokens are what may still be used; they may fall below
	// zero by what others used meanwhile.
	requests float64
	tokens   float64
	filledAt time.Duration
	// since is when the account last came from idle here.
	since time.Duration
}

// spend takes use off. An account without limits has a nil limiter.
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
			o.refresh(a)
		}
	}
}

// part is the part of a limit that this owner may use: all of it while it
// hears of the others' use, else by its part of the model's known slots.
func (o *Owner) part() float64 {
	all, heard := float64(o.slots()), float64(o.slots())
	for _, s := range o.siblings {
		all += o.slotsOf(s)
		if s.known {
			heard += float64(s.slots)
		}
	}
	if all == 0 {
		return 1
	}
	return heard / all
}

// refill lets time add to what limited accounts may use, and takes those that
// were held back in again.
func (o *Owner) refill() {
	part := -1.0
	for _, name := range sorted(o.accounts) {
		a := o.accounts[name]
		if a.limit == nil {
			continue
		}
		if part < 0 {
			part = o.part()
		}
		a.limit.refill(o.now, part)
		o.refresh(a)
	}
}

func (l *limiter) refill(now time.Duration, part float64) {
	dt := (now - l.filledAt).Seconds() * part
	l.filledAt = now
	l.requests = min(l.Requests*burst, l.requests+l.Requests*dt)
	l.tokens = min(l.Tokens*burst, l.tokens+l.Tokens*dt)
}

// over reports whether the account has used up one of its limits.
func (o *Owner) over(a *account) bool {
	l := a.limit
	if l.Requests > 0 && l.requests < 1 || l.Tokens > 0 && l.tokens <= 0 {
		return true
	}
	return l.InFlight > 0 && float64(a.running) >= max(1, o.inFlightPart(a))
}

// inFlightPart is how many of an account's requests this owner may run: its
// own part of the limit by slots, and what siblings that it hears of leave of
// theirs. Two owners that start at once each keep to their part.
func (o *Owner) inFlightPart(a *account) float64 {
	l := a.limit
	all := float64(o.slots())
	for _, s := range o.siblings {
		all += o.slotsOf(s)
	}
	if all == 0 {
		return float64(l.InFlight)
	}
	each := float64(l.InFlight) / all
	mine := each * float64(o.slots())
	if o.now-l.since < 2*o.shareInterval() {
		return mine
	}
	for _, s := range o.siblings {
		theirs := each * o.slotsOf(s)
		if s.known && !s.wants(a.name) {
			mine += max(0, theirs-float64(s.limited[a.name].Running))
		}
	}
	return mine
}

// slotsOf returns a sibling's slots, or as many as here before it told.
func (o *Owner) slotsOf(s *sibling) float64 {
	if s.slots == 0 && !s.known {
		return float64(o.slots())
	}
	return float64(s.slots)
}

// wants reports whether the sibling asked for the account or runs it.
func (s *sibling) wants(account string) bool {
	return s.asks[account] || s.limited[account].Running > 0
}

// limitedNews lists what this owner gave the accounts that have limits.
func (o *Owner) limitedNews() []wire.Limited {
	var news []wire.Limited
	for _, name := range sorted(o.accounts) {
		if a := o.accounts[name]; a.limit != nil && a.requests > 0 {
			news = append(news, wire.Limited{Account: name, Requests: a.requests, Running: a.running})
		}
	}
	return news
}

// learnLimited takes off what a sibling gave since its last share.
func (o *Owner) learnLimited(s *sibling, limited []wire.Limited, fresh bool) {
	before := s.limited
	s.limited = make(map[string]wire.Limited, len(limited))
	for _, v := range limited {
		s.limited[v.Account] = v
		if old, known := before[v.Account]; known && !fresh {
			o.account(v.Account).limit.spend(0, float64(v.Requests-old.Requests))
		}
	}
}
