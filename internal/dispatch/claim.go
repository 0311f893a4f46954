package dispatch

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/yarrowmast/yarrowmast/internal/front"
	"github.com/yarrowmast/yarrowmast/internal/platform"
	"github.com/yarrowmast/yarrowmast/pkg/once"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// maxVouchPause is the longest pause after which this router still vouches for keys that it did not
// record. After a longer one, others may have removed it and changed the router list.
const maxVouchPause = time.Second

// idempotencyKeys tracks idempotency keys. Each key has home routers that record its use; this
// router is a home of some keys and claims the keys of its callers. Homes are computed from the
// platform's router list, which ignores liveness, so that an unavailable home keeps its role.
type idempotencyKeys struct {
	store *once.KeyStore
	// routersByZone holds the sorted router addresses of each zone by the platform's list.
	routersByZone map[string][]string
	claims        *once.Claims
	// wallOffset is the wall time minus the dispatcher's clock at the start. Callers state
	// the first use of a key in wall time.
	wallOffset time.Duration
}

func newIdempotencyKeys(self string, now time.Duration, at time.Time, send func(to string, msg any)) *idempotencyKeys {
	offset := time.Duration(at.UnixNano()) - now
	return &idempotencyKeys{store: once.New(self, now+offset), routersByZone: map[string][]string{}, claims: once.NewClaims(send), wallOffset: offset}
}

// Claim implements front.Scheduler.
func (d *Dispatcher) Claim(ctx context.Context, cl front.Claim) error {
	result := make(chan error, 1)
	if !d.post(claimEvent{cl.Message(), result}) {
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

type claimEvent struct {
	msg    *wire.Claim
	result chan<- error
}

func (e claimEvent) apply(s *state) {
	s.keys.claims.Start(s.now, e.msg, s.keys.homesOf(e.msg.Key, s.d.id.Zone), func(c wire.ClaimState) { e.result <- front.ClaimError(c) })
}

type releaseClaimEvent struct{ msg *wire.ClaimRelease }

func (e releaseClaimEvent) apply(s *state) {
	s.keys.claims.Release(s.keys.homesOf(e.msg.Key, s.d.id.Zone), e.msg)
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
		s.keys.claims.HandleReply(from, m)
	}
}

// expireClaims ends claims that timed out and forgets expired keys.
func (s *state) expireClaims() {
	s.keys.store.Tick(s.now + s.keys.wallOffset)
	s.keys.claims.Expire(s.now)
}
