package dispatch

import (
	"github.com/yarrowmast/yarrowmast/pkg/catalog"
)

// handleNewEpoch reacts to a platform that was restored from a backup: other routers learn of
// the new epoch and receive what the backup lacks.
func (s *state) handleNewEpoch(before catalog.Revision, from string) {
	s.fullUpdates.forgetRecipients()
	s.versions.restoredAt = s.now
	asOf, retained := s.catalog.AsOf(), s.catalog.Retained()
	servers, zones := 0, 0
	if retained != nil {
		servers, zones = len(retained.Servers), len(retained.Zones)
	}
	s.d.opt.log.Warn("platform_epoch", "epoch", asOf.Epoch, "as_of", asOf.Number, "before_epoch", before.Epoch, "before_as_of", before.Number,
		"from", from, "retained_table", retained != nil && retained.Table != nil, "retained_backends", servers, "retained_zones", zones)
	if cancel := s.d.shared.cancelWatch.Load(); cancel != nil {
		(*cancel)()
	}
	s.broadcastVerified()
	s.broadcastRetained("")
}

// forgetRecipients forgets who was sent full updates of an earlier epoch. No router may be referred to
// them: they lack the new epoch until they are sent it themselves.
func (f *fullUpdates) forgetRecipients() { f.recipients, f.referrals = nil, nil }

// broadcastRetained sends all peers except one what is retained of earlier epochs.
func (s *state) broadcastRetained(except string) {
	for _, m := range s.retainedUpdate() {
		s.broadcast(m, except)
	}
}

// retainedUpdate returns the messages with what is retained of earlier epochs, none if nothing is.
func (s *state) retainedUpdate() []any {
	retained := s.catalog.Retained()
	if retained == nil {
		return nil
	}
	asOf := s.catalog.AsOf()
	return updateMessages(catalog.Update{Epoch: asOf.Epoch, After: asOf.Number, AsOf: asOf.Number, Retained: retained})
}
