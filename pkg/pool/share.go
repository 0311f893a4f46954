package pool

import (
	"slices"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// sibling is the owner of another pool of the same model.
type sibling struct {
	node  string
	epoch uint64
	seq   uint64
	heard time.Duration
	known bool
	free  int
	slots int
	// stamp is the last one received.
	stamp wire.Stamp
	// seenGrant is the Seq of the last grant received from it.
	seenGrant uint64
	served    map[string]remote
	limited   map[string]wire.Limited
	// asks are the accounts with work waiting at the sibling.
	asks map[string]bool
}

// remote is an account's service as a sibling last told it.
type remote struct {
	tokens float64
	// ownAt is this owner's own service of the account at that time.
	ownAt float64
	// serving says that the sibling's last share raised the service.
	serving bool
}

// Siblings replaces the owners of the model's other pools, by pool.
type Siblings struct{ Nodes map[wire.Pool]string }

// Share is another owner's share.
type Share struct {
	From string
	Msg  *wire.Share
}

func (e Siblings) apply(o *Owner) {
	for _, p := range wire.SortedPools(e.Nodes) {
		node := e.Nodes[p]
		s, ok := o.siblings[p]
		if !ok {
			s = &sibling{served: map[string]remote{}}
			o.siblings[p] = s
		}
		if s.node != node {
			o.dropClaimer(claimant{node: s.node, pool: p})
			s.node = node
			s.seenGrant = 0
		}
	}
	for _, p := range o.siblingPools() {
		s := o.siblings[p]
		if _, ok := e.Nodes[p]; !ok {
			o.dropClaimer(claimant{node: s.node, pool: p})
			o.unserve(s)
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
	s.epoch, s.seq, s.heard, s.known = e.Msg.Epoch, e.Msg.Seq, o.now, true
	s.free, s.slots, s.stamp = e.Msg.Free, e.Msg.Slots, e.Msg.Stamp
	o.learn(s, e.Msg.Served, fresh)
	o.agree(e.Msg.Served)
	o.learnLimited(s, e.Msg.Limited, fresh)
	s.asks = make(map[string]bool, len(e.Msg.Waiting))
	for _, v := range e.Msg.Waiting {
		s.asks[v.Account] = true
	}
	o.setClaims(claimant{node: e.From, pool: e.Msg.From}, e.Msg.Waiting, e.Msg.Seen, true)
}

// agree moves the virtual times of accounts that are active here towards the
// sender's. Owners start and lift accounts at different moments; without this
// each would hold on to its own idea of who is behind, and serve only those.
func (o *Owner) agree(served []wire.Served) {
	if o.opt.agree == 0 {
		return
	}
	sum, n := 0.0, 0.0
	for _, v := range served {
		if o.queue.Get(v.Account).Active {
			sum += float64(v.VirtualTime) - o.sure(o.account(v.Account))
			n++
		}
	}
	for _, v := range served {
		if a := o.queue.Get(v.Account); a.Active {
			off := float64(v.VirtualTime) - o.sure(o.account(v.Account)) - sum/n
			o.queue.Charge(v.Account, o.opt.agree*off*a.Weight)
		}
	}
}

// sure returns an account's virtual time without the guesses of what other
// zones gave it since their last shares.
func (o *Owner) sure(a *account) float64 {
	q := o.queue.Get(a.name)
	return q.VirtualTime - o.guessed(a)/q.Weight
}

// guessed returns the tokens that charge added for other zones since their
// last shares.
func (o *Owner) guessed(a *account) float64 {
	if o.opt.estimator != CountedByZones || a.zones == 0 {
		return 0
	}
	sum := 0.0
	for _, s := range o.siblings {
		if r := s.served[a.name]; r.serving {
			sum += a.own - r.ownAt
		}
	}
	return sum
}

// dropSilentSiblings forgets the demand of owners that are cut off.
func (o *Owner) dropSilentSiblings() {
	for _, p := range o.siblingPools() {
		s := o.siblings[p]
		if s.known && o.now-s.heard >= o.silence() {
			s.known = false
			s.free = 0
			o.unserve(s)
			o.dropClaimer(claimant{node: s.node, pool: p})
		}
	}
}

// wantShare asks for a share before the next regular one, because work waits
// here that idle slots elsewhere could take.
func (o *Owner) wantShare() {
	if len(o.siblings) == 0 {
		return
	}
	o.shareDirty = true
	if o.untold && o.someIdle() && o.now-o.lastShare >= ShareInterval(o.opt.shareSoonest, len(o.siblings)) {
		o.shareAll()
	}
}

func (o *Owner) localWaiting(a *account) int {
	n := 0
	for who, c := range a.claims {
		if who.pool == o.pool {
			n += c.count()
		}
	}
	return n
}

// someIdle reports whether a sibling may have idle slots; where all are busy,
// news of work can wait for the regular share.
func (o *Owner) someIdle() bool {
	for _, s := range o.siblings {
		if !s.known || s.free > 0 {
			return true
		}
	}
	return false
}

// shareIfDue sends the regular share. An owner with nothing to tell shares
// idleShares times more rarely, so that others know it is there.
func (o *Owner) shareIfDue() {
	if len(o.siblings) == 0 {
		return
	}
	since := o.now - o.lastShare
	every := o.shareInterval()
	if since < every {
		return
	}
	if !o.asking && !o.shareDirty && !o.anyChanged() && since < idleShares*every {
		return
	}
	o.shareAll()
}

// ShareInterval returns the time between two shares of a pool with that many
// siblings. It grows with them, so that a pool's traffic does not.
func ShareInterval(every time.Duration, siblings int) time.Duration {
	return every * time.Duration(max(siblings-1, 1))
}

func (o *Owner) shareInterval() time.Duration {
	return ShareInterval(o.opt.shareEvery, len(o.siblings))
}

// silence is after what time a sibling that says nothing counts as cut off:
// as its own shares may be as far apart as this owner's, some more than that.
func (o *Owner) silence() time.Duration {
	every := o.shareInterval()
	return max(o.opt.siblingSilence, (idleShares+2)*every)
}

// idleShares is how many intervals pass between shares with no news.
const idleShares = 4

func (o *Owner) anyChanged() bool {
	for _, a := range o.accounts {
		if a.changed || a.told > 0 {
			return true
		}
	}
	return false
}

func (o *Owner) shareAll() {
	o.lastShare = o.now
	o.shareDirty = false
	o.untold = false
	o.shareSeq++
	served := o.servedNews()
	limited := o.limitedNews()
	pools := o.siblingPools()
	waiting := o.slices(pools)
	o.asking = slices.ContainsFunc(waiting, func(w []wire.Waiting) bool { return len(w) > 0 })
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

// servedNews lists the accounts whose service changed since the last share,
// and once more those that stopped changing.
func (o *Owner) servedNews() []wire.Served {
	var served []wire.Served
	least := o.queue.MinVirtualTime()
	for _, name := range sorted(o.accounts) {
		a := o.accounts[name]
		if a.changed || a.sent || o.queue.Get(name).Active {
			served = append(served, wire.Served{Account: name, Tokens: a.own, VirtualTime: float32(o.sure(a) - least)})
		}
		a.sent = a.changed
		a.changed = false
	}
	return served
}

// slices divides the work that waits here among the siblings, so that not
// all of them send leases for the same request: first by their free slots,
// the rest evenly, the odd ones in turn.
func (o *Owner) slices(pools []wire.Pool) [][]wire.Waiting {
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
		a.told = n
		o.slice(a, n, free, parts)
	}
	return parts
}

func (o *Owner) slice(a *account, n int, free []int, parts [][]wire.Waiting) {
	k := len(parts)
	counts := make([]int, k)
	for i := range free {
		take := min(n, free[i])
		counts[i] += take
		free[i] -= take
		n -= take
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
			o.accounts[name].told = 0
		}
	}
	return names
}
