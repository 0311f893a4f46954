package dispatch

import (
	"log/slog"
	"slices"

	"github.com/yarrowmast/yarrowmast/pkg/table"
)

// logZoneChanges logs the availability zones that were closed or opened since the last table.
// Closing a zone without backend servers is logged as a warning.
func (s *state) logZoneChanges(v *table.Table, from string) {
	closed := v.ClosedZones()
	for _, zone := range closed {
		if slices.Contains(s.closedZones, zone) {
			continue
		}
		level, backends := slog.LevelInfo, countBackends(v, zone)
		if backends == 0 {
			level = slog.LevelWarn
		}
		s.d.opt.log.Log(s.d.ctx, level, "zone_closed", "zone", zone, "backends", backends, "as_of", s.catalog.AsOf().Number, "from", from)
	}
	for _, zone := range s.closedZones {
		if !slices.Contains(closed, zone) {
			s.d.opt.log.Info("zone_opened", "zone", zone, "backends", countBackends(v, zone), "as_of", s.catalog.AsOf().Number, "from", from)
		}
	}
	s.closedZones = closed
}

func countBackends(v *table.Table, zone string) int {
	n := 0
	for b := range v.AllBackends() {
		if b.Zone == zone {
			n++
		}
	}
	return n
}
