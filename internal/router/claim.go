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

// claimTimeout is how long a claim waits for the key's homes.
const claimTimeout = 2 * time.Second

// Errors for requests whose key was not granted. This request has not run, but
// an earlier one with the same key may have.
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

// pendingClaim is a claim that waits for the replies of the key's homes.
type pendingClaim struct {
	msg    *wire.Claim
	reply  chan<- error
	until  time.Duration
	homes  []string
	quorum *once.ClaimQuorum
}

// Claim implements front.Scheduler.
func (r *Router) Claim(ctx context.Context, cl front.Claim) error {
	reply := make(chan error, 1)
	if !r.post(claimKey{&pendingClaim{msg: cl.Message(), reply: reply}}) {
		return errStopped
	}
	select {
	case err := <-reply:
		return err
	case <-ctx.Done():
		return ctx.Err()
	case <-r.ctx.Done():
		return errStopped
	}
}

// Unclaim implements front.Scheduler.
func (r *Router) Unclaim(cl front.Claim) {
	r.post(releaseKey{&wire.ClaimRelease{Key: cl.ScopedKey(), Request: cl.Request}})
}

type claimKey struct{ *pendingClaim }

func (e claimKey) apply(c *core) {
	c.nextID++
	e.msg.Seq = c.nextID
	e.until = c.now + claimTimeout
	e.homes = c.keyHomes(e.msg.Key)
	e.quorum = once.NewClaimQuorum(len(e.homes))
	c.claims[e.msg.Seq] = e.pendingClaim
	for _, home := range e.homes {
		c.send(home, e.msg)
	}
}

type releaseKey struct{ msg *wire.ClaimRelease }

func (e releaseKey) apply(c *core) { c.releaseClaim(c.keyHomes(e.msg.Key), e.msg) }

func (c *core) releaseClaim(homes []string, msg *wire.ClaimRelease) {
	for _, home := range homes {
		c.send(home, msg)
	}
}

// keyHomes returns the homes of a key according to the platform's list.
func (c *core) keyHomes(key string) []string {
	return once.HomesOf(key, c.allListed(once.HomeZone(key, c.zones())))
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
		c.keys.Release(m)
	case *wire.ClaimReply:
		c.claimReplied(from, m)
	}
}

func (c *core) claimReplied(from string, m *wire.ClaimReply) {
	cl, ok := c.claims[m.Seq]
	if !ok {
		return
	}
	cl.quorum.Add(from, m.State)
	if state, final := cl.quorum.Result(); final {
		c.finishClaim(cl, state)
	}
}

// finishClaim replies to a claim. A claim that was not granted is released, so
// that the caller's next attempt can succeed.
func (c *core) finishClaim(cl *pendingClaim, state wire.ClaimState) {
	delete(c.claims, cl.msg.Seq)
	if state != wire.ClaimGranted {
		c.releaseClaim(cl.homes, &wire.ClaimRelease{Key: cl.msg.Key, Request: cl.msg.Request})
	}
	cl.reply <- claimError(state)
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
			state, _ := cl.quorum.Result()
			c.finishClaim(cl, state)
		}
	}
}
