package dispatch

import (
	"github.com/yarrowmast/yarrowmast/pkg/catalog"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// entered takes in that the platform came back from a copy: others ask for what it lists
// now, and are told what it lost.
func (s *state) entered(before catalog.Revision, from string) {
	asOf, kept := s.catalog.AsOf(), s.catalog.Retained()
	servers, zones := 0, 0
	if kept != nil {
		servers, zones = len(kept.Servers), len(kept.Zones)
	}
	s.d.opt.log.Warn("platform_epoch", "epoch", asOf.Epoch, "as_of", asOf.Number, "before_epoch", before.Epoch, "before_as_of", before.Number,
		"from", from, "retained_table", kept != nil && kept.Table != nil, "retained_backends", servers, "retained_zones", zones)
	if end := s.d.shared.endWatch.Load(); end != nil {
		(*end)()
	}
	s.tellKnown()
	s.tellRetained("")
}

// tellRetained tells all with whom this router talks but one what it keeps of earlier epochs.
func (s *state) tellRetained(but string) {
	if m := s.retainedNews(); m != nil {
		s.sendToAll(m, but)
	}
}

// retainedNews returns what is kept of earlier epochs, nil if nothing is.
func (s *state) retainedNews() *wire.PlatformUpdate {
	kept := s.catalog.Retained()
	if kept == nil {
		return nil
	}
	asOf := s.catalog.AsOf()
	return &wire.PlatformUpdate{Update: catalog.Update{Epoch: asOf.Epoch, After: asOf.Number, AsOf: asOf.Number, Retained: kept}}
}
