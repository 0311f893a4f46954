package router

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"sort"
	"time"

	"github.com/yarrowmast/yarrowmast/internal/front"
	"github.com/yarrowmast/yarrowmast/pkg/once"
	"github.com/yarrowmast/yarrowmast/pkg/verdict"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// claimWithin is how long the homes of a key may take.
const claimWithin = 2 * time.Second

// Answers to a request whose key was not granted. This request itself did not
// run, but where the key was used before, the caller's request may have.
var (
	errKeyUsed = &verdict.Error{
		Verdict: verdict.MayHaveRun, Phase: verdict.PhaseAdmit, Status: http.StatusConflict, Code: "key-used",
		Detail: "a request with this idempotency key was taken before; look up what became of it",
	}
	errKeyUnknown = &verdict.Error{
		Verdict: verdict.MayHaveRun, Phase: verdict.PhaseAdmit, Status: http.StatusConflict, Code: "key-unknown",
		Detail: "the fleet cannot know whether this idempotency key was used; look up what became of it, or send when it was first used as Idempotency-Key-Time",
	}
	errKeyHome = verdict.New(verdict.PhaseAdmit, http.StatusServiceUnavailable, "key-home-unreachable",
		"the routers that remember this idempotency key cannot be reached; come back later")
)

// claiming is a key that this router waits to hear of.
type claiming struct {
	msg    *wire.Claim
	answer chan<- error
	until  time.Duration
	homes  []string
	ballot *once.Ballot
}

func keyOf(c front.Claim) string { return c.Account + "\x00" + c.Key }

// Claim implements front.Scheduler.
func (r *Router) Claim(ctx context.Context, cl front.Claim) error {
	answer := make(chan error, 1)
	msg := &wire.Claim{Key: keyOf(cl), Request: cl.Request}
	if !cl.FirstUsed.IsZero() {
		msg.At = cl.FirstUsed.UnixMilli()
	}
	if !r.post(claimKey{&claiming{msg: msg, answer: answer}}) {
		return errGone
	}
	select {
	case err := <-answer:
		return err
	case <-ctx.Done():
		return ctx.Err()
	case <-r.ctx.Done():
		return errGone
	}
}

// Unclaim implements front.Scheduler.
func (r *Router) Unclaim(cl front.Claim) {
	r.post(voidKey{&wire.ClaimRelease{Key: keyOf(cl), Request: cl.Request}})
}

type claimKey struct{ *claiming }

func (e claimKey) apply(c *core) {
	c.nextID++
	e.msg.Seq = c.nextID
	e.until = c.now + claimWithin
	e.homes = c.keyHomes(e.msg.Key)
	e.ballot = once.NewBallot(len(e.homes))
	c.claims[e.msg.Seq] = e.claiming
	for _, home := range e.homes {
		c.send(home, e.msg)
	}
}

type voidKey struct{ msg *wire.ClaimRelease }

func (e voidKey) apply(c *core) { c.void(c.keyHomes(e.msg.Key), e.msg) }

func (c *core) void(homes []string, msg *wire.ClaimRelease) {
	for _, home := range homes {
		c.send(home, msg)
	}
}

// keyHomes returns the homes of a key by the platform's list.
func (c *core) keyHomes(key string) []string {
	return once.Of(key, c.allListed(once.Zone(key, c.zones())))
}

// zones returns the availability zones on the platform's list.
func (c *core) zones() []string {
	seen := map[string]bool{c.r.id.Zone: true}
	zones := []string{c.r.id.Zone}
	for _, i := range c.instances {
		if !seen[i.Zone] {
			seen[i.Zone] = true
			zones = append(zones, i.Zone)
		}
	}
	sort.Strings(zones)
	return zones
}

func (c *core) receiveClaim(from string, msg any) {
	switch m := msg.(type) {
	case *wire.Claim:
		c.send(from, c.keys.Claim(c.now, m))
	case *wire.ClaimRelease:
		c.keys.Void(m)
	case *wire.ClaimReply:
		c.claimAnswered(from, m)
	}
}

func (c *core) claimAnswered(from string, m *wire.ClaimReply) {
	cl, ok := c.claims[m.Seq]
	if !ok {
		return
	}
	cl.ballot.Add(from, m.State)
	if state, final := cl.ballot.Result(); final {
		c.endClaim(cl, state)
	}
}

// endClaim answers a claim. One that was not granted is taken back, so that
// it does not stand in the way of the caller's next try.
func (c *core) endClaim(cl *claiming, state wire.ClaimState) {
	delete(c.claims, cl.msg.Seq)
	if state != wire.ClaimGranted {
		c.void(cl.homes, &wire.ClaimRelease{Key: cl.msg.Key, Request: cl.msg.Request})
	}
	cl.answer <- claimError(state)
}

func claimError(s wire.ClaimState) error {
	switch s {
	case wire.ClaimGranted:
		return nil
	case wire.ClaimTaken:
		return errKeyUsed
	case wire.ClaimUnknown:
		return errKeyUnknown
	default:
		return errKeyHome.WithRetryAfter(retryAfter)
	}
}

func (c *core) expireClaims() {
	for _, seq := range slices.Sorted(maps.Keys(c.claims)) {
		cl := c.claims[seq]
		if c.now >= cl.until {
			state, _ := cl.ballot.Result()
			c.endClaim(cl, state)
		}
	}
}
