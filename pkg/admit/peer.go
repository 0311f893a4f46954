package admit

import (
	"maps"
	"slices"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// Told is what a router tells the others.
type Told struct {
	Servers  []wire.ServerUse
	Accounts []wire.AccountUse
	Copies   []wire.Copy
}

// peer is what another router last told.
type peer struct {
	heard    time.Duration
	servers  map[wire.Key]use
	accounts map[wire.Key]flow
}

// silentAfter is when what a router told counts no more: its requests have
// most likely ended with it, or cannot be seen from here.
const silentAfter = time.Second

// Heard is what another router tells.
type Heard struct {
	From string
	Told Told
}

// PeerGone says that a router has ended.
type PeerGone struct{ From string }

func (e Heard) apply(c *Core) {
	c.forgetPeer(e.From)
	p := &peer{heard: c.now, servers: make(map[wire.Key]use, len(e.Told.Servers)), accounts: make(map[wire.Key]flow, len(e.Told.Accounts))}
	for _, u := range e.Told.Servers {
		p.servers[u.Server] = use{running: u.Running, unread: u.Unread}
	}
	for _, u := range e.Told.Accounts {
		p.accounts[u.Account] = flow{asked: float64(u.Asked), begun: float64(u.Begun)}
	}
	c.peers[e.From] = p
	c.countPeer(p, 1)
	c.learnCopies(e.Told.Copies)
	for _, s := range c.services {
		c.serveWaiting(s)
	}
}

func (e PeerGone) apply(c *Core) { c.forgetPeer(e.From) }

func (c *Core) forgetPeer(name string) {
	if p, ok := c.peers[name]; ok {
		delete(c.peers, name)
		c.countPeer(p, -1)
	}
}

// countPeer adds what a router told to the sums, or takes it away.
func (c *Core) countPeer(p *peer, sign int) {
	for _, s := range c.servers {
		u, ok := p.servers[wire.KeyOf(s.Name)]
		if !ok {
			continue
		}
		if sign > 0 {
			s.others.add(u)
		} else {
			s.others.subtract(u)
		}
	}
	for name, a := range c.accounts.by {
		if f, ok := p.accounts[wire.KeyOf(name)]; ok {
			a.others.asked = max(0, a.others.asked+float64(sign)*f.asked)
			a.others.begun = max(0, a.others.begun+float64(sign)*f.begun)
		}
	}
}

// usedByPeers sums what the routers heard of have under way at a backend
// server that is new in the view.
func (c *Core) usedByPeers(name string) use {
	var sum use
	key := wire.KeyOf(name)
	for _, p := range c.peers {
		sum.add(p.servers[key])
	}
	return sum
}

// account returns an account, with what was told of it before it was seen
// here.
func (c *Core) account(name string) *account {
	if a, ok := c.accounts.by[name]; ok {
		return a
	}
	a := c.accounts.get(name)
	key := wire.KeyOf(name)
	for _, p := range c.peers {
		f := p.accounts[key]
		a.others.asked += f.asked
		a.others.begun += f.begun
	}
	return a
}

func (c *Core) dropSilentPeers() {
	for _, name := range slices.Sorted(maps.Keys(c.peers)) {
		if c.now-c.peers[name].heard >= silentAfter {
			c.forgetPeer(name)
		}
	}
}

// learnCopies notes where other routers had prompts read.
func (c *Core) learnCopies(copies []wire.Copy) {
	if len(copies) == 0 {
		return
	}
	byKey := make(map[wire.Key]*server, len(c.servers))
	for name, s := range c.servers {
		byKey[wire.KeyOf(name)] = s
	}
	for _, x := range copies {
		if s, ok := byKey[x.Server]; ok {
			s.known.note(x.Prefix, c.now)
		}
	}
}

// Tell returns what this router tells the others.
func (c *Core) Tell(now time.Duration) Told {
	t := Told{Copies: c.copies}
	c.copies = nil
	for _, name := range slices.Sorted(maps.Keys(c.servers)) {
		s := c.servers[name]
		if s.own.running > 0 {
			t.Servers = append(t.Servers, wire.ServerUse{Server: wire.KeyOf(name), Running: s.own.running, Unread: max(0, s.own.unread)})
		}
	}
	for _, name := range slices.Sorted(maps.Keys(c.accounts.by)) {
		a := c.accounts.by[name]
		if asked := a.asked.get(now); asked >= 1 {
			t.Accounts = append(t.Accounts, wire.AccountUse{Account: wire.KeyOf(name), Asked: float32(asked), Begun: float32(a.begun.get(now))})
		}
	}
	return t
}
