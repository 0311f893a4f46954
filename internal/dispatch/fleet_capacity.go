package dispatch

import (
	"github.com/yarrowmast/yarrowmast/internal/peer"
	"github.com/yarrowmast/yarrowmast/pkg/admit"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// sendCapacity sends a router the capacity of the engines of a scope, just before the report of the
// same scope.
func (s *state) sendCapacity(to string, t *admit.Snapshot, scope wire.Scope) {
	if s.d.opt.weighted {
		return
	}
	if m := t.Capacity(scope, to); m != nil {
		s.d.transport.Send(to, m)
	}
}

// handleCapacity processes a capacity report. Reports of an earlier incarnation of the sender may
// arrive after the first ones of the current incarnation, on the old connection.
func (s *state) handleCapacity(from peer.Inbound, m *wire.CapacityReport) {
	if from.Incarnation < s.link(from.From).incarnation || !s.acceptsScope(from, m.Scope) {
		return
	}
	s.step(admit.PeerCapacity{From: from.From, Zone: from.Zone, Msg: m})
}

// setCapacity adds the capacity of the engines to the status.
func (s *state) setCapacity(st *Status) {
	x := s.core.FleetCapacity(s.now)
	st.EngineCapacity, st.FreeEngineCapacity, st.CapacityOwners, st.CapacityShort = int64(x.Total), int64(x.Free), x.Owners, x.Short
}
