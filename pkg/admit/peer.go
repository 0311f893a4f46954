package admit

import (
	"maps"
	"slices"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// peer is what another router last told of accounts.
type peer struct {
	heard time.Duration
	flows map[wire.Key]flow
}

// silentAfter is when what a router told counts no more: its requests have
// most likely ended with it, or cannot be seen from here.
const silentAfter = time.Second

// PeerGone says that a router has ended.
type PeerGone struct{ From string }

func (e PeerGone) apply(c *Core) {
	c.forgetFlows(e.From)
	c.dropHolder(e.From)
	for _, r := range slices.Clone(c.waiting) {
		c.ownerGone(r, e.From)
	}
}

// ownerGone has a request that asked an owner which has ended ask anew.
func (c *Core) ownerGone(r *request, owner string) {
	before := len(r.asks)
	r.asks = slices.DeleteFunc(r.asks, func(a *ask) bool { return a.owner == owner })
	if len(r.asks) != before {
		c.advance(r)
	}
}

// toldState takes in what another router tells of accounts and copies.
func (c *Core) toldState(from string, m *wire.State) {
	c.forgetFlows(from)
	p := &peer{heard: c.now, flows: make(map[wire.Key]flow, len(m.Accounts))}
	for _, f := range m.Accounts {
		p.flows[f.Account] = flow{asked: float64(f.Asked), begun: float64(f.Begun)}
		c.accounts.get(f.Account)
	}
	c.peers[from] = p
	c.accounts.count(p.flows, 1)
	for _, x := range m.Copies {
		if s, ok := c.servers[x.Server]; ok {
			s.copies.note(x.Prefix, c.now)
		}
	}
}

func (c *Core) forgetFlows(name string) {
	if p, ok := c.peers[name]; ok {
		delete(c.peers, name)
		c.accounts.count(p.flows, -1)
	}
}

func (c *Core) dropSilentPeers() {
	for _, name := range slices.Sorted(maps.Keys(c.peers)) {
		if c.now-c.peers[name].heard >= silentAfter {
			c.forgetFlows(name)
		}
	}
	for _, s := range c.sortedServers() {
		if s.owned != nil {
			s.owned.dropLost(c.now)
		}
	}
}

// Tell returns what this router tells the others of accounts and copies.
func (c *Core) Tell(now time.Duration) ([]wire.AccountFlow, []wire.Copy) {
	copies := c.copies
	c.copies = nil
	return c.accounts.tell(now), copies
}
