package dispatch

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/yarrowmast/yarrowmast/internal/front"
	"github.com/yarrowmast/yarrowmast/internal/platform"
	"github.com/yarrowmast/yarrowmast/pkg/once"
	"github.com/yarrowmast/yarrowmast/pkg/verdict"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

const (
	// claimTimeout is how long the homes of a key may take.
	claimTimeout = 2 * time.Second
	// keyHomeRetryAfter is when a caller may return whose key's homes cannot be reached.
	keyHomeRetryAfter = 2 * time.Second
	// maxVouchPause is the longest pause after which this router still vouches for keys that
	// it did not record: others take a router for lost, and the list may have changed.
	maxVouchPause = time.Second
)

// Answers to a request whose key was not granted. This request itself did not run, but where
// the key was used before, the caller's request may have.
var (
	errKeyUsed = &verdict.Error{
		Verdict: verdict.MayHaveRun, Phase: verdict.PhaseAdmit, Status: http.StatusConflict, Code: "key-used",
		Detail: "a request with this idempotency key was taken before; look up what became of it",
	}
	errKeyUnknown = &verdict.Error{
		Verdict: verdict.MayHaveRun, Phase: verdict.PhaseAdmit, Status: http.StatusConflict, Code: "key-unknown",
		Detail: "the fleet cannot know whether this idempotency key was used; look up what became of it, or send when it was first used as Idempotency-Key-Time",
	}
	errKeyHomesUnreachable = verdict.New(verdict.PhaseAdmit, http.StatusServiceUnavailable, "key-home-unreachable",
		"the routers that remember this idempotency key cannot be reached; come back later")
)

// idempotencyKeys is a router's part in the use of idempotency idempotencyKeys: a home of some, and a claimant of
// those of its callers. Homes are chosen by the platform's list, which says nothing of who
// lives, so that a home that is away keeps its place.
type idempotencyKeys struct {
	homes *once.Homes
	// routersByZone are the routers of each zone by the platform's list, sorted.
	routersByZone map[string][]string
	pending       map[uint64]*pendingClaim
	lastSeq       uint64
	// wallOffset is the wallOffset time at the start less the dispatcher's clock: callers say by the
	// wallOffset clock when they first used a key.
	wallOffset time.Duration
}

// pendingClaim is a key that this router waits to hear of.
type pendingClaim struct {
	msg      *wire.Claim
	answer   chan<- error
	deadline time.Duration
	homes    []string
	ballot   *once.Ballot
}

func newIdempotencyKeys(self string, now time.Duration, at time.Time) *idempotencyKeys {
	wall := time.Duration(at.UnixNano()) - now
	return &idempotencyKeys{homes: once.New(self, now+wall), routersByZone: map[string][]string{}, pending: map[uint64]*pendingClaim{}, wallOffset: wall}
}

func scopedKey(c front.Claim) string { return c.Account + "\x00" + c.Key }

// Claim implements front.Scheduler.
func (d *Dispatcher) Claim(ctx context.Context, cl front.Claim) error {
	answer := make(chan error, 1)
	msg := &wire.Claim{Key: scopedKey(cl), Request: cl.Request}
	if !cl.FirstUsed.IsZero() {
		msg.At = cl.FirstUsed.UnixMilli()
	}
	if !d.post(claimEvent{&pendingClaim{msg: msg, answer: answer}}) {
		return errStopping
	}
	select {
	case err := <-answer:
		return err
	case <-ctx.Done():
		return ctx.Err()
	case <-d.ctx.Done():
		return errStopping
	}
}

// Unclaim implements front.Scheduler.
func (d *Dispatcher) Unclaim(cl front.Claim) {
	d.post(voidClaimEvent{&wire.ClaimVoid{Key: scopedKey(cl), Request: cl.Request}})
}

type claimEvent struct{ *pendingClaim }

