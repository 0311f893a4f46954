// Package origin remembers which software began each stream, so that another attempt of its caller can be
// sent to a backend server that runs the same.
package origin

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/yarrowmast/yarrowmast/pkg/table"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

const (
	// MaxStreams bounds the streams that a Store remembers; the oldest give way. At 100 streams a second
	// it holds those of ten minutes, in 8 MB.
	MaxStreams = 1 << 16
	// sweepInterval is the interval at which expired streams are removed.
	sweepInterval = 5 * time.Second
)

// Key identifies a stream: the attempt of a caller that brought its first event.
type Key uint64

// KeyOf returns the key of a stream. Equal request IDs of two client accounts have different keys.
func KeyOf(account, request string) Key {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(account)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(request)
	return Key(d.Sum64())
}

// Origin is what began a stream.
type Origin struct {
	// Service is the service whose backend server sent the first event.
	Service wire.NameHash
	// Software is what that server ran. It is unknown if that cannot be told, and once reports on the
	// stream contradict each other.
	Software table.Software
}

// Store remembers the origins of streams for as long as their callers may take them up. It is not safe for
// concurrent use.
type Store struct {
	byKey map[Key]*record
	// order are the keys in the order in which they came, which is about the order in which they expire.
	order   []Key
	sweptAt time.Duration
	max     int
	// evicted counts the streams that gave way before they expired.
	evicted int64
}

type record struct {
	Origin
	until time.Duration
}

// New returns an empty store of at most the given number of streams.
func New(most int) *Store { return &Store{byKey: map[Key]*record{}, max: most} }

// Add remembers the origin of a stream until a time.
func (s *Store) Add(now time.Duration, key Key, o Origin, until time.Duration) {
	s.sweep(now)
	if until <= now {
		return
	}
	if r, known := s.byKey[key]; known {
		if r.Origin != o {
			r.Software = table.Software{Unknown: true}
		}
		r.until = max(r.until, until)
		return
	}
	for len(s.byKey) >= s.max && len(s.order) > 0 {
		delete(s.byKey, s.order[0])
		s.order = s.order[1:]
		s.evicted++
	}
	s.byKey[key] = &record{Origin: o, until: until}
	s.order = append(s.order, key)
}

// Get returns the origin of a stream, and whether it is remembered.
func (s *Store) Get(now time.Duration, key Key) (Origin, bool) {
	r, ok := s.byKey[key]
	if !ok || r.until <= now {
		return Origin{}, false
	}
	return r.Origin, true
}

// Len returns the number of streams that are remembered, Evicted how many gave way to later ones.
func (s *Store) Len() int       { return len(s.byKey) }
func (s *Store) Evicted() int64 { return s.evicted }

// sweep removes expired streams.
func (s *Store) sweep(now time.Duration) {
	if now-s.sweptAt < sweepInterval {
		return
	}
	s.sweptAt = now
	left := make([]Key, 0, len(s.byKey))
	for _, key := range s.order {
		if s.byKey[key].until > now {
			left = append(left, key)
		} else {
			delete(s.byKey, key)
		}
	}
	s.order = left
}
