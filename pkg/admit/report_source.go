package admit

import "github.com/yarrowmast/yarrowmast/pkg/wire"

// reportSource identifies whose flows a report sums up: those of a router, of a zone, or of all
// other routers.
type reportSource struct {
	scope wire.Scope
	name  string
}

// sourceOf returns the source of a report.
func sourceOf(scope wire.Scope, from, zone string) reportSource {
	s := reportSource{scope: scope}
	switch scope {
	case wire.ScopeOwn:
		s.name = from
	case wire.ScopeZone:
		s.name = zone
	}
	return s
}

// includesSource reports whether a source's report is part of what is sent to a receiver for a
// scope.
func (c *Core) includesSource(source reportSource, scope wire.Scope, receiver string) bool {
	switch scope {
	case wire.ScopeZone:
		return source.scope == wire.ScopeOwn
	case wire.ScopeRest:
		return source.scope == wire.ScopeOwn && source.name != receiver || source.scope == wire.ScopeZone && source.name != c.opt.self.Zone
	default:
		return false
	}
}
