package dispatch

import (
	"sync/atomic"

	"github.com/yarrowmast/yarrowmast/internal/peer"
	"github.com/yarrowmast/yarrowmast/pkg/admit"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// WithWeightedAccounts schedules accounts by the weights in the table and enforces their limits.
// Requests wait until their deadlines.
func WithWeightedAccounts() Option {
	return func(o *options) {
		o.weighted = true
		o.coreOptions = append(o.coreOptions, admit.WithWeightedAccounts())
	}
}

// sendUsage sends a router the accounts' usage for a scope.
func (s *state) sendUsage(to string, t *admit.Snapshot, scope wire.Scope) {
	if s.d.opt.weighted && scope != wire.ScopeNone {
		s.d.transport.Send(to, &wire.Usage{Scope: scope, Accounts: t.Usage(scope, to)})
	}
}

// handleUsage processes the accounts' usage sent by another router.
func (s *state) handleUsage(from peer.Inbound, m *wire.Usage) {
	if s.acceptsScope(from, m.Scope) {
		s.step(admit.PeerUsage{From: from.From, Zone: from.Zone, Msg: m})
	}
}

// reportProgress passes the token counts of running requests to the core.
func (s *state) reportProgress() {
	for id, tokens := range s.tokenCounts {
		s.step(admit.Progress{ID: id, Tokens: tokens.Load()})
	}
}

// newTokenCounter returns the token counter of a request that starts.
func (s *state) newTokenCounter(id uint64) *atomic.Int64 {
	tokens := &atomic.Int64{}
	if s.d.opt.weighted {
		s.tokenCounts[id] = tokens
	}
	return tokens
}
