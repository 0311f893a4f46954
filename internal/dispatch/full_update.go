package dispatch

import (
	"slices"
	"time"

	"github.com/yarrowmast/yarrowmast/internal/peer"
	"github.com/yarrowmast/yarrowmast/pkg/catalog"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// When a fleet starts, every router needs everything that the platform publishes, and few have it. A
// router sends it to a few others in a period, and refers the rest to those. They refer others in turn,
// so that it spreads as in a tree: no router sends it more often in a larger fleet, and after the first
// ones of a zone it stays within the zone.
const (
	// maxFullUpdates is the number of full updates that a router sends within fullUpdatePeriod.
	maxFullUpdates   = 4
	fullUpdatePeriod = 250 * time.Millisecond
	// fullUpdateTTL is how long an encoded full update may be reused.
	fullUpdateTTL = 200 * time.Millisecond
	// recipientTTL is how long after it was sent everything a router is referred to.
	recipientTTL = 5 * time.Second
	// A referred router asks every referralInterval, since the other one may still wait for the
	// update itself, and the router that referred it again after referralTimeout.
	referralInterval = 50 * time.Millisecond
	referralTimeout  = 500 * time.Millisecond
)

// referral is a router that this one was referred to.
type referral struct {
	// to is the router to ask, by the one that referred this one to it, "" if there is none.
	to, by string
	// epoch is the epoch of which everything is needed.
	epoch uint64
	// at is when it was received, askedAt when the update was last requested.
	at, askedAt time.Duration
}

// fullUpdates sends full updates and remembers their recipients.
type fullUpdates struct {
	// encoded are the messages of the last full update, as of the revision asOf, made at encodedAt.
	encoded   []any
	asOf      catalog.Revision
	encodedAt time.Duration
	// recipients are the routers that were sent everything, by zone, the latest last.
	recipients map[string][]recipient
	// referrals counts the referrals in each zone, so that they go to all recipients in turn.
	referrals map[string]int
}

// recipient is a router that was sent a full update.
type recipient struct {
	address string
	at      time.Duration
}

// referralFor returns the router to which another one is referred, "" if it should be served here.
// isLive reports whether a router is alive.
func (f *fullUpdates) referralFor(now time.Duration, from, zone string, isLive func(address string) bool) string {
	sent := 0
	var known []string
	for name, list := range f.recipients {
		for len(list) > 0 && now-list[0].at >= recipientTTL {
			list = list[1:]
		}
		f.recipients[name] = list
		for _, r := range list {
			if now-r.at < fullUpdatePeriod {
				sent++
			}
			if name == zone && r.address != from && isLive(r.address) {
				known = append(known, r.address)
			}
		}
	}
	if len(known) == 0 || sent < maxFullUpdates && len(known) < maxFullUpdates {
		return ""
	}
	f.referrals[zone]++
	return known[f.referrals[zone]%len(known)]
}

// record records a recipient.
func (f *fullUpdates) record(now time.Duration, address, zone string) {
	if f.recipients == nil {
		f.recipients, f.referrals = map[string][]recipient{}, map[string]int{}
	}
	f.recipients[zone] = append(f.recipients[zone], recipient{address, now})
}

// sendUpdateSince replies to a request for what was published after a revision.
func (s *state) sendUpdateSince(from peer.Inbound, request *wire.PlatformUpdateRequest) {
	asOf := s.catalog.AsOf()
	if asOf.IsZero() || request.Epoch == asOf.Epoch && s.catalog.HasHistorySince(request.After) {
		s.sendEach(from.From, updateMessages(s.catalog.Since(request.After)))
		return
	}
	if request.After == 0 || request.Epoch < asOf.Epoch {
		if to := s.fullUpdates.referralFor(s.now, from.From, from.Zone, s.isLive); to != "" {
			s.d.transport.Send(from.From, &wire.UpdateReferral{Address: to, Epoch: asOf.Epoch})
			return
		}
	}
	if msgs := s.fullUpdate(); msgs != nil {
		s.fullUpdates.record(s.now, from.From, from.Zone)
		s.sendEach(from.From, msgs)
	}
}

// fullUpdate returns everything that was published, encoded, or nil if it cannot be encoded. Many routers request it when a fleet
// starts, and each message to one of them would hold a copy.
func (s *state) fullUpdate() []any {
	f, asOf := &s.fullUpdates, s.catalog.AsOf()
	if f.encoded == nil || f.asOf != asOf || s.now-f.encodedAt >= fullUpdateTTL {
		msgs, err := encodeEach(updateMessages(s.catalog.Since(0)))
		if err != nil {
			s.d.opt.log.Error("full_update_failed", "as_of", asOf.Number, "error", err)
			return nil
		}
		f.encoded, f.asOf, f.encodedAt = msgs, asOf, s.now
	}
	return f.encoded
}

// encodeEach encodes messages once for all their receivers.
func encodeEach(msgs []any) ([]any, error) {
	encoded := make([]any, len(msgs))
	for i, msg := range msgs {
		m, err := wire.Encode(msg)
		if err != nil {
			return nil, err
		}
		encoded[i] = m
	}
	return encoded, nil
}

// isLive reports whether another router is alive.
func (s *state) isLive(address string) bool {
	_, found := slices.BinarySearch(s.roster.Live(s.now), address)
	return found
}

// followReferral asks the router to which another one referred this one.
func (s *state) followReferral(by string, m *wire.UpdateReferral) {
	if s.hasEpoch(m.Epoch) || m.Address == s.d.id.Address {
		return
	}
	s.referral = referral{to: m.Address, by: by, epoch: m.Epoch, at: s.now}
	s.repeatReferral()
}

// hasEpoch reports whether this router has been sent everything of an epoch, or of a later one.
func (s *state) hasEpoch(epoch uint64) bool {
	asOf := s.catalog.AsOf()
	return !asOf.IsZero() && asOf.Epoch >= epoch
}

// repeatReferral requests the update again while this router waits for it.
func (s *state) repeatReferral() {
	r := &s.referral
	switch {
	case r.to == "":
	case s.hasEpoch(r.epoch):
		*r = referral{}
	case s.now-r.at >= referralTimeout:
		by := r.by
		*r = referral{}
		s.updateRequestedAt = 0
		s.requestUpdate(by)
	case s.now-r.askedAt >= referralInterval:
		r.askedAt, s.updateRequestedAt = s.now, s.now
		asOf := s.catalog.AsOf()
		s.d.transport.Send(r.to, &wire.PlatformUpdateRequest{Epoch: asOf.Epoch, After: asOf.Number})
	}
}
