package admit

import (
	"cmp"
	"slices"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/enginemodel"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// The order of an engine's queue under overload: requests that can still meet their target, counted
// from the caller's first attempt, go before those that cannot, within an account and after rank.
// Late ones get the remaining capacity and at least one grant in lateGrantInterval.

const (
	// lateFraction of its whole target is what a late request may use. The rest is left to requests
	// that can still meet theirs.
	lateFraction = 0.5
	// lateGrantInterval is the number of grants of which one goes to a late request, if any waits.
	lateGrantInterval = 8
)

// lateTurn sees to it that late requests get one grant in lateGrantInterval.
type lateTurn struct {
	// grantsSinceLate counts the grants since the last one to a late request, while one waited.
	grantsSinceLate int
	// turn is the late request that goes next, nil if it is not its turn.
	turn *receivedRequest
}

// orderQueue sorts the queue of a backend server.
func (c *Core) orderQueue(s *server) {
	o, svc := s.owned, c.serviceOf(s)
	if !svc.engine {
		c.sortQueue(o.queue, compareDue)
		return
	}
	for _, a := range o.queue {
		a.late = c.isLate(s, a)
	}
	c.sortQueue(o.queue, compareInAccount)
	o.chooseLateTurn(func(a *receivedRequest) bool { return c.memoryFits(svc, o, a) })
}

// sortQueue orders slot requests: those that may have run go first, then by rank, by how much of the account
// was started lately, and by inAccount.
func (c *Core) sortQueue(queue []*receivedRequest, inAccount func(a, b *receivedRequest) int) {
	started := make(map[wire.NameHash]float64, len(queue))
	for _, a := range queue {
		if _, ok := started[a.Account]; !ok {
			started[a.Account] = c.accounts.startedRate(a.Account, c.now)
		}
	}
	slices.SortStableFunc(queue, func(a, b *receivedRequest) int {
		return cmp.Or(
			trueFirst(a.MayHaveRun, b.MayHaveRun),
			compareRank(a, b),
			cmp.Compare(started[a.Account], started[b.Account]),
			inAccount(a, b),
		)
	})
}

// compareInAccount orders the slot requests of an account at an engine: by whether they can still meet
// their target, by whether their callers returned before they were told to, and by due time.
func compareInAccount(a, b *receivedRequest) int {
	return cmp.Or(trueFirst(!a.late, !b.late), trueFirst(!a.early, !b.early), compareDue(a, b))
}

func compareDue(a, b *receivedRequest) int { return cmp.Compare(a.due, b.due) }

func compareRank(a, b *receivedRequest) int {
	return cmp.Or(cmp.Compare(a.AccountRank, b.AccountRank), cmp.Compare(a.Rank, b.Rank))
}

// chooseLateTurn moves the first late request of the best rank that fits into the memory to the front of
// the sorted queue, behind those that may have run, if its turn has come.
func (o *ownerState) chooseLateTurn(fits func(*receivedRequest) bool) {
	o.turn = nil
	if o.grantsSinceLate < lateGrantInterval-1 {
		return
	}
	first := slices.IndexFunc(o.queue, func(a *receivedRequest) bool { return !a.MayHaveRun })
	at := slices.IndexFunc(o.queue, func(a *receivedRequest) bool { return !a.MayHaveRun && a.late && fits(a) })
	if at < 0 || compareRank(o.queue[at], o.queue[first]) != 0 {
		return
	}
	o.turn = o.queue[at]
	copy(o.queue[first+1:at+1], o.queue[first:at])
	o.queue[first] = o.turn
}

// lateTurnOf returns the late request that goes next, nil if there is none. Others do not wait for the
// memory that it needs, which may take as long as the longest response.
func (c *Core) lateTurnOf(svc *service, o *ownerState) *receivedRequest {
	if o.turn == nil || c.now >= o.turn.expiresAt || !slices.Contains(o.queue, o.turn) || !c.memoryFits(svc, o, o.turn) {
		return nil
	}
	return o.turn
}

// goesBefore reports whether a request has to wait until a late request has had its turn, or is that
// request.
func (c *Core) goesBefore(turn, a *receivedRequest) bool {
	return a == turn || cmp.Or(compareRank(turn, a), cmp.Compare(c.accounts.startedRate(turn.Account, c.now), c.accounts.startedRate(a.Account, c.now))) <= 0
}

// admitsLateTurn reports whether an engine can take the late request whose turn has come: if it has a
// slot, and others with short targets would wait for little else.
func (c *Core) admitsLateTurn(svc *service, s *server) bool {
	o := s.owned
	return o.running < s.Slots && c.readTime(s, c.unread(s)) <= aheadFraction*svc.shortestTarget.get(c.now).Seconds()
}

// isLate reports whether a request can no longer meet its target. A prompt that takes longer than its
// whole target to process is late only after that: it would otherwise always go last.
func (c *Core) isLate(s *server, a *receivedRequest) bool {
	left := a.due - c.now
	if left <= 0 {
		return true
	}
	alone := s.engine.Predict(c.now, enginemodel.Load{PrefillTokens: s.prefillOf(a.SlotRequest, c.now)}).Expected
	return alone > left && alone <= a.target()
}

// target returns the whole target of a request, from its arrival at its holder.
func (a *receivedRequest) target() time.Duration {
	return time.Duration(a.TargetMillis+a.context.ElapsedMillis) * time.Millisecond
}

// usableTarget returns the time within which the first event of a request has to be predicted.
func (c *Core) usableTarget(a *receivedRequest) time.Duration {
	if !a.late {
		return a.due - c.now
	}
	return time.Duration(lateFraction * float64(a.target()))
}

// recordEngineGrant counts a grant at an engine, and notes that a promised request got its slot.
func (c *Core) recordEngineGrant(svc *service, s *server, a *receivedRequest) {
	o := s.owned
	if !svc.engine {
		return
	}
	if o.returns != nil {
		o.returns.Claim(c.now, a.context.Key)
	}
	switch {
	case a.late:
		o.grantsSinceLate, o.turn = 0, nil
	case slices.ContainsFunc(o.queue, func(x *receivedRequest) bool { return x.late }):
		o.grantsSinceLate++
	}
}
