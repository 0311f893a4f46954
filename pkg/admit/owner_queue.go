package admit

import (
	"cmp"
	"slices"

	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// serveQueues grants the free slots of the backend servers owned here.
func (c *Core) serveQueues() {
	for _, s := range c.ownedServers {
		if len(s.owned.queue) > 0 {
			c.serveQueue(s)
		}
	}
}

// serveQueue grants slots to queued requests in order, and denies those that have expired.
func (c *Core) serveQueue(s *server) {
	o := s.owned
	if len(o.queue) == 0 {
		return
	}
	if c.weighted != nil {
		c.serveQueueByWeight(s)
		return
	}
	if o.isManagedPlain() {
		c.servePlainQueue(s)
		return
	}
	c.orderQueue(s)
	c.denyExpired(s)
	left := o.queue[:0]
	for _, a := range o.queue {
		if !c.tryGrant(s, a) {
			left = append(left, a)
		}
	}
	clear(o.queue[len(left):])
	o.queue = left
}

// denyExpired denies the queued requests that have expired, after all of them have left the queue: the
// estimates for them count what still waits.
func (c *Core) denyExpired(s *server) {
	o := s.owned
	var denied []*receivedRequest
	o.queue = slices.DeleteFunc(o.queue, func(a *receivedRequest) bool {
		if c.now < a.expiresAt && s.isOpen() {
			return false
		}
		denied = append(denied, a)
		return true
	})
	for _, a := range denied {
		c.notifyLeaving(s, a.from)
		c.reply(s, a, wire.SlotDenied)
	}
}

// serveQueueByWeight grants slots to the account with the least virtual time. Each grant
// changes that order.
func (c *Core) serveQueueByWeight(s *server) {
	o := s.owned
	o.queue = slices.DeleteFunc(o.queue, func(a *receivedRequest) bool {
		if c.now < a.expiresAt && s.isOpen() && s.owner == c.opt.self.Address {
			return false
		}
		c.notifyLeaving(s, a.from)
		c.reply(s, a, wire.SlotDenied)
		return true
	})
	for len(o.queue) > 0 {
		first := slices.MinFunc(o.queue, func(a, b *receivedRequest) int {
			return cmp.Or(trueFirst(a.MayHaveRun, b.MayHaveRun), c.compareVirtualTime(s, a, b))
		})
		if !c.tryGrant(s, first) {
			return
		}
		o.queue = slices.DeleteFunc(o.queue, func(a *receivedRequest) bool { return a == first })
	}
}

// dequeue removes a request from the queue.
func (o *ownerState) dequeue(key entryKey) {
	o.queue = slices.DeleteFunc(o.queue, func(a *receivedRequest) bool { return a.key() == key })
}

// trueFirst orders true before false.
func trueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}
