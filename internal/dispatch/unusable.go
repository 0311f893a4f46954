package dispatch

import (
	"fmt"
	"maps"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/catalog"
)

// At most unusableLogLimit unusable entries are logged per unusableLogInterval.
const (
	unusableLogLimit    = 10
	unusableLogInterval = time.Second
)

// logLimiter limits the rate of log lines.
type logLimiter struct {
	windowStart time.Duration
	lines       int
}

// allow reports whether a line may be logged now.
func (l *logLimiter) allow(now time.Duration) bool {
	if now-l.windowStart >= unusableLogInterval {
		l.windowStart, l.lines = now, 0
	}
	l.lines++
	return l.lines <= unusableLogLimit
}

// maxExcerpt bounds a text that was published, in logs and in the status, in bytes.
const maxExcerpt = 1024

// excerpt returns the begin of a text that may be of any size.
func excerpt(text string) string {
	if len(text) <= maxExcerpt {
		return text
	}
	return strings.ToValidUTF8(text[:maxExcerpt], "") + fmt.Sprintf("... (%d bytes)", len(text))
}

// logUnusable logs the parts of an update that cannot be used.
func (s *state) logUnusable(u *catalog.Update, from string) {
	for _, x := range u.Skipped {
		if x.Key == "" || !s.unusableLimiter.allow(s.now) {
			continue
		}
		s.d.opt.log.Warn("published_unusable", "key", excerpt(x.Key), "revision", x.Revision, "reason", string(x.Unusable.Reason), "field", excerpt(x.Unusable.Field))
	}
	for _, e := range s.catalog.DrainUnusable() {
		if s.unusableLimiter.allow(s.now) {
			s.d.opt.log.Warn("entry_unusable", "backend", excerpt(e.Backend.Name), "revision", e.Revision,
				"reason", string(e.Unusable.Reason), "field", excerpt(e.Unusable.Field), "from", from)
		}
	}
	s.recordNoTableReason(u)
	s.recordRefusedTable(u)
}

// recordNoTableReason records why a router has no table yet.
func (s *state) recordNoTableReason(u *catalog.Update) {
	if s.catalog.View() != nil {
		s.d.shared.noTableReason.Store(nil)
		return
	}
	for _, x := range u.Skipped {
		if x.Key != "" {
			err := fmt.Errorf("dispatch: %s at revision %d cannot be used (%s %s); publish a corrected value", excerpt(x.Key), x.Revision, x.Unusable.Reason, excerpt(x.Unusable.Field))
			s.d.shared.noTableReason.Store(&err)
		}
	}
}

// UnusableEntry is an entry of the backend directory that the router cannot use.
type UnusableEntry struct {
	Backend string         `json:"backend"`
	Reason  catalog.Reason `json:"reason"`
	Field   string         `json:"field,omitempty"`
}

// unusableEntries returns the unusable entries, sorted by name, and their full number.
func (s *state) unusableEntries() (list []UnusableEntry, count int) {
	reasons, count := s.catalog.Unusable()
	for _, name := range slices.Sorted(maps.Keys(reasons)) {
		list = append(list, UnusableEntry{Backend: excerpt(name), Reason: reasons[name].Reason, Field: excerpt(reasons[name].Field)})
	}
	return list, count
}

// isRouterAddress reports whether an address is one of this router's, or one where another
// router listens, judged by host and port. Requests sent there would loop.
func (s *state) isRouterAddress(address string) bool {
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

// routerHosts returns the hosts of the live routers.
func (s *state) routerHosts() map[string]bool {
	if s.routerHostSet == nil {
		s.routerHostSet = map[string]bool{}
		for _, address := range s.roster.Live(s.now) {
			if host, _, err := net.SplitHostPort(address); err == nil {
				s.routerHostSet[host] = true
			}
		}
	}
	return s.routerHostSet
}
