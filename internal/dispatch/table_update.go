package dispatch

import (
	"context"
	"errors"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/admit"
	"github.com/yarrowmast/yarrowmast/pkg/catalog"
	"github.com/yarrowmast/yarrowmast/pkg/table"
)

// updateEvent is an update of the platform's data, read by this router or sent by another.
type updateEvent struct {
	catalog.Update
	// senderName and senderAddress identify the router that sent the update. They are empty
	// if this router read it.
	senderName, senderAddress string
	// readAt is when the update was the newest, 0 if unknown.
	readAt time.Duration
	// applied is closed once the update is applied.
	applied chan<- struct{}
}

func (e updateEvent) apply(s *state) {
	if e.applied != nil {
		defer close(e.applied)
	}
	before := s.catalog.AsOf()
	changed := s.catalog.Merge(s.now, e.Update)
	s.logUnusable(&e.Update, e.senderName)
	s.logOlderTable(&e)
	asOf := s.catalog.AsOf()
	s.d.shared.asOf.Store(&asOf)
	s.d.shared.versionsMissing.Store(s.catalog.VersionsMissing())
	if e.readAt > 0 && !e.revision().Before(asOf) {
		s.d.recordVerified(e.readAt)
	}
	switch {
	case changed:
		s.applyTable(e.senderName)
	case before.Before(asOf):
		// An entry that is written anew may make another version senior, and change nothing else.
		s.updateSeniors()
	}
	// Streams may be decided on by this verification before the next tick.
	s.updateVersionMemory()
	switch {
	case asOf.Epoch != before.Epoch && !before.IsZero():
		s.handleNewEpoch(before, e.senderName)
	case before.Before(asOf):
		s.broadcastUpdate(before.Number, e.senderAddress)
	case asOf.IsZero():
		// The sender knew nothing either, so another router may be asked at once.
		s.updateRequestedAt = 0
	case changed && e.Retained != nil && s.peerPlan.Relay:
		s.broadcastRetained(e.senderAddress)
	}
}

// logOlderTable logs that the platform published an older table than the one in force, for
// example after it was restored from a backup. Updates of other routers are not checked.
func (s *state) logOlderTable(e *updateEvent) {
	if v := s.catalog.View(); v != nil && e.Table != nil && e.senderName == "" && v.Version().NewerThan(e.Table.Version()) {
		s.d.opt.log.Warn("table_older", "edition", e.Table.Edition, "revision", e.Table.Revision, "epoch", e.Epoch,
			"in_force_edition", v.Edition, "in_force_revision", v.Revision)
	}
}

// revision returns the revision up to which the update is complete.
func (e updateEvent) revision() catalog.Revision {
	return catalog.Revision{Epoch: e.Epoch, Number: e.AsOf}
}

// applyTable applies the catalog's current view.
func (s *state) applyTable(from string) {
	v := s.catalog.View()
	if v == nil {
		return
	}
	s.d.shared.table.Store(v)
	s.versions.window = resumptionWindow(v, s.applyWithin())
	s.updateSeniors()
	change := s.catalog.LastChange()
	s.logTable(v, from, change)
	s.step(admit.TableUpdate{Table: v, Partial: !change.All, Changed: change.Names})
}

// logTable logs the table in force, and which backend servers changed with it. Lines on backend
// servers alone are limited, as they come and go at a rate that grows with the fleet.
func (s *state) logTable(v *table.Table, from string, change catalog.Change) {
	if !change.All && !s.tableLimiter.allow(s.now) {
		s.tablesNotLogged++
		return
	}
	s.d.opt.log.Info("table_in_force", "revision", v.Revision, "edition", v.Edition, "as_of", s.catalog.AsOf().Number, "epoch", s.catalog.AsOf().Epoch, "from", from,
		"routes", len(v.Routes), "accounts", len(v.Accounts), "backends", v.BackendCount(),
		"changed_backends", len(change.Names), "lines_left_out", s.tablesNotLogged)
	s.tablesNotLogged = 0
	s.logZoneChanges(v, from)
}

// errNoData explains why a router without a table is not ready.
var errNoData = errors.New("dispatch: no data received yet from the platform or another router")

// Ready returns why the router cannot serve callers, nil if it can.
func (d *Dispatcher) Ready(context.Context) error {
	if d.Table() == nil {
		if reason := d.shared.noTableReason.Load(); reason != nil {
			return *reason
		}
		return errNoData
	}
	return nil
}
