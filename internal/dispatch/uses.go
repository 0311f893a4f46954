package dispatch

import (
	"sync/atomic"

	"github.com/yarrowmast/yarrowmast/internal/peer"
	"github.com/yarrowmast/yarrowmast/pkg/admit"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// WithWeights has accounts served by the weights of the table and held to its limits, and
// requests wait until their deadlines.
func WithWeights() Option {
	return func(o *options) {
		o.weights = true
		o.core = append(o.core, admit.WithWeightedAccounts())
	}
}

// tellUses tells a router what accounts have used, for a scope.
func (s *state) tellUses(to string, t *admit.Snapshot, scope wire.Scope) {
	if s.d.opt.weights && scope != wire.ScopeNone {
		s.d.net.Send(to, &wire.Usage{Scope: scope, Accounts: t.Uses(scope, to)})
	}
}

// hearUses takes in what another router tells of what accounts have used.
func (s *state) hearUses(from peer.Inbound, m *wire.Usage) {
	if s.accepts(from, m.Scope) {
		s.step(admit.PeerUsage{From: from.From, Zone: from.Zone, Msg: m})
	}
}

// noteProgress counts what requests that run have used so far.
func (s *state) noteProgress() {
	for id, served := range s.served {
		s.step(admit.Progress{ID: id, Tokens: served.Load()})
	}
}

// countFor returns what counts the tokens of a request that starts.
func (s *state) countFor(id uint64) *atomic.Int64 {
	served := &atomic.Int64{}
	if s.d.opt.weights {
		s.served[id] = served
	}
	return served
}
