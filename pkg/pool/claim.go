package pool

import (
	"maps"
	"slices"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

func (o *Owner) claimer(who claimant) *claimer {
	c, ok := o.claims[who]
	if !ok {
		c = &claimer{claims: map[string]*claim{}}
		o.claims[who] = c
	}
	return c
}

// setClaims replaces a claimant's waiting counts. Grants that the claimant
// had not seen when it counted are taken off again.
func (o *Owner) setClaims(who claimant, waiting []wire.Waiting, seen uint64, full bool) {
	c := o.claimer(who)
	touched := make(map[string]bool, len(waiting))
	for _, w := range waiting {
		touched[w.Account] = true
		o.setClaim(who, c, w)
	}
	for name, cl := range c.claims {
		if full && !touched[name] {
			cl.reported = 0
			touched[name] = true
		}
		if len(cl.unseen) > 0 {
			cl.unseen = dropSeen(cl.unseen, seen)
			touched[name] = true
		}
	}
	for _, name := range sorted(touched) {
		o.settleClaim(who, c, name)
	}
}

// settleClaim takes a changed claim into account, or forgets an empty one.
func (o *Owner) settleClaim(who claimant, c *claimer, name string) {
	a := o.account(name)
	if cl, ok := c.claims[name]; ok && cl.reported == 0 && len(cl.unseen) == 0 {
		delete(c.claims, name)
		delete(a.claims, who)
	}
	o.refresh(a)
}

func sorted[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}

func (o *Owner) setClaim(who claimant, c *claimer, w wire.Waiting) {
	cl, ok := c.claims[w.Account]
	if !ok {
		if w.Count <= 0 {
			return
		}
		cl = &claim{who: who}
		c.claims[w.Account] = cl
		o.account(w.Account).claims[who] = cl
	}
	cl.reported = max(0, w.Count)
	cl.priority = w.Priority
}

func dropSeen(unseen []uint64, seen uint64) []uint64 {
	kept := unseen[:0]
	for _, s := range unseen {
		if s > seen {
			kept = append(kept, s)
		}
	}
	return kept
}

func (o *Owner) dropClaimer(who claimant) {
	c, ok := o.claims[who]
	if !ok {
		return
	}
	for _, name := range sorted(c.claims) {
		a := o.account(name)
		delete(a.claims, who)
		o.refresh(a)
	}
	delete(o.claims, who)
}

// staleHolder is how long after a router's last message it is granted nothing:
// it may be paused or cut off, and a lease that it cannot use idles its slot.
// It exceeds the longest time between two reports.
const staleHolder = 900 * time.Millisecond

// fresh reports whether the claimant was heard of lately enough to be granted
// a lease: a router by its reports, a sibling by at most one missed share.
func (o *Owner) fresh(who claimant) bool {
	if who.pool == o.pool {
		h, ok := o.holders[who.node]
		return ok && o.now-h.heard < staleHolder
	}
	s, ok := o.siblings[who.pool]
	return ok && s.known && o.now-s.heard < 2*o.shareInterval()+shareSlack
}

// shareSlack is what a share may be late.
const shareSlack = 150 * time.Millisecond

// refreshAll takes into account that claimants may have fallen silent.
func (o *Owner) refreshAll() {
	for _, name := range sorted(o.accounts) {
		if a := o.accounts[name]; len(a.claims) > 0 {
			o.refresh(a)
		}
	}
}

// best returns the claim of the account to meet first: a router of the own
// zone before another owner, then the higher priority, then the longer queue.
func (o *Owner) best(a *account) *claim {
	var best *claim
	for _, c := range a.claims {
		if c.count() == 0 || !o.fresh(c.who) {
			continue
		}
		if best == nil || o.before(c, best) {
			best = c
		}
	}
	return best
}

func (o *Owner) before(c, d *claim) bool {
	cl, dl := c.who.pool == o.pool, d.who.pool == o.pool
	if cl != dl {
		return cl
	}
	if c.priority != d.priority {
		return c.priority > d.priority
	}
	if c.count() != d.count() {
		return c.count() > d.count()
	}
	if c.who.node != d.who.node {
		return c.who.node < d.who.node
	}
	return c.who.pool.String() < d.who.pool.String()
}
