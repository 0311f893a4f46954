package origin

import (
	"maps"
	"slices"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/catalog"
	"github.com/yarrowmast/yarrowmast/pkg/table"
)

// Seniors tracks the senior software version of each service, and which ones were senior lately. The zero value knows none.
// It is not safe for concurrent use.
type Seniors struct {
	current map[string]catalog.Senior
	past    []pastSenior
}

// pastSenior is a version that was senior, or may have been, until a time.
type pastSenior struct {
	catalog.Senior
	service string
	until   time.Duration
}

// fraction returns a number from 0 to below 1 that follows from the stream.
func (k Key) fraction() float64 { return float64(k>>11) / (1 << 53) }

// Update records the senior versions by service as of now. Those that were senior more than a time before are forgotten.
func (s *Seniors) Update(now, window time.Duration, current map[string]catalog.Senior) {
	s.past = slices.DeleteFunc(s.past, func(p pastSenior) bool { return now-p.until >= window })
	if s.current != nil {
		s.recordChanges(now, current)
	}
	s.current = current
}

// recordChanges records the senior versions that others replace. What a service ran before it had an open backend server is
// unknown.
func (s *Seniors) recordChanges(now time.Duration, next map[string]catalog.Senior) {
	for service, senior := range s.current {
		if senior != next[service] {
			s.past = append(s.past, pastSenior{senior, service, now})
		}
	}
	for service := range next {
		if _, wasOpen := s.current[service]; !wasOpen {
			s.past = append(s.past, pastSenior{unknownSenior, service, now})
		}
	}
}

var unknownSenior = catalog.Senior{Software: table.Software{Unknown: true}}

// Record records which versions may have been senior until now, by service. Of services that it lacks that is unknown.
func (s *Seniors) Record(now time.Duration, before map[string]catalog.Senior) {
	for service, current := range s.current {
		senior, ok := before[service]
		if !ok {
			senior = unknownSenior
		}
		if senior != current {
			s.past = append(s.past, pastSenior{senior, service, now})
		}
	}
}

// Current returns the senior version of a service.
func (s *Seniors) Current(service string) (catalog.Senior, bool) {
	senior, ok := s.current[service]
	return senior, ok
}

// Pin returns the only version at which a stream of a service may begin. It returns false if it may begin at any.
func (s *Seniors) Pin(service string, key Key) (table.Software, bool) {
	senior, ok := s.current[service]
	if !ok || senior.Others == 0 || key.fraction() >= senior.PinnedShare() {
		return table.Software{}, false
	}
	return senior.Software, true
}

// PinnedSince returns the only version at which a stream can have begun within a time before now. It returns false if there
// may be several.
func (s *Seniors) PinnedSince(now, window time.Duration, service string, key Key) (table.Software, bool) {
	current, ok := s.Within(now, window)[service]
	return current.Software, ok && key.fraction() < current.PinnedShare()
}

// Within returns for each service the version that was senior throughout a time before now, with the fewest slots that it
// had beside the most of the others. It is unknown if there were several.
func (s *Seniors) Within(now, window time.Duration) map[string]catalog.Senior {
	seniors := maps.Clone(s.current)
	for _, p := range s.past {
		senior, ok := seniors[p.service]
		switch {
		case !ok || now-p.until >= window:
		case p.Software != senior.Software:
			seniors[p.service] = unknownSenior
		case p.PinnedShare() < senior.PinnedShare():
			seniors[p.service] = p.Senior
		}
	}
	return seniors
}
