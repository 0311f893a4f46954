package admit

import (
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/prefixcache"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// A prefix is known to be cached at a backend server from the first event of a request that
// processed it there. Only the server's owner counts it from the grant, because an engine
// processes prompts in order of arrival. A copy that is made from a server that lacks the prefix
// costs a prefill of the whole prompt.

const (
	// maxCopies bounds the prefixes reported in one snapshot.
	maxCopies = 64
	// prefixReportInterval is how long a prefix is not reported again that is still in use at the
	// same backend server: without cache_tokens, other routers assume for prefixcache.TTL that it
	// is cached there.
	prefixReportInterval = prefixcache.TTL / 2
	// maxPrefixSizes bounds the remembered sizes of a service.
	maxPrefixSizes = 4096
	// maxRecorded bounds the prefixes of a service that are remembered as known at any server.
	maxRecorded = 16384
	// sizeWeight is the weight of a new sample in mean sizes.
	sizeWeight = 0.05
)

// prefixSizes are the sizes of the prompts and shared prefixes of a service, in tokens.
type prefixSizes struct {
	byPrefix map[uint64]prefixSize
	// uses is the number of requests that used the prefixes in byPrefix.
	uses int64
	// meanPrefix is the mean size of a shared prefix, meanOwn that of the rest of a prompt with its
	// output.
	meanPrefix, meanOwn float64
}

// observe adds the sizes of a request.
func (z *prefixSizes) observe(r *request) {
	z.meanOwn = movingMean(z.meanOwn, float64(ownTokens(r.Prompt, r.Shared, r.Output)))
	if r.Prefix == 0 {
		return
	}
	z.learn(r.Prefix, r.Shared)
}

// learn records the size of a prefix.
func (z *prefixSizes) learn(prefix uint64, tokens int64) {
	z.meanPrefix = movingMean(z.meanPrefix, float64(tokens))
	if z.byPrefix == nil || len(z.byPrefix) >= maxPrefixSizes {
		z.byPrefix, z.uses = map[uint64]prefixSize{}, 0
	}
	z.uses++
	z.byPrefix[prefix] = prefixSize{tokens: tokens, uses: z.byPrefix[prefix].uses + 1}
}

// prefixSize is the size of a prefix in tokens, and how many requests used it.
type prefixSize struct{ tokens, uses int64 }

// isMuchUsed reports whether a prefix was used more often than the average one.
func (z *prefixSizes) isMuchUsed(prefix uint64) bool {
	return z.byPrefix[prefix].uses*int64(len(z.byPrefix)) > z.uses
}

func movingMean(mean, sample float64) float64 {
	if mean == 0 {
		return sample
	}
	return mean + sizeWeight*(sample-mean)
}

// of returns the size of a prefix, or the mean size if only other routers have had it.
func (z *prefixSizes) of(prefix uint64) int64 {
	if x, ok := z.byPrefix[prefix]; ok {
		return x.tokens
	}
	return int64(z.meanPrefix)
}

// ownTokens returns the memory that a request uses besides its shared prefix, in tokens.
func ownTokens(prompt, shared, output int64) int64 { return max(0, prompt-shared) + output }

// knownPrefixes are the prefixes that a backend server is known to have.
type knownPrefixes struct {
	cache           *prefixcache.Cache
	capacity, inUse int64
}

func (p *knownPrefixes) has(prefix uint64, now time.Duration) bool {
	return p.cache != nil && p.cache.Has(prefix, now)
}

func (p *knownPrefixes) remove(prefix uint64) {
	if p.cache != nil {
		p.cache.Remove(prefix)
	}
}

func (p *knownPrefixes) setInUse(tokens int64) {
	p.inUse = tokens
	if p.cache != nil {
		p.cache.SetInUse(tokens)
	}
}

// add adds a prefix. A changed capacity empties the cache, which is rare.
func (p *knownPrefixes) add(capacity int64, prefix uint64, tokens int64, now time.Duration) {
	if p.cache == nil || p.capacity != capacity {
		p.cache, p.capacity = prefixcache.New(capacity), capacity
		p.cache.SetInUse(p.inUse)
	}
	p.cache.Add(prefix, tokens, now)
}

// knownPrefix reports whether a backend server is known to have the shared prefix of a request.
func (c *Core) knownPrefix(r *request, s *server) bool {
	return r.Prefix != 0 && s.prefixes.has(r.Prefix, c.now)
}

// recordedPrefixes are the prefixes that were recorded for any server of a service. Waiting requests ask
// often whether a prefix can be copied, and most of those that wait for one that is new would otherwise
// look at all servers.
type recordedPrefixes map[uint64]struct{}

func (p *recordedPrefixes) add(prefix uint64) {
	if *p == nil || len(*p) >= maxRecorded {
		*p = recordedPrefixes{}
	}
	(*p)[prefix] = struct{}{}
}

func (p recordedPrefixes) has(prefix uint64) bool {
	_, ok := p[prefix]
	return ok
}

// addKnownPrefix records that a backend server has a prefix.
func (c *Core) addKnownPrefix(s *server, prefix uint64, tokens int64) {
	s.prefixes.add(c.serviceOf(s).cacheTokens, prefix, tokens, c.now)
	for _, m := range s.Models {
		c.service(m).recorded.add(prefix)
	}
}

// recordPrefix records, at the first event of a request, that its backend server has the shared
// prefix, and reports that to other routers with the next snapshot.
func (c *Core) recordPrefix(r *request) {
	if r.Prefix == 0 || r.prefixRecorded {
		return
	}
	r.prefixRecorded = true
	s := r.server
	c.addKnownPrefix(s, r.Prefix, r.Shared)
	if !r.readsPrefix && s.wasReported(r.Prefix, c.now) {
		return
	}
	s.markReported(r.Prefix, c.now)
	if len(c.newCopies) < maxCopies {
		c.newCopies = append(c.newCopies, wire.PrefixCopy{Prefix: r.Prefix, Server: s.key})
	}
}

// recordReportedPrefix records that another router reported that a backend server has a prefix.
func (c *Core) recordReportedPrefix(s *server, prefix uint64) {
	svc := c.serviceOf(s)
	tokens := svc.sizes.of(prefix)
	c.addKnownPrefix(s, prefix, tokens)
	if s.owned != nil {
		s.owned.prefixes.add(svc.cacheTokens, prefix, tokens, c.now)
	}
	s.markReported(prefix, c.now)
}

// recordUse updates the memory that running requests use at a backend server from its owner's report.
func (c *Core) recordUse(s *server, running int) {
	s.prefixes.setInUse(int64(float64(running) * c.serviceOf(s).sizes.meanOwn))
}

// wasReported reports whether any router reported within prefixReportInterval that the backend server
// has a prefix.
func (s *server) wasReported(prefix uint64, now time.Duration) bool {
	return s.reportedPrefixes != nil && s.reportedPrefixes.Has(prefix, now+prefixcache.TTL-prefixReportInterval)
}

func (s *server) markReported(prefix uint64, now time.Duration) {
	if s.reportedPrefixes == nil {
		s.reportedPrefixes = prefixcache.New(0)
	}
	s.reportedPrefixes.Add(prefix, 0, now)
}

// hasPrefix reports whether a backend server that this router owns has the shared prefix of a
// prompt, or will have processed it before that prompt. A new owner relies on what was reported
// before.
func (s *server) hasPrefix(m *wire.SlotRequest, now time.Duration) bool {
	if m.Prefix == 0 {
		return false
	}
	return s.owned.prefixes.has(m.Prefix, now) || now-s.owned.createdAt < prefixcache.TTL && s.prefixes.has(m.Prefix, now)
}

// prefillOf returns the number of prompt tokens that are neither cached nor copied from another
// backend server.
func (s *server) prefillOf(m *wire.SlotRequest, now time.Duration) int64 {
	if m.CopyPrefix || s.hasPrefix(m, now) {
		return m.PromptTokens - m.SharedTokens
	}
	return m.PromptTokens
}

// addUse changes the memory that running requests use besides shared prefixes.
func (o *ownerState) addUse(tokens int64) {
	o.inUse += tokens
	o.prefixes.setInUse(o.inUse)
}

// forgetUnread removes a prefix that a request was to process if the request ended before its first
// event. A later request for the prefix that still runs processes it instead.
func (o *ownerState) forgetUnread(ended *entry) {
	if ended.prefix == 0 || ended.prefill == 0 {
		return
	}
	for _, e := range o.entries {
		if e.waitsFor == ended.prefix && e.prefill > 0 {
			e.prefix, e.waitsFor = ended.prefix, 0
			e.prefill += e.shared
			o.prefill += e.shared
			return
		}
	}
	o.prefixes.remove(ended.prefix)
}

// CachedPrefixTokens returns the size of the prefixes that the backend servers owned by this router
// have.
func (c *Core) CachedPrefixTokens() int64 {
	sum := int64(0)
	for _, s := range c.ownedServers {
		if s.owner == c.opt.self.Address && s.owned.prefixes.cache != nil {
			sum += s.owned.prefixes.cache.Tokens()
		}
	}
	return sum
}
