package dispatch

import (
	"github.com/yarrowmast/yarrowmast/internal/peer"
	"github.com/yarrowmast/yarrowmast/pkg/admit"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// sendSpeeds sends a router speed classes of backend servers.
func (s *state) sendSpeeds(to string, speeds []wire.ServerSpeed) {
	for _, m := range admit.SpeedMessages(speeds) {
		s.d.transport.Send(to, m)
	}
}

// sendAllSpeeds tells a new router the speed classes: a relay those of all engines, a router of a full
// mesh those of its own.
func (s *state) sendAllSpeeds(to peer.Inbound) {
	switch {
	case s.peerPlan.Mesh:
		s.sendSpeeds(to.From, s.core.SpeedClasses(true))
	case s.peerPlan.Primary && to.Zone == s.d.id.Zone:
		s.sendSpeeds(to.From, s.core.SpeedClasses(false))
	}
}

// logSpeedClass logs a changed speed class of a backend server that this router owns.
func (s *state) logSpeedClass(a admit.SpeedClassChanged) {
	s.d.opt.log.Info("backend_speed", "backend", a.Backend, "class", a.Class, "speed", a.Speed)
}
