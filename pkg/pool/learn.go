package pool

import "github.com/yarrowmast/yarrowmast/pkg/wire"

// learn takes over what a sibling served. What it served before it was first
// heard, or while it was cut off, is forgiven.
func (o *Owner) learn(s *sibling, served []wire.Served, fresh bool) {
	if fresh {
		o.unserve(s)
		s.served = map[string]remote{}
	}
	named := make(map[string]bool, len(served))
	for _, v := range served {
		named[v.Account] = true
		o.learnOne(s, v)
	}
	for _, name := range sorted(s.served) {
		r := s.served[name]
		if !named[name] && r.serving {
			o.learnOne(s, wire.Served{Account: name, Tokens: r.tokens})
		}
	}
}

func (o *Owner) learnOne(s *sibling, v wire.Served) {
	a := o.account(v.Account)
	r, known := s.served[v.Account]
	if known {
		a.limit.spend(v.Tokens-r.tokens, 0)
		guessed := 0.0
		if r.serving && o.opt.estimator == ScaledByZones {
			guessed = a.own - r.ownAt
		}
		o.queue.Charge(v.Account, v.Tokens-r.tokens-guessed)
	}
	serving := known && v.Tokens > r.tokens
	a.zones += boolToInt(serving) - boolToInt(r.serving)
	s.served[v.Account] = remote{tokens: v.Tokens, ownAt: a.own, serving: serving}
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

func (o *Owner) unserve(s *sibling) {
	for name, r := range s.served {
		if r.serving {
			o.account(name).zones--
			r.serving = false
			s.served[name] = r
		}
	}
}
