package dispatch

import (
	"slices"

	"github.com/yarrowmast/yarrowmast/internal/front"
	"github.com/yarrowmast/yarrowmast/pkg/admit"
	"github.com/yarrowmast/yarrowmast/pkg/catalog"
	"github.com/yarrowmast/yarrowmast/pkg/origin"
	"github.com/yarrowmast/yarrowmast/pkg/table"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// While a service runs several software versions, a part of its streams is pinned: it begins at the senior version only.
// Which ones follows from the directory and the stream, so that a fleet that starts anew can let them go on.

// updateSeniors records which software versions are senior now.
func (s *state) updateSeniors() {
	s.versions.seniors.Update(s.now, admit.SoftwareTTL, s.catalog.Seniors())
}

// softwareFor returns the software at which a request may run, nil for any.
func (s *state) softwareFor(r *front.Request) *table.Software {
	if !r.MayResume || r.Software != nil || r.ID == "" || r.Regions.IsLimited() {
		return s.resolveSoftware(r)
	}
	if software, isPinned := s.versions.seniors.Pin(r.Model, origin.KeyOf(r.Account, r.ID)); isPinned {
		return &software
	}
	return nil
}

// pinnedElsewhere returns the software to which a request is pinned that was started at another, nil if there is none. It may have
// waited since it could begin anywhere.
func (s *state) pinnedElsewhere(r *front.Request, started table.Software) *table.Software {
	if !r.MayResume || r.Software != nil {
		return nil
	}
	if software := s.softwareFor(r); software != nil && *software != started {
		return software
	}
	return nil
}

// pinnedOrigin returns the version to which a stream was pinned. What other routers know of the directory's states does
// not count, nor what this one knows of a platform that was restored.
func (s *state) pinnedOrigin(q *originQuery) (table.Software, bool) {
	m := &s.versions
	if q.Resumes == "" || q.doubtful || len(q.Services) != 1 || q.Regions.IsLimited() || !s.knowsWindow() || m.mayLack(s.now) {
		return table.Software{}, false
	}
	return m.seniors.PinnedSince(s.now, m.window, q.Service, q.key)
}

// seniorsSince returns which versions were senior throughout the platform's history.
func (s *state) seniorsSince(e *historyEvent) map[string]catalog.Senior {
	listed := e.listed.Servers
	if e.knownAfter > 0 {
		listed = s.catalog.ListedServers()
	}
	return s.catalog.SeniorsSince(e.knownAfter, slices.Concat(e.Servers, listed), slices.Concat(e.Zones, e.listed.Zones))
}

// seniorVersions returns which versions were senior throughout the time in which streams can be taken up.
func (s *state) seniorVersions(asOf catalog.Revision) *wire.SeniorVersions {
	return wire.NewSeniorVersions(asOf.Epoch, asOf.Number, s.versions.seniors.Within(s.now, s.versions.window))
}

// seniorVersions returns the versions that were senior throughout, by service.
func (t *toldVersions) seniorVersions() map[string]catalog.Senior {
	if t.seniors != nil && (t.seniors.Epoch != t.msg.Epoch || t.seniors.AsOf != t.msg.AsOf) {
		return nil
	}
	return t.seniors.Seniors()
}
