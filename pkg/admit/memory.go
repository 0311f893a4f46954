package admit

// An engine keeps the tokens of its running requests in memory. If they do not fit, it stops some of its
// requests until others have ended. The table states how many tokens fit as cache_tokens.

// memoryUse sums up the tokens that the requests in flight at an engine occupy at most. A shared prefix
// counts once for all of them: with a prefix of 12,000 tokens for each, an engine with memory for 500,000
// would run 40 requests, of which it can run more than 60.
type memoryUse struct {
	tokens int64
	// shared holds the shared prefixes of the requests in flight.
	shared map[uint64]*sharedUse
}

// sharedUse is a shared prefix in memory.
type sharedUse struct {
	requests int
	tokens   int64
}

func (m *memoryUse) add(e *entry) {
	m.tokens += e.own
	if e.sharedPrefix == 0 {
		return
	}
	u, ok := m.shared[e.sharedPrefix]
	if !ok {
		if m.shared == nil {
			m.shared = map[uint64]*sharedUse{}
		}
		u = &sharedUse{tokens: e.shared}
		m.shared[e.sharedPrefix] = u
		m.tokens += u.tokens
	}
	u.requests++
}

func (m *memoryUse) remove(e *entry) {
	m.tokens -= e.own
	u, ok := m.shared[e.sharedPrefix]
	if !ok {
		return
	}
	if u.requests--; u.requests == 0 {
		delete(m.shared, e.sharedPrefix)
		m.tokens -= u.tokens
	}
}

// needs returns the tokens that a request would occupy in addition.
func (m *memoryUse) needs(a *receivedRequest) int64 {
	own := ownTokens(a.PromptTokens, a.SharedTokens, max(0, a.context.OutputTokens))
	if _, ok := m.shared[a.Prefix]; ok {
		return own
	}
	return own + max(0, a.SharedTokens)
}

// memoryFits reports whether a request fits into the memory of an engine beside those in flight. An engine
// without requests takes any, since it is never less busy.
func (c *Core) memoryFits(svc *service, o *ownerState, a *receivedRequest) bool {
	if !svc.engine || svc.cacheTokens <= 0 || o.running == 0 {
		return true
	}
	return o.memory.tokens+o.memory.needs(a) <= svc.cacheTokens
}

// newListedEntry returns the entry of a request that started without a grant of this router. Its holder
// states only the tokens still to be read, so that its memory is underestimated.
func (c *Core) newListedEntry(prefill int64) *entry {
	return &entry{prefill: prefill, own: prefill, startedAt: c.now, confirmedAt: c.now}
}
