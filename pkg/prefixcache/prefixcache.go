// Package prefixcache models which prompt prefixes a backend server has cached. It is not safe for
// concurrent use.
package prefixcache

import "time"

const (
	// TTL is how long a prefix is assumed to be cached after its last use if the capacity is
	// unknown.
	TTL = 20 * time.Second
	// MaxPrefixes bounds the memory of a Cache.
	MaxPrefixes = 4096
)

// Cache holds the prefixes of one backend server. With a known capacity, the least recently used are
// evicted when their tokens exceed what running requests leave of it. Otherwise they expire.
type Cache struct {
	capacity, inUse, tokens int64
	entries                 map[uint64]*entry
	// oldest and newest are the ends of the list of entries, in order of use.
	oldest, newest *entry
}

type entry struct {
	key            uint64
	tokens         int64
	usedAt         time.Duration
	older, younger *entry
}

// New returns an empty cache for a capacity in tokens, 0 if it is unknown.
func New(capacity int64) *Cache { return &Cache{capacity: capacity} }

// Add adds a prefix, or records that it was used.
func (c *Cache) Add(key uint64, tokens int64, now time.Duration) {
	if c.entries == nil {
		c.entries = map[uint64]*entry{}
	}
	e, ok := c.entries[key]
	if ok {
		c.unlink(e)
	} else {
		e = &entry{key: key}
		c.entries[key] = e
	}
	c.tokens += tokens - e.tokens
	e.tokens, e.usedAt = tokens, now
	c.append(e)
	c.evict(now)
}

// Has reports whether a prefix is cached.
func (c *Cache) Has(key uint64, now time.Duration) bool {
	e, ok := c.entries[key]
	return ok && !c.isExpired(e, now)
}

// Remove removes a prefix that turned out not to be cached.
func (c *Cache) Remove(key uint64) {
	if e, ok := c.entries[key]; ok {
		c.remove(e)
	}
}

// SetInUse sets the number of tokens of the capacity that running requests use besides the cached
// prefixes.
func (c *Cache) SetInUse(tokens int64) {
	c.inUse = tokens
	c.shrink()
}

// Tokens returns the size of all prefixes.
func (c *Cache) Tokens() int64 { return c.tokens }

func (c *Cache) isExpired(e *entry, now time.Duration) bool {
	return c.capacity <= 0 && now-e.usedAt > TTL
}

func (c *Cache) evict(now time.Duration) {
	for c.oldest != nil && c.isExpired(c.oldest, now) || len(c.entries) > MaxPrefixes {
		c.remove(c.oldest)
	}
	c.shrink()
}

// shrink evicts what exceeds the capacity, but never the prefix that was used last: the request that
// used it runs or has just ended.
func (c *Cache) shrink() {
	for c.capacity > 0 && c.oldest != c.newest && c.tokens > c.capacity-c.inUse {
		c.remove(c.oldest)
	}
}

func (c *Cache) remove(e *entry) {
	delete(c.entries, e.key)
	c.tokens -= e.tokens
	c.unlink(e)
}

func (c *Cache) append(e *entry) {
	e.older, e.younger = c.newest, nil
	if c.newest != nil {
		c.newest.younger = e
	} else {
		c.oldest = e
	}
	c.newest = e
}

func (c *Cache) unlink(e *entry) {
	if e.older != nil {
		e.older.younger = e.younger
	} else {
		c.oldest = e.younger
	}
	if e.younger != nil {
		e.younger.older = e.older
	} else {
		c.newest = e.older
	}
	e.older, e.younger = nil, nil
}
