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
	// claimWithin is how long the homes of a key may take.
	claimWithin = 2 * time.Second
	// keyHomeRetryAfter is when a caller may return whose key's homes cannot be reached.
	keyHomeRetryAfter = 2 * time.Second
	// vouchesUpTo is the longest pause after which this router still vouches for keys that
	// it did not record: others take a router for lost, and the list may have changed.
	vouchesUpTo = time.Second
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
	errKeyHome = verdict.New(verdict.PhaseAdmit, http.StatusServiceUnavailable, "key-home-unreachable",
		"the routers that remember this idempotency key cannot be reached; come back later")
)

// keys is a router's part in the use of idempotency keys: a home of some, and a claimant of
// those of its callers. Homes are chosen by the platform's list, which says nothing of who
// lives, so that a home that is away keeps its place.
type keys struct {
	homes *once.Homes
	// listed are the routers of each zone by the platform's list, sorted.
	listed map[string][]string
	claims map[uint64]*claiming
	lastID uint64
	// wall is the wall time at the start less the dispatcher's clock: callers say by the
	// wall clock when they first used a key.
	wall time.Duration
}

// claiming is a key that this router waits to hear of.
type claiming struct {
	msg    *wire.Claim
	answer chan<- error
	until  time.Duration
	homes  []string
	ballot *once.Ballot
}

func newKeys(self string, now time.Duration, at time.Time) *keys {
	wall := time.Duration(at.UnixNano()) - now
	return &keys{homes: once.New(self, now+wall), listed: map[string][]string{}, claims: map[uint64]*claiming{}, wall: wall}
}

func keyOf(c front.Claim) string { return c.Account + "\x00" + c.Key }

// Claim implements front.Scheduler.
func (d *Dispatcher) Claim(ctx context.Context, cl front.Claim) error {
	answer := make(chan error, 1)
	msg := &wire.Claim{Key: keyOf(cl), Request: cl.Request}
	if !cl.FirstUsed.IsZero() {
		msg.At = cl.FirstUsed.UnixMilli()
	}
	if !d.post(claimKey{&claiming{msg: msg, answer: answer}}) {
		return errGone
	}
	select {
	case err := <-answer:
		return err
	case <-ctx.Done():
		return ctx.Err()
	case <-d.ctx.Done():
		return errGone
	}
}

// Unclaim implements front.Scheduler.
func (d *Dispatcher) Unclaim(cl front.Claim) {
	d.post(voidKey{&wire.ClaimRelease{Key: keyOf(cl), Request: cl.Request}})
}

type claimKey struct{ *claiming }

func (e claimKey) apply(s *state) {
	k := s.keys
	k.lastID++
	e.msg.Seq = k.lastID
	e.until = s.now + claimWithin
	e.homes = k.homesOf(e.msg.Key, s.d.id.Zone)
	e.ballot = once.NewBallot(len(e.homes))
	k.claims[e.msg.Seq] = e.claiming
	for _, home := range e.homes {
		s.sendOrTake(home, e.msg)
	}
}

type voidKey struct{ msg *wire.ClaimRelease }

func (e voidKey) apply(s *state) { s.void(s.keys.homesOf(e.msg.Key, s.d.id.Zone), e.msg) }

func (s *state) void(homes []string, msg *wire.ClaimRelease) {
	for _, home := range homes {
		s.sendOrTake(home, msg)
	}
}

// sendOrTake sends a message about a key to a router, which may be this one.
func (s *state) sendOrTake(to string, msg any) {
	if to == s.d.id.Address {
		s.receiveClaim(to, msg)
		return
	}
	s.d.net.Send(to, msg)
}

// homesOf returns the homes of a key by the platform's list, for a router of a zone.
func (k *keys) homesOf(key, zone string) []string {
	zones := slices.Sorted(maps.Keys(k.listed))
	if !slices.Contains(zones, zone) {
		zones = append(zones, zone)
		slices.Sort(zones)
	}
	return once.Of(key, k.listed[once.Zone(key, zones)])
}

// setList takes in the platform's list of routers.
func (k *keys) setList(now time.Duration, zone string, list []platform.Instance) {
	k.listed = map[string][]string{}
	for _, i := range list {
		k.listed[i.Zone] = append(k.listed[i.Zone], i.Address)
	}
	for _, addresses := range k.listed {
		slices.Sort(addresses)
	}
	k.homes.SetRouters(now+k.wall, k.listed[zone])
}

func (s *state) receiveClaim(from string, msg any) {
	switch m := msg.(type) {
	case *wire.Claim:
		s.sendOrTake(from, s.keys.homes.Claim(s.now+s.keys.wall, m))
	case *wire.ClaimRelease:
		s.keys.homes.Void(m)
	case *wire.ClaimReply:
		s.claimAnswered(from, m)
	}
}

func (s *state) claimAnswered(from string, m *wire.ClaimReply) {
	cl, ok := s.keys.claims[m.Seq]
	if !ok {
		return
	}
	cl.ballot.Add(from, m.State)
	if state, final := cl.ballot.Result(); final {
		s.endClaim(cl, state)
	}
}

// endClaim answers a claim. One that was not granted is taken back, so that it does not
// stand in the way of the caller's next try.
func (s *state) endClaim(cl *claiming, state wire.ClaimState) {
	delete(s.keys.claims, cl.msg.Seq)
	if state != wire.ClaimGranted {
		s.void(cl.homes, &wire.ClaimRelease{Key: cl.msg.Key, Request: cl.msg.Request})
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
		return errKeyHome.WithRetryAfter(keyHomeRetryAfter)
	}
}

// tickKeys ends the claims that took too long, and forgets keys whose time is over.
func (s *state) tickKeys() {
	s.keys.homes.Tick(s.now + s.keys.wall)
	for _, seq := range slices.Sorted(maps.Keys(s.keys.claims)) {
		cl := s.keys.claims[seq]
		if s.now >= cl.until {
			state, _ := cl.ballot.Result()
			s.endClaim(cl, state)
		}
	}
}
