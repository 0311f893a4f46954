package dispatch

import (
	"fmt"
	"maps"
	"net"
	"slices"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/catalog"
)

// A program that writes entries which cannot be used may do so a hundred times a second:
// of these, unusableLines are logged in unusableEvery.
const (
	unusableLines = 10
	unusableEvery = time.Second
)

// unusableLog bounds the lines on what was published and cannot be used.
type unusableLog struct {
	since time.Duration
	lines int
}

// may reports whether a line may be written now.
func (l *unusableLog) may(now time.Duration) bool {
	if now-l.since >= unusableEvery {
		l.since, l.lines = now, 0
	}
	l.lines++
	return l.lines <= unusableLines
}

// logUnusable logs what news held that cannot be used, and why.
func (s *state) logUnusable(n *catalog.Update, from string) {
	for _, x := range n.Skipped {
		if x.Key == "" || !s.unusable.may(s.now) {
			continue
		}
		s.d.opt.log.Warn("published_unusable", "key", x.Key, "revision", x.Revision, "reason", string(x.Unusable.Reason), "field", x.Unusable.Field)
	}
	for _, e := range s.catalog.DrainUnusable() {
		if s.unusable.may(s.now) {
			s.d.opt.log.Warn("entry_unusable", "backend", e.Backend.Name, "revision", e.Revision,
				"reason", string(e.Unusable.Reason), "field", e.Unusable.Field, "from", from)
		}
	}
	s.noteLack(n)
}

// noteLack keeps why a router that has no table yet has none.
func (s *state) noteLack(n *catalog.Update) {
	if s.catalog.View() != nil {
		s.d.shared.lack.Store(nil)
		return
	}
	for _, x := range n.Skipped {
		if x.Key != "" {
			err := fmt.Errorf("dispatch: %s at revision %d cannot be used (%s %s); publish a good one", x.Key, x.Revision, x.Unusable.Reason, x.Unusable.Field)
			s.d.shared.lack.Store(&err)
		}
	}
}

// UnusableEntry is an entry of the backend directory that the router cannot use.
type UnusableEntry struct {
	Backend string         `json:"backend"`
	Reason  catalog.Reason `json:"reason"`
	Field   string         `json:"field,omitempty"`
}

// unusableEntries lists the entries that cannot be used, by name, and counts them.
func (s *state) unusableEntries() (list []UnusableEntry, count int) {
	by, count := s.catalog.Unusable()
	for _, name := range slices.Sorted(maps.Keys(by)) {
		list = append(list, UnusableEntry{Backend: name, Reason: by[name].Reason, Field: by[name].Field})
	}
	return list, count
}

// isOwn reports whether an address is one of this router's, or, by its port, one where
// another router listens for callers or peers: a request sent there would go round.
func (s *state) isOwn(address string) bool {
	if slices.Contains(s.d.id.ListenAddresses, address) {
		return true
	}
	host, port, err := net.SplitHostPort(address)
	if err != nil || !s.routerHosts()[host] {
		return false
	}
	own, _, err := net.SplitHostPort(s.d.id.Address)
	return err == nil && own != host && slices.ContainsFunc(s.d.id.ListenAddresses, func(l string) bool {
		_, p, err := net.SplitHostPort(l)
		return err == nil && p == port
	})
}

// routerHosts returns the hosts of the routers that live.
func (s *state) routerHosts() map[string]bool {
	if s.hosts == nil {
		s.hosts = map[string]bool{}
		for _, address := range s.roster.Live(s.now) {
			if host, _, err := net.SplitHostPort(address); err == nil {
				s.hosts[host] = true
			}
		}
	}
	return s.hosts
}
