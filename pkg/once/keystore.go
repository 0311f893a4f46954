// Package once ensures that only one request uses an idempotency key, no matter
// which routers receive the retries. Each key has three homes, all of them
// routers in one availability zone. A claim is granted if a majority of the
// homes recorded it and would remember any earlier use. Any two majorities
// share a home, which refuses the second use. The package is a pure state
// machine. docs/AT-MOST-ONCE.md documents the guarantee.
package once

import (
	"container/list"
	"slices"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/rendezvous"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// The defaults.
const (
	// DefaultRetention is how long a used key is remembered. A later retry is
	// refused as one that may have run.
	DefaultRetention = 10 * time.Minute
	// DefaultMaxKeys is the maximum number of keys that one home remembers.
	DefaultMaxKeys = 200_000
	// DefaultSkew is the maximum difference between the clocks of callers and
	// homes, and the maximum time for which routers may disagree on the zone's
	// list of routers.
	DefaultSkew = 5 * time.Second
	// HomesPerKey is the number of homes of a key.
	HomesPerKey = 3
	// maxMemberships limits the history of the zone's routers.
	maxMemberships = 256
)

// HomesOf returns the homes of a key among the routers of its zone.
func HomesOf(key string, routers []string) []string {
	return rendezvous.Owners(key, routers, HomesPerKey)
}

// HomeZone returns the availability zone of a key's homes.
func HomeZone(key string, zones []string) string { return rendezvous.Owner(key, zones) }

// Majority returns the number of homes out of n that must grant a claim.
func Majority(n int) int { return n/2 + 1 }

// KeyStore stores the keys whose home is this router. Times are on the router's
// clock, which starts at the wall time, so they are comparable with the times
// of claims.
type KeyStore struct {
	self      string
	now       time.Duration
	retention time.Duration
	maxKeys   int
	// memberships is the history of the zone's routers, the newest last.
	memberships []membership
	// keys contains the used keys; order sorts them by time of use.
	keys  map[string]*entry
	order *list.List
}

type membership struct {
	at      time.Duration
	routers []string
}

type entry struct {
	key     string
	request string
	used    time.Duration
	element *list.Element
}

// Option configures a new KeyStore.
type Option func(*KeyStore)

// WithMaxKeys sets the maximum number of keys.
func WithMaxKeys(n int) Option { return func(s *KeyStore) { s.maxKeys = n } }

// WithRetention sets how long a key is remembered.
func WithRetention(d time.Duration) Option { return func(s *KeyStore) { s.retention = d } }

// New returns the empty key store of a router that has just started.
func New(self string, now time.Duration, opts ...Option) *KeyStore {
	s := &KeyStore{
		self: self, now: now, retention: DefaultRetention, maxKeys: DefaultMaxKeys,
		keys: map[string]*entry{}, order: list.New(),
	}
	for _, f := range opts {
		f(s)
	}
	s.memberships = []membership{{at: now}}
	return s
}

// Keys returns the number of remembered keys.
func (s *KeyStore) Keys() int { return s.order.Len() }

func (s *KeyStore) routers() []string { return s.memberships[len(s.memberships)-1].routers }

// SetRouters replaces the zone's routers by those on the platform's list.
// Routers that are not alive stay homes.
func (s *KeyStore) SetRouters(now time.Duration, names []string) {
	s.now = max(s.now, now)
	if slices.Equal(s.routers(), names) {
		return
	}
	s.memberships = append(s.memberships, membership{at: s.now, routers: slices.Clone(names)})
	if len(s.memberships) > maxMemberships {
		s.memberships = s.memberships[1:]
	}
}

// RecordPause reports that this router was paused. The list may have changed
// meanwhile, so the store no longer grants keys first used before the pause.
func (s *KeyStore) RecordPause(now time.Duration) {
	s.now = max(s.now, now)
	s.memberships = []membership{{at: s.now, routers: s.routers()}}
}

// homeSince returns since when this router has been a home of the key without
// interruption.
func (s *KeyStore) homeSince(key string) time.Duration {
	since := s.now
	for i := len(s.memberships) - 1; i >= 0; i-- {
		if !slices.Contains(HomesOf(key, s.memberships[i].routers), s.self) {
			break
		}
		since = s.memberships[i].at
	}
	return since
}

// covers reports whether this home would remember any earlier use of a key
// first used at the wall time at, in milliseconds; 0 means unknown.
func (s *KeyStore) covers(key string, at int64) bool {
	since := s.homeSince(key)
	first := time.Duration(at) * time.Millisecond
	if at == 0 {
		first = s.now - s.retention + DefaultSkew
	}
	return first-DefaultSkew >= since && s.now-first < s.retention
}

// Claim records the use of a key and returns the reply to the claim.
func (s *KeyStore) Claim(now time.Duration, c *wire.Claim) *wire.ClaimReply {
	s.now = max(s.now, now)
	state := wire.ClaimNotHome
	if slices.Contains(HomesOf(c.Key, s.routers()), s.self) {
		state = s.record(c)
	}
	return &wire.ClaimReply{Seq: c.Seq, State: state}
}

// record records the use of a key. The same request may claim its key again.
func (s *KeyStore) record(c *wire.Claim) wire.ClaimState {
	if e, used := s.keys[c.Key]; used {
		if e.request != c.Request {
			return wire.ClaimTaken
		}
		return s.grantedOrUnknown(c)
	}
	if s.order.Len() >= s.maxKeys {
		return wire.ClaimFull
	}
	e := &entry{key: c.Key, request: c.Request, used: s.now}
	e.element = s.order.PushBack(e)
	s.keys[c.Key] = e
	return s.grantedOrUnknown(c)
}

func (s *KeyStore) grantedOrUnknown(c *wire.Claim) wire.ClaimState {
	if s.covers(c.Key, c.At) {
		return wire.ClaimGranted
	}
	return wire.ClaimUnknown
}

// Release removes the use of a key by a request that did not run.
func (s *KeyStore) Release(v *wire.ClaimRelease) {
	if e, used := s.keys[v.Key]; used && e.request == v.Request {
		s.drop(e)
	}
}

func (s *KeyStore) drop(e *entry) {
	s.order.Remove(e.element)
	delete(s.keys, e.key)
}

// Tick removes expired keys.
func (s *KeyStore) Tick(now time.Duration) {
	s.now = max(s.now, now)
	for at := s.order.Front(); at != nil; at = s.order.Front() {
		e := at.Value.(*entry)
		if s.now-e.used < s.retention {
			return
		}
		s.drop(e)
	}
}
