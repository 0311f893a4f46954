package suspect

import (
	"cmp"
	"slices"
	"time"
)

// Parts are shared, so that each crash accuses many of them that are harmless. The culprits among them are
// found as in group testing by greedy set cover (Aldridge, Baldassini and Johnson, "Group Testing
// Algorithms: Bounds and Simulations", 2014, there SCOMP): the item with the most crashes that no culprit
// explains is the next culprit. Items that completed shortly before come last.
//
// Crashes alone may not tell a part from another one that is in all the same requests. Then a request that
// has one of them and not the other is tried, one at a time: if it completes, its part is cleared; if it
// crashes its server, the other one is.

const (
	// maxCandidates bounds the items that are compared with each other. More than a few parts that crash
	// servers at the same time are not expected.
	maxCandidates = 64
	// maxTrialCrashes is how many crashes beyond its limit a part that completed shortly before is tried,
	// one request at a time, before it is blocked.
	maxTrialCrashes = 3
)

// culprit is a part that is the likeliest cause of crashes.
type culprit struct {
	*item
	// onTrial says that requests with it are tried one at a time unless they have one of the rivals, which
	// explain nearly the same crashes.
	onTrial bool
	rivals  []Digest
}

// findings is what follows from the crashes.
type findings struct {
	culprits map[Digest]*culprit
	// doubtful are parts with as many crashes as culprits have, which culprits explain but not for certain.
	doubtful map[Digest]bool
	// explained are the crashes, by server, of the culprits that are certain.
	explained map[Server]bool
	// reported says that Changes has compared the culprits with those before.
	reported bool
}

// unexplained returns the crashes of an item that no certain culprit explains.
func (f *findings) unexplained(x *item) []Crash {
	if len(f.explained) == 0 || f.culprits[x.digest] != nil {
		return x.crashes
	}
	return slices.DeleteFunc(slices.Clone(x.crashes), func(c Crash) bool { return f.explained[c.Server] })
}

// analyze returns the findings for the known crashes.
func (t *Tracker) analyze() *findings {
	if t.findings != nil {
		return t.findings
	}
	f := &findings{culprits: map[Digest]*culprit{}, doubtful: map[Digest]bool{}, explained: map[Server]bool{}}
	candidates := t.candidates()
	byCulprits := map[Server]bool{}
	for _, x := range candidates {
		left := slices.DeleteFunc(slices.Clone(x.crashes), func(c Crash) bool { return byCulprits[c.Server] })
		if len(left) < x.limit() || !isRepeated(left) {
			continue
		}
		if x.part {
			f.addCulprit(x, candidates)
		}
		for _, c := range x.crashes {
			byCulprits[c.Server] = true
		}
	}
	for _, x := range candidates {
		if x.part && f.culprits[x.digest] == nil && len(f.unexplained(x)) > 0 {
			f.doubtful[x.digest] = true
		}
	}
	t.findings = f
	return f
}

// candidates returns the items that may be culprits, in the order in which they are considered: those that
// have completed least of late first, then those with the most crashes, then requests, which explain less
// than parts do. A single completion counts: what is sound may have no more where routers have just started.
func (t *Tracker) candidates() []*item {
	var list []*item
	for _, x := range t.items {
		if len(x.crashes) >= x.limit() && isRepeated(x.crashes) {
			list = append(list, x)
		}
	}
	slices.SortFunc(list, func(a, b *item) int {
		return cmp.Or(cmp.Compare(a.extra, b.extra), cmp.Compare(len(b.crashes), len(a.crashes)), compareBool(a.part, b.part), cmp.Compare(a.digest, b.digest))
	})
	return list[:min(maxCandidates, len(list))]
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// addCulprit adds a part as a culprit. It is certain if several of its crashes are not those of rivals.
func (f *findings) addCulprit(x *item, candidates []*item) {
	rivals := slices.DeleteFunc(slices.Clone(candidates), func(q *item) bool { return !q.isRivalOf(x) })
	own := 0
	for _, c := range x.crashes {
		if !slices.ContainsFunc(rivals, func(q *item) bool { return q.crashedAt(c.Server) }) {
			own++
		}
	}
	found := &culprit{item: x, onTrial: own < MaxCrashes || x.extra > 0 && len(x.crashes) < x.limit()+maxTrialCrashes}
	f.culprits[x.digest] = found
	if found.onTrial {
		for _, q := range rivals {
			found.rivals = append(found.rivals, q.digest)
		}
		return
	}
	for _, c := range x.crashes {
		f.explained[c.Server] = true
	}
}

// isRivalOf reports whether x and a culprit explain several of the same crashes.
func (x *item) isRivalOf(found *item) bool {
	if !x.part || x == found || x.extra > found.extra {
		return false
	}
	shared := 0
	for _, c := range found.crashes {
		if x.crashedAt(c.Server) {
			shared++
		}
	}
	return shared >= MaxCrashes
}

// addPart adds to the status of a request what follows from one part of it.
func (t *Tracker) addPart(now time.Duration, p Digest, s Subject, status *Status) {
	f := t.analyze()
	found := f.culprits[p]
	switch {
	case found == nil && (f.doubtful[p] || t.blockedElsewhere(p)):
		status.Trials = append(status.Trials, p)
		return
	case found == nil:
		return
	}
	until := found.lastCrash() + found.blockFor(len(found.crashes))
	mayTry := found.onTrial && !slices.ContainsFunc(s.Parts, func(q Digest) bool { return slices.Contains(found.rivals, q) })
	if now >= until || mayTry {
		status.Trials = append(status.Trials, p)
		return
	}
	if until > status.BlockedUntil {
		status.BlockedUntil, status.Part, status.Crashes, status.LastCrash = until, p, len(found.crashes), found.lastCrash()
	}
}

// blockedElsewhere reports whether a part is certain to crash servers as other accounts state it, and has not
// completed here. The header is the word of the caller, so that the part is tried and not blocked.
func (t *Tracker) blockedElsewhere(p Digest) bool {
	f := t.analyze()
	if len(f.explained) == 0 {
		return false
	}
	if _, completed := t.completions.last(p); completed {
		return false
	}
	for d, found := range f.culprits {
		if !found.onTrial && samePart(d, p) {
			return true
		}
	}
	return false
}

// BlockedParts returns the number of parts that are the likeliest cause of crashes: requests with them are refused,
// or tried one at a time.
func (t *Tracker) BlockedParts() int {
	if len(t.items) == 0 {
		return 0
	}
	return len(t.analyze().culprits)
}

// Change reports that a part became a culprit, or ceased to be one.
type Change struct {
	Part Digest
	// Crashes is the number of crashes under it, 0 if it ceased to be a culprit.
	Crashes int
	// Certain says that requests with it are blocked. Otherwise some are tried.
	Certain bool
}

// Changes returns the culprits that are new, certain now, or gone since the last call.
func (t *Tracker) Changes() []Change {
	if len(t.items) == 0 && len(t.reported) == 0 {
		return nil
	}
	f := t.analyze()
	if f.reported {
		return nil
	}
	f.reported = true
	var list []Change
	for d, found := range f.culprits {
		if certain, ok := t.reported[d]; !ok || certain != !found.onTrial {
			t.reported[d] = !found.onTrial
			list = append(list, Change{Part: d, Crashes: len(found.crashes), Certain: !found.onTrial})
		}
	}
	for d := range t.reported {
		if f.culprits[d] == nil {
			delete(t.reported, d)
			list = append(list, Change{Part: d})
		}
	}
	slices.SortFunc(list, func(a, b Change) int { return cmp.Compare(a.Part, b.Part) })
	return list
}
