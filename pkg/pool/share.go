package pool

import (
	"slices"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// sibling is the owner of another pool of the same model.
type sibling struct {
	node     string
	epoch    uint64
	seq      uint64
	lastSeen time.Duration
	known    bool
	free     int
	slots    int
	// stamp is the last stamp received.
	stamp wire.Stamp
	// seenGrant is the Seq of the last grant received from the sibling.
	seenGrant uint64
	served    map[string]remoteService
	limited   map[string]wire.Limited
	// waiting is the set of accounts with requests waiting at the sibling.
	waiting map[string]bool
}

// remoteService is an account's service according to a sibling's last share.
type remoteService struct {
	tokens float64
	// localAtShare is this owner's own service of the account when that share
	// arrived.
	localAtShare float64
	// serving is whether the sibling's last share increased the service.
	serving bool
}

// Siblings replaces the owners of the model's other pools, by pool.
type Siblings struct{ Nodes map[wire.Pool]string }

// Share is a share from the owner of another pool.
type Share struct {
	From string
	Msg  *wire.Share
}

func (e Siblings) apply(o *Owner) {
	for _, p := range wire.SortedPools(e.Nodes) {
		node := e.Nodes[p]
		s, ok := o.siblings[p]
		if !ok {
			s = &sibling{served: map[string]remoteService{}}
			o.siblings[p] = s
		}
		if s.node != node {
			o.dropRequester(requesterID{node: s.node, pool: p})
			s.node = node
			s.seenGrant = 0
		}
	}
	for _, p := range o.siblingPools() {
		s := o.siblings[p]
		if _, ok := e.Nodes[p]; !ok {
			o.dropRequester(requesterID{node: s.node, pool: p})
			o.clearServing(s)
			delete(o.siblings, p)
		}
	}
}

func (e Share) apply(o *Owner) {
	s, ok := o.siblings[e.Msg.From]
	if !ok || s.node != e.From {
		return
	}
	if s.epoch == e.Msg.Epoch && e.Msg.Seq <= s.seq {
		return
	}
	fresh := !s.known || s.epoch != e.Msg.Epoch
	s.epoch, s.seq, s.lastSeen, s.known = e.Msg.Epoch, e.Msg.Seq, o.now, true
	s.free, s.slots, s.stamp = e.Msg.Free, e.Msg.Slots, e.Msg.Stamp
	o.applyServed(s, e.Msg.Served, fresh)
	o.converge(e.Msg.Served)
	o.applyLimited(s, e.Msg.Limited, fresh)
	s.waiting = make(map[string]bool, len(e.Msg.Waiting))
	for _, v := range e.Msg.Waiting {
		s.waiting[v.Account] = true
	}
	o.setDemands(requesterID{node: e.From, pool: e.Msg.From}, e.Msg.Waiting, e.Msg.Seen, true)
}

// converge moves the virtual times of active accounts towards the sender's.
// Owners start and activate accounts at different times; without convergence
// each would favor the accounts that are behind only in its own view.
func (o *Owner) converge(served []wire.Served) {
	if o.opt.convergence == 0 {
		return
	}
	sum, n := 0.0, 0.0
	for _, v := range served {
		if o.queue.Get(v.Account).Active {
			sum += float64(v.VirtualTime) - o.confirmedVirtualTime(o.account(v.Account))
			n++
		}
	}
	for _, v := range served {
		if a := o.queue.Get(v.Account); a.Active {
			off := float64(v.VirtualTime) - o.confirmedVirtualTime(o.account(v.Account)) - sum/n
			o.queue.Charge(v.Account, o.opt.convergence*off*a.Weight)
		}
	}
}

// confirmedVirtualTime returns an account's virtual time without the estimated
// service by other zones.
func (o *Owner) confirmedVirtualTime(a *account) float64 {
	q := o.queue.Get(a.name)
	return q.VirtualTime - o.guessedTokens(a)/q.Weight
}

// guessedTokens returns the tokens that charge added for other zones since
// their last shares.
func (o *Owner) guessedTokens(a *account) float64 {
	if o.opt.estimator != ScaledByZones || a.servingSiblings == 0 {
		return 0
	}
	sum := 0.0
	for _, s := range o.siblings {
		if r := s.served[a.name]; r.serving {
			sum += a.served - r.localAtShare
		}
	}
	return sum
}

// dropSilentSiblings drops the demands of siblings that have timed out.
func (o *Owner) dropSilentSiblings() {
	for _, p := range o.siblingPools() {
		s := o.siblings[p]
		if s.known && o.now-s.lastSeen >= o.siblingTimeout() {
			s.known = false
			s.free = 0
			o.clearServing(s)
			o.dropRequester(requesterID{node: s.node, pool: p})
		}
	}
}

// requestShare sends a share early if new requests wait here and a sibling may
// have idle slots.
func (o *Owner) requestShare() {
	if len(o.siblings) == 0 {
		return
	}
	o.shareDirty = true
	if o.unreported && o.anySiblingIdle() && o.now-o.lastShare >= ShareInterval(o.opt.minShareInterval, len(o.siblings)) {
		o.shareAll()
	}
}

func (o *Owner) localWaiting(a *account) int {
	n := 0
	for id, c := range a.demands {
		if id.pool == o.pool {
			n += c.count()
		}
	}
	return n
}

// anySiblingIdle reports whether a sibling may have idle slots.
func (o *Owner) anySiblingIdle() bool {
	for _, s := range o.siblings {
		if !s.known || s.free > 0 {
			return true
		}
	}
	return false
}

// shareIfDue sends the regular share. Without changes it sends one only every
// idleShareFactor intervals, as a keepalive.
func (o *Owner) shareIfDue() {
	if len(o.siblings) == 0 {
		return
	}
	since := o.now - o.lastShare
	every := o.shareInterval()
	if since < every {
		return
	}
	if !o.askedForSlots && !o.shareDirty && !o.anyChanged() && since < idleShareFactor*every {
		return
	}
	o.shareAll()
}

// ShareInterval returns the time between two shares of a pool with that many
// siblings. It grows with their number, so that the traffic of a pool stays
// constant.
func ShareInterval(every time.Duration, siblings int) time.Duration {
	return every * time.Duration(max(siblings-1, 1))
}

func (o *Owner) shareInterval() time.Duration {
	return ShareInterval(o.opt.shareInterval, len(o.siblings))
}

// siblingTimeout returns how long after its last share a sibling counts as
// disconnected. It allows for a sibling that has nothing to report.
func (o *Owner) siblingTimeout() time.Duration {
	every := o.shareInterval()
	return max(o.opt.siblingTimeout, (idleShareFactor+2)*every)
}

// idleShareFactor is the number of intervals between shares without changes.
const idleShareFactor = 4

func (o *Owner) anyChanged() bool {
	for _, a := range o.accounts {
		if a.changed || a.sharedWaiting > 0 {
			return true
		}
	}
	return false
}

func (o *Owner) shareAll() {
	o.lastShare = o.now
	o.shareDirty = false
	o.unreported = false
	o.shareSeq++
	served := o.changedService()
	limited := o.limitedUsage()
	pools := o.siblingPools()
	waiting := o.splitWaiting(pools)
	o.askedForSlots = slices.ContainsFunc(waiting, func(w []wire.Waiting) bool { return len(w) > 0 })
	free := o.freeSlots()
	slots := o.slots()
	for i, p := range pools {
		s := o.siblings[p]
		o.send(s.node, &wire.Share{
			From: o.pool, To: p, Epoch: o.epoch, Seq: o.shareSeq, Stamp: wire.StampOf(o.now), Seen: s.seenGrant,
			Served: served, Limited: limited, Waiting: waiting[i], Free: free, Slots: slots,
		})
	}
}

func (o *Owner) siblingPools() []wire.Pool {
	return wire.SortedPools(o.siblings)
}

// changedService returns the service of accounts that are active or changed
// since the last share, and one final entry for accounts that stopped changing.
func (o *Owner) changedService() []wire.Served {
	var served []wire.Served
	least := o.queue.MinVirtualTime()
	for _, name := range sorted(o.accounts) {
		a := o.accounts[name]
		if a.changed || a.inLastShare || o.queue.Get(name).Active {
			served = append(served, wire.Served{Account: name, Tokens: a.served, VirtualTime: float32(o.confirmedVirtualTime(a) - least)})
		}
		a.inLastShare = a.changed
		a.changed = false
	}
	return served
}

// splitWaiting divides the waiting requests among the siblings, so that they do
// not lend several leases for the same request: first by their free slots, the
// rest evenly, with the remainder rotating.
func (o *Owner) splitWaiting(pools []wire.Pool) [][]wire.Waiting {
	parts := make([][]wire.Waiting, len(pools))
	if len(pools) == 0 {
		return parts
	}
	free := make([]int, len(pools))
	for i, p := range pools {
		free[i] = o.siblings[p].free
	}
	for _, name := range o.activeNames() {
		a := o.accounts[name]
		n := o.localWaiting(a)
		a.sharedWaiting = n
		o.splitAccount(a, n, free, parts)
	}
	return parts
}

func (o *Owner) splitAccount(a *account, n int, free []int, parts [][]wire.Waiting) {
	k := len(parts)
	counts := make([]int, k)
	for i := range free {
		taken := min(n, free[i])
		counts[i] += taken
		free[i] -= taken
		n -= taken
	}
	for i := range counts {
		counts[i] += n / k
	}
	for j := 0; j < n%k; j++ {
		counts[(int(o.shareSeq)+j)%k]++
	}
	for i, c := range counts {
		if c > 0 {
			parts[i] = append(parts[i], wire.Waiting{Account: a.name, Count: c})
		}
	}
}

func (o *Owner) activeNames() []string {
	var names []string
	for _, name := range sorted(o.accounts) {
		if o.queue.Get(name).Active {
			names = append(names, name)
		} else {
			o.accounts[name].sharedWaiting = 0
		}
	}
	return names
}
