package pool

import (
	"maps"
	"slices"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

func (o *Owner) requester(id requesterID) *requester {
	c, ok := o.requesters[id]
	if !ok {
		c = &requester{demands: map[string]*demand{}}
		o.requesters[id] = c
	}
	return c
}

// setDemands replaces a requester's counts of waiting requests. Grants up to
// the sequence number seen are already reflected in the counts.
func (o *Owner) setDemands(id requesterID, waiting []wire.Waiting, seen uint64, full bool) {
	c := o.requester(id)
	touched := make(map[string]bool, len(waiting))
	for _, w := range waiting {
		touched[w.Account] = true
		o.setDemand(id, c, w)
	}
	for name, d := range c.demands {
		if full && !touched[name] {
			d.reported = 0
			touched[name] = true
		}
		if len(d.unseenGrants) > 0 {
			d.unseenGrants = removeSeen(d.unseenGrants, seen)
			touched[name] = true
		}
	}
	for _, name := range sorted(touched) {
		o.updateDemand(id, c, name)
	}
}

// updateDemand removes a demand that has become empty and updates the account's
// place in the queue.
func (o *Owner) updateDemand(id requesterID, c *requester, name string) {
	a := o.account(name)
	if d, ok := c.demands[name]; ok && d.reported == 0 && len(d.unseenGrants) == 0 {
		delete(c.demands, name)
		delete(a.demands, id)
	}
	o.updateQueue(a)
}

func sorted[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}

func (o *Owner) setDemand(id requesterID, c *requester, w wire.Waiting) {
	d, ok := c.demands[w.Account]
	if !ok {
		if w.Count <= 0 {
			return
		}
		d = &demand{id: id}
		c.demands[w.Account] = d
		o.account(w.Account).demands[id] = d
	}
	d.reported = max(0, w.Count)
	d.priority = w.Priority
}

func removeSeen(unseen []uint64, seen uint64) []uint64 {
	kept := unseen[:0]
	for _, s := range unseen {
		if s > seen {
			kept = append(kept, s)
		}
	}
	return kept
}

func (o *Owner) dropRequester(id requesterID) {
	c, ok := o.requesters[id]
	if !ok {
		return
	}
	for _, name := range sorted(c.demands) {
		a := o.account(name)
		delete(a.demands, id)
		o.updateQueue(a)
	}
	delete(o.requesters, id)
}

// holderTimeout is how long after its last message a router is granted leases.
// A paused or disconnected router would leave the slots idle. It exceeds the
// longest time between two reports.
const holderTimeout = 900 * time.Millisecond

// isFresh reports whether the requester sent a message recently enough to be
// granted a lease. A sibling may miss one share.
func (o *Owner) isFresh(id requesterID) bool {
	if id.pool == o.pool {
		h, ok := o.holders[id.node]
		return ok && o.now-h.lastSeen < holderTimeout
	}
	s, ok := o.siblings[id.pool]
	return ok && s.known && o.now-s.lastSeen < 2*o.shareInterval()+shareSlack
}

// shareSlack is the accepted delay of a share.
const shareSlack = 150 * time.Millisecond

// updateQueues re-evaluates all accounts with demands, because requesters may
// have become stale.
func (o *Owner) updateQueues() {
	for _, name := range sorted(o.accounts) {
		if a := o.accounts[name]; len(a.demands) > 0 {
			o.updateQueue(a)
		}
	}
}

// bestDemand returns the account's demand to serve first: of a router in this
// zone before one of a sibling, then by higher priority, then by longer queue.
func (o *Owner) bestDemand(a *account) *demand {
	var best *demand
	for _, c := range a.demands {
		if c.count() == 0 || !o.isFresh(c.id) {
			continue
		}
		if best == nil || o.servedBefore(c, best) {
			best = c
		}
	}
	return best
}

func (o *Owner) servedBefore(c, d *demand) bool {
	cLocal, dLocal := c.id.pool == o.pool, d.id.pool == o.pool
	if cLocal != dLocal {
		return cLocal
	}
	if c.priority != d.priority {
		return c.priority > d.priority
	}
	if c.count() != d.count() {
		return c.count() > d.count()
	}
	if c.id.node != d.id.node {
		return c.id.node < d.id.node
	}
	return c.id.pool.String() < d.id.pool.String()
}
