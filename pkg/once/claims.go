package once

import (
	"maps"
	"slices"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// claimTimeout bounds the wait for the replies of a key's homes.
const claimTimeout = 2 * time.Second

// Claims asks the homes of idempotency keys whether they may be used, and waits for their replies. It is not
// safe for concurrent use.
type Claims struct {
	send    func(to string, msg any)
	pending map[uint64]*pendingClaim
	lastSeq uint64
}

// pendingClaim is a claim that waits for replies of the key's homes.
type pendingClaim struct {
	msg      *wire.Claim
	homes    []string
	quorum   *ClaimQuorum
	deadline time.Duration
	done     func(wire.ClaimState)
}

// NewClaims returns an empty set of claims that sends its messages by the given function.
func NewClaims(send func(to string, msg any)) *Claims {
	return &Claims{send: send, pending: map[uint64]*pendingClaim{}}
}

// Start asks the homes of a key. It numbers the message. done is called once with the result.
func (c *Claims) Start(now time.Duration, msg *wire.Claim, homes []string, done func(wire.ClaimState)) {
	c.lastSeq++
	msg.Seq = c.lastSeq
	c.pending[msg.Seq] = &pendingClaim{msg: msg, homes: homes, quorum: NewClaimQuorum(len(homes)), deadline: now + claimTimeout, done: done}
	for _, home := range homes {
		c.send(home, msg)
	}
}

// Release tells the homes of a key that a request does not use it.
func (c *Claims) Release(homes []string, msg *wire.ClaimRelease) {
	for _, home := range homes {
		c.send(home, msg)
	}
}

// HandleReply records the reply of a home.
func (c *Claims) HandleReply(from string, m *wire.ClaimReply) {
	p, ok := c.pending[m.Seq]
	if !ok {
		return
	}
	p.quorum.Add(from, m.State)
	if state, final := p.quorum.Result(); final {
		c.finish(p, state)
	}
}

// Expire ends the claims whose homes did not reply in time.
func (c *Claims) Expire(now time.Duration) {
	for _, seq := range slices.Sorted(maps.Keys(c.pending)) {
		p := c.pending[seq]
		if now >= p.deadline {
			state, _ := p.quorum.Result()
			c.finish(p, state)
		}
	}
}

// finish delivers the result of a claim. A claim that was not granted is released, so that a retry of the
// caller can use the key.
func (c *Claims) finish(p *pendingClaim, state wire.ClaimState) {
	delete(c.pending, p.msg.Seq)
	if state != wire.ClaimGranted {
		c.Release(p.homes, &wire.ClaimRelease{Key: p.msg.Key, Request: p.msg.Request})
	}
	p.done(state)
}
