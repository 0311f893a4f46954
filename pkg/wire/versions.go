package wire

import (
	"maps"
	"slices"

	"github.com/yarrowmast/yarrowmast/pkg/catalog"
	"github.com/yarrowmast/yarrowmast/pkg/table"
)

// SoftwareVersions holds the software versions of the backend servers in the update that follows it on
// the same connection. Routers that do not know this type skip it. The versions of an update without it
// are unknown.
type SoftwareVersions struct {
	// Epoch, After and AsOf are those of the update.
	Epoch, After, AsOf uint64
	// Versions are in the order of the update's rows.
	Versions []string
	// Unknown lists the rows, counted from 0, whose versions the sender does not know.
	Unknown []int
}

// NewSoftwareVersions returns the versions in an update, nil if it has no rows.
func NewSoftwareVersions(u *catalog.Update) *SoftwareVersions {
	m := &SoftwareVersions{Epoch: u.Epoch, After: u.After, AsOf: u.AsOf}
	eachRow(u, func(b *table.Backend) {
		if b.VersionUnknown {
			m.Unknown = append(m.Unknown, len(m.Versions))
		}
		m.Versions = append(m.Versions, b.Version)
	})
	if len(m.Versions) == 0 {
		return nil
	}
	return m
}

// Restore sets the versions of the rows of a received update, which no other goroutine may use yet. With
// nil, or the versions of another update, they are unknown.
func (m *SoftwareVersions) Restore(u *catalog.Update) {
	// The sender of an update within this process still uses its rows.
	u.Servers = slices.Clone(u.Servers)
	rows := 0
	eachRow(u, func(*table.Backend) { rows++ })
	isOfUpdate := m != nil && m.Epoch == u.Epoch && m.After == u.After && m.AsOf == u.AsOf && len(m.Versions) == rows
	if !isOfUpdate {
		eachRow(u, func(b *table.Backend) { b.Version, b.VersionUnknown = "", true })
		return
	}
	at := 0
	eachRow(u, func(b *table.Backend) {
		b.Version, b.VersionUnknown = table.CanonicalVersion(m.Versions[at]), slices.Contains(m.Unknown, at)
		at++
	})
}

// eachRow calls a function with each row of an update that describes a backend server.
func eachRow(u *catalog.Update, f func(*table.Backend)) {
	eachTableRow(u.Table, f)
	for i := range u.Servers {
		if !u.Servers[i].Gone {
			f(&u.Servers[i].Backend)
		}
	}
	if u.Retained == nil {
		return
	}
	eachTableRow(u.Retained.Table, f)
	for i := range u.Retained.Servers {
		f(&u.Retained.Servers[i].Server.Backend)
	}
}

func eachTableRow(t *table.Table, f func(*table.Backend)) {
	if t == nil {
		return
	}
	for i := range t.Backends {
		f(&t.Backends[i])
	}
}

// ListedVersions tells a router which software versions were listed lately, so that it need not have been
// running then.
type ListedVersions struct {
	// Epoch and AsOf are the sender's revision.
	Epoch, AsOf uint64
	// SpanMillis is for how long, up to that revision, the sender has known all versions that were listed.
	SpanMillis int64
	// Versions were listed in that time. Some still may be.
	Versions []catalog.ServiceVersion
	// UnknownMillis is for how much longer streams may be taken up that began at a backend server of
	// which the sender does not know the version, 0 if there is none.
	UnknownMillis int64
}

// SeniorVersions tells a router which software version of each service was senior throughout the time of the
// ListedVersions that follow it on the same connection. Routers that do not know this type skip it.
type SeniorVersions struct {
	// Epoch and AsOf are those of the ListedVersions.
	Epoch, AsOf uint64
	Services    []SeniorVersion
}

// SeniorVersion is the senior version of a service.
type SeniorVersion struct {
	Service, Version string
	// Unknown says that there were several, or that the sender cannot tell.
	Unknown bool
	// Slots are the fewest slots that its backend servers had, Others the most of the other versions.
	Slots, Others int
}

// NewSeniorVersions returns a message with the senior versions by service.
func NewSeniorVersions(epoch, asOf uint64, seniors map[string]catalog.Senior) *SeniorVersions {
	m := &SeniorVersions{Epoch: epoch, AsOf: asOf}
	for _, service := range slices.Sorted(maps.Keys(seniors)) {
		x := seniors[service]
		m.Services = append(m.Services, SeniorVersion{service, x.Software.Version, x.Software.Unknown, x.Slots, x.Others})
	}
	return m
}

// Seniors returns the senior versions by service. The message may be nil.
func (m *SeniorVersions) Seniors() map[string]catalog.Senior {
	seniors := map[string]catalog.Senior{}
	if m == nil {
		return seniors
	}
	for _, x := range m.Services {
		software := table.Software{Version: table.CanonicalVersion(x.Version)}
		if x.Unknown || x.Slots < 0 || x.Others < 0 {
			software = table.Software{Unknown: true}
		}
		seniors[x.Service] = catalog.Senior{Software: software, Slots: x.Slots, Others: x.Others}
	}
	return seniors
}
