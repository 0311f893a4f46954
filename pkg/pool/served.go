package pool

import "github.com/yarrowmast/yarrowmast/pkg/wire"

// applyServed charges what a sibling served since its last share. If fresh,
// earlier service is not charged: the sibling is new or was disconnected.
func (o *Owner) applyServed(s *sibling, served []wire.Served, fresh bool) {
	if fresh {
		o.clearServing(s)
		s.served = map[string]remoteService{}
	}
	named := make(map[string]bool, len(served))
	for _, v := range served {
		named[v.Account] = true
		o.applyServedAccount(s, v)
	}
	for _, name := range sorted(s.served) {
		r := s.served[name]
		if !named[name] && r.serving {
			o.applyServedAccount(s, wire.Served{Account: name, Tokens: r.tokens})
		}
	}
}

func (o *Owner) applyServedAccount(s *sibling, v wire.Served) {
	a := o.account(v.Account)
	r, known := s.served[v.Account]
	if known {
		a.limit.spend(v.Tokens-r.tokens, 0)
		guessed := 0.0
		if r.serving && o.opt.estimator == ScaledByZones {
			guessed = a.served - r.localAtShare
		}
		o.queue.Charge(v.Account, v.Tokens-r.tokens-guessed)
	}
	serving := known && v.Tokens > r.tokens
	a.servingSiblings += boolToInt(serving) - boolToInt(r.serving)
	s.served[v.Account] = remoteService{tokens: v.Tokens, localAtShare: a.served, serving: serving}
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

func (o *Owner) clearServing(s *sibling) {
	for name, r := range s.served {
		if r.serving {
			o.account(name).servingSiblings--
			r.serving = false
			s.served[name] = r
		}
	}
}
