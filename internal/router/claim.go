package router

import (
	"context"
	"net/http"
	"sort"
	"time"

	"github.com/yarrowmast/yarrowmast/internal/front"
	"github.com/yarrowmast/yarrowmast/pkg/once"
	"github.com/yarrowmast/yarrowmast/pkg/rendezvous"
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
	// moved counts how often the claim was sent on to another home.
	moved int
}

func keyOf(c front.Claim) string { return c.Account + "\x00" + c.Key }

// Claim implements front.Scheduler.
func (r *Router) Claim(ctx context.Context, cl front.Claim) error {
	answer := make(chan error, 1)
	msg := &wire.Claim{Key: keyOf(cl), Request: cl.Request}
	if !cl.At.IsZero() {
		msg.At = cl.At.UnixMilli()
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
	r.post(voidKey{&wire.ClaimVoid{Key: keyOf(cl), Request: cl.Request}})
}

type claimKey struct{ *claiming }

func (e claimKey) apply(c *core) {
	c.nextID++
	e.msg.Seq = c.nextID
	e.until = c.now + claimWithin
	c.claims[e.msg.Seq] = e.claiming
	c.send(c.keyHome(e.msg.Key), e.msg)
}

type voidKey struct{ msg *wire.ClaimVoid }

func (e voidKey) apply(c *core) { c.send(c.keyHome(e.msg.Key), e.msg) }

// keyHome returns the first home of a key as this router sees it.
func (c *core) keyHome(key string) string {
	zone := once.Zone(key, c.zones())
	if zone == c.r.id.Zone {
		return rendezvous.Owner(key, c.members.Live())
	}
	return rendezvous.Owner(key, c.listed(zone))
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
		c.sendClaims(c.keys.Step(c.now, once.Claim{From: from, Msg: m}))
	case *wire.ClaimCopy:
		c.sendClaims(c.keys.Step(c.now, once.Copy{From: from, Msg: m}))
	case *wire.ClaimCopied:
		c.sendClaims(c.keys.Step(c.now, once.Copied{From: from, Msg: m}))
	case *wire.ClaimVoid:
		c.sendClaims(c.keys.Step(c.now, once.Void{From: from, Msg: m}))
	case *wire.ClaimAnswer:
		c.claimAnswered(m)
	}
}

func (c *core) sendClaims(msgs []once.Send) {
	for _, s := range msgs {
		c.send(s.To, s.Msg)
	}
}

// movesMost bounds how often a claim follows one home's word to another.
const movesMost = 2

func (c *core) claimAnswered(m *wire.ClaimAnswer) {
	cl, ok := c.claims[m.Seq]
	if !ok {
		return
	}
	if m.State == wire.ClaimElsewhere && m.Home != "" && cl.moved < movesMost {
		cl.moved++
		c.send(m.Home, cl.msg)
		return
	}
	delete(c.claims, m.Seq)
	cl.answer <- claimError(m.State)
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
		return errKeyHome.After(time.Second)
	}
}

func (c *core) expireClaims() {
	for seq, cl := range c.claims {
		if c.now >= cl.until {
			delete(c.claims, seq)
			cl.answer <- errKeyHome.After(retryAfter)
		}
	}
}