func (e claimEvent) apply(s *state) {
	k := s.keys
	k.lastSeq++
	e.msg.Seq = k.lastSeq
	e.deadline = s.now + claimTimeout
	e.homes = k.homesOf(e.msg.Key, s.d.id.Zone)
	e.ballot = once.NewBallot(len(e.homes))
	k.pending[e.msg.Seq] = e.pendingClaim
	for _, home := range e.homes {
		s.sendOrHandle(home, e.msg)
	}
}

type voidClaimEvent struct{ msg *wire.ClaimVoid }

func (e voidClaimEvent) apply(s *state) { s.voidClaim(s.keys.homesOf(e.msg.Key, s.d.id.Zone), e.msg) }

func (s *state) voidClaim(homes []string, msg *wire.ClaimVoid) {
	for _, home := range homes {
		s.sendOrHandle(home, msg)
	}
}

// sendOrHandle sends a message about a key to a router, which may be this one.
func (s *state) sendOrHandle(to string, msg any) {
	if to == s.d.id.Address {
		s.handleClaimMessage(to, msg)
		return
	}
	s.d.net.Send(to, msg)
}

// homesOf returns the homes of a key by the platform's list, for a router of a zone.
func (k *idempotencyKeys) homesOf(key, zone string) []string {
	zones := slices.Sorted(maps.Keys(k.routersByZone))
	if !slices.Contains(zones, zone) {
		zones = append(zones, zone)
		slices.Sort(zones)
	}
	return once.Of(key, k.routersByZone[once.Zone(key, zones)])
}

// setRouters takes in the platform's list of routers.
func (k *idempotencyKeys) setRouters(now time.Duration, zone string, list []platform.Instance) {
	k.routersByZone = map[string][]string{}
	for _, i := range list {
		k.routersByZone[i.Zone] = append(k.routersByZone[i.Zone], i.Address)
	}
	for _, addresses := range k.routersByZone {
		slices.Sort(addresses)
	}
	k.homes.SetRouters(now+k.wallOffset, k.routersByZone[zone])
}

func (s *state) handleClaimMessage(from string, msg any) {
	switch m := msg.(type) {
	case *wire.Claim:
		s.sendOrHandle(from, s.keys.homes.Claim(s.now+s.keys.wallOffset, m))
	case *wire.ClaimVoid:
		s.keys.homes.Void(m)
	case *wire.ClaimAnswer:
		s.handleClaimAnswer(from, m)
	}
}

func (s *state) handleClaimAnswer(from string, m *wire.ClaimAnswer) {
	cl, ok := s.keys.pending[m.Seq]
	if !ok {
		return
	}
	cl.ballot.Add(from, m.State)
	if state, final := cl.ballot.Result(); final {
		s.finishClaim(cl, state)
	}
}

// finishClaim answers a claim. One that was not granted is taken back, so that it does not
// stand in the way of the caller's next try.
func (s *state) finishClaim(cl *pendingClaim, state wire.ClaimState) {
	delete(s.keys.pending, cl.msg.Seq)
	if state != wire.ClaimGranted {
		s.voidClaim(cl.homes, &wire.ClaimVoid{Key: cl.msg.Key, Request: cl.msg.Request})
	}
	cl.answer <- claimError(state)
}

func claimError(state wire.ClaimState) error {
	switch state {
	case wire.ClaimGranted:
		return nil
	case wire.ClaimTaken:
		return errKeyUsed
	case wire.ClaimUnknown:
		return errKeyUnknown
	default:
		return errKeyHomesUnreachable.WithRetryAfter(keyHomeRetryAfter)
	}
}

// expireClaims ends the claims that took too long, and forgets keys whose time is over.
func (s *state) expireClaims() {
	s.keys.homes.Tick(s.now + s.keys.wallOffset)
	for _, seq := range slices.Sorted(maps.Keys(s.keys.pending)) {
		cl := s.keys.pending[seq]
		if s.now >= cl.deadline {
			state, _ := cl.ballot.Result()
			s.finishClaim(cl, state)
		}
	}
}
