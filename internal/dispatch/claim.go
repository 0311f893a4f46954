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
	// claimTimeout bounds the wait for the replies of a key's homes.
	claimTimeout = 2 * time.Second
	// keyHomeRetryAfter is the Retry-After when too few homes of a key replied.
	keyHomeRetryAfter = 2 * time.Second
	// maxVouchPause is the longest pause after which this router still vouches for keys
	// that it did not record. After a longer one, others may have removed it and changed
	// the router list.
	maxVouchPause = time.Second
)

// Refusals of a request whose key was not granted. This request did not run, but an earlier one
// with the same key may have.
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

// idempotencyKeys tracks idempotency keys. Each key has home routers that record its use; this
// router is a home of some keys and claims the keys of its callers. Homes are computed from the
// platform's router list, which ignores liveness, so that an unavailable home keeps its role.
type idempotencyKeys struct {
	store *once.KeyStore
	// routersByZone holds the sorted router addresses of each zone by the platform's list.
	routersByZone map[string][]string
	pending       map[uint64]*pendingClaim
	lastSeq       uint64
	// wallOffset is the wall time minus the dispatcher's clock at the start. Callers state
	// the first use of a key in wall time.
	wallOffset time.Duration
}

// pendingClaim is a claim that waits for replies of the key's homes.
type pendingClaim struct {
	msg      *wire.Claim
	result   chan<- error
	deadline time.Duration
	homes    []string
	ballot   *once.ClaimQuorum
}

func newIdempotencyKeys(self string, now time.Duration, at time.Time) *idempotencyKeys {
	offset := time.Duration(at.UnixNano()) - now
	return &idempotencyKeys{store: once.New(self, now+offset), routersByZone: map[string][]string{}, pending: map[uint64]*pendingClaim{}, wallOffset: offset}
}

// Claim implements front.Scheduler.
func (d *Dispatcher) Claim(ctx context.Context, cl front.Claim) error {
	result := make(chan error, 1)
	if !d.post(claimEvent{&pendingClaim{msg: cl.Message(), result: result}}) {
		return errStopping
	}
	select {
	case err := <-result:
		return err
	case <-ctx.Done():
		return ctx.Err()
	case <-d.ctx.Done():
		return errStopping
	}
}

// Unclaim implements front.Scheduler.
func (d *Dispatcher) Unclaim(cl front.Claim) {
	d.post(releaseClaimEvent{&wire.ClaimRelease{Key: cl.ScopedKey(), Request: cl.Request}})
}

type claimEvent struct{ *pendingClaim }

func (e claimEvent) apply(s *state) {
	k := s.keys
	k.lastSeq++
	e.msg.Seq = k.lastSeq
	e.deadline = s.now + claimTimeout
	e.homes = k.homesOf(e.msg.Key, s.d.id.Zone)
	e.ballot = once.NewClaimQuorum(len(e.homes))
	k.pending[e.msg.Seq] = e.pendingClaim
	for _, home := range e.homes {
		s.sendOrHandle(home, e.msg)
	}
}

type releaseClaimEvent struct{ msg *wire.ClaimRelease }

func (e releaseClaimEvent) apply(s *state) {
	s.releaseClaim(s.keys.homesOf(e.msg.Key, s.d.id.Zone), e.msg)
}

func (s *state) releaseClaim(homes []string, msg *wire.ClaimRelease) {
	for _, home := range homes {
		s.sendOrHandle(home, msg)
	}
}

// sendOrHandle sends a claim message to a router, or handles it locally if that is this one.
func (s *state) sendOrHandle(to string, msg any) {
	if to == s.d.id.Address {
		s.handleClaimMessage(to, msg)
		return
	}
	s.d.transport.Send(to, msg)
}

// homesOf returns the home routers of a key for a claim from a zone.
func (k *idempotencyKeys) homesOf(key, zone string) []string {
	zones := slices.Sorted(maps.Keys(k.routersByZone))
	if !slices.Contains(zones, zone) {
		zones = append(zones, zone)
		slices.Sort(zones)
	}
	return once.HomesOf(key, k.routersByZone[once.HomeZone(key, zones)])
}

// setRouters replaces the platform's router list.
func (k *idempotencyKeys) setRouters(now time.Duration, zone string, list []platform.Instance) {
	k.routersByZone = map[string][]string{}
	for _, i := range list {
		k.routersByZone[i.Zone] = append(k.routersByZone[i.Zone], i.Address)
	}
	for _, addresses := range k.routersByZone {
		slices.Sort(addresses)
	}
	k.store.SetRouters(now+k.wallOffset, k.routersByZone[zone])
}

func (s *state) handleClaimMessage(from string, msg any) {
	switch m := msg.(type) {
	case *wire.Claim:
		s.sendOrHandle(from, s.keys.store.Claim(s.now+s.keys.wallOffset, m))
	case *wire.ClaimRelease:
		s.keys.store.Release(m)
	case *wire.ClaimReply:
		s.handleClaimReply(from, m)
	}
}

func (s *state) handleClaimReply(from string, m *wire.ClaimReply) {
	cl, ok := s.keys.pending[m.Seq]
	if !ok {
		return
	}
	cl.ballot.Add(from, m.State)
	if state, final := cl.ballot.Result(); final {
		s.finishClaim(cl, state)
	}
}

// finishClaim delivers the result of a claim. It releases a claim that was not granted, so that
// a retry of the caller can use the key.
func (s *state) finishClaim(cl *pendingClaim, state wire.ClaimState) {
	delete(s.keys.pending, cl.msg.Seq)
	if state != wire.ClaimGranted {
		s.releaseClaim(cl.homes, &wire.ClaimRelease{Key: cl.msg.Key, Request: cl.msg.Request})
	}
	cl.result <- claimError(state)
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

// expireClaims ends claims that timed out and forgets expired keys.
func (s *state) expireClaims() {
	s.keys.store.Tick(s.now + s.keys.wallOffset)
	for _, seq := range slices.Sorted(maps.Keys(s.keys.pending)) {
		cl := s.keys.pending[seq]
		if s.now >= cl.deadline {
			state, _ := cl.ballot.Result()
			s.finishClaim(cl, state)
		}
	}
}
