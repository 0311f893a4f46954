package router

import (
	"log/slog"
	"sort"

	"github.com/yarrowmast/yarrowmast/pkg/chart"
	"github.com/yarrowmast/yarrowmast/pkg/hold"
	"github.com/yarrowmast/yarrowmast/pkg/member"
	"github.com/yarrowmast/yarrowmast/pkg/pool"
	"github.com/yarrowmast/yarrowmast/pkg/rendezvous"
	"github.com/yarrowmast/yarrowmast/pkg/table"
	"github.com/yarrowmast/yarrowmast/pkg/tablesync"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// serversPerShard is how many backend servers one owner looks after at most;
// a larger pool is split, so that no owner's messages grow with the pool.
const serversPerShard = 8

// Pools divides the table's backend servers into pools. A server belongs to
// the pool of its first model.
func Pools(t *table.Table) map[wire.Pool][]table.Backend {
	type group struct{ model, zone string }
	groups := map[group][]table.Backend{}
	for _, b := range t.Backends {
		g := group{b.Models[0], b.Zone}
		groups[g] = append(groups[g], b)
	}
	pools := map[wire.Pool][]table.Backend{}
	for g, list := range groups {
		sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
		shards := (len(list) + serversPerShard - 1) / serversPerShard
		for i, b := range list {
			p := wire.NewPool(g.model, g.zone, i%shards)
			pools[p] = append(pools[p], b)
		}
	}
	return pools
}

// tableChanged takes a new table to everyone who decides by it.
func (c *core) tableChanged() {
	c.pools = Pools(c.table)
	c.noteMarks()
	closed := map[string]bool{}
	for _, b := range c.table.Backends {
		if !c.table.AcceptsRequests(&b) {
			closed[b.Name] = true
		}
	}
	c.runHolder(hold.Closed{Backends: closed})
	c.reown()
	weights := c.weights()
	c.eachOwner(func(p wire.Pool) pool.Event { return pool.Servers{List: poolServers(c.table, c.pools[p])} })
	c.eachOwner(func(wire.Pool) pool.Event { return pool.Weights{Of: weights} })
	limits := c.limits()
	c.eachOwner(func(wire.Pool) pool.Event { return pool.Limits{Of: limits} })
	c.runHolder(hold.Limited{Accounts: limitedNames(limits)})
}

// marks gives the event of the chart that each mark stands for.
var marks = map[table.Mark]chart.Event{
	table.Serving: "serve", table.Leaving: "leave", table.Stopping: "stop", table.Joining: "join",
}

// noteMarks follows each backend server along its chart and logs every change
// of its mark. A change that the chart lacks, such as back to joining, is
// obeyed, since another router may know no former mark, but is a warning.
func (c *core) noteMarks() {
	now := make(map[string]chart.State, len(c.table.Backends))
	for _, b := range c.table.Backends {
		was, known := c.marks[b.Name]
		now[b.Name] = chart.State(b.Mark)
		if !known || was == now[b.Name] {
			continue
		}
		level := slog.LevelInfo
		if _, err := chart.Backend.Next(was, marks[b.Mark]); err != nil {
			level = slog.LevelWarn
		}
		c.r.opt.log.Log(c.r.ctx, level, "backend_mark", "backend", b.Name, "before", was, "mark", b.Mark)
	}
	for name, was := range c.marks {
		if _, listed := now[name]; !listed {
			c.r.opt.log.Info("backend_removed", "backend", name, "before", was)
		}
	}
	c.marks = now
}

func poolServers(t *table.Table, backends []table.Backend) []pool.Server {
	list := make([]pool.Server, 0, len(backends))
	for _, b := range backends {
		list = append(list, pool.Server{Name: b.Name, Slots: b.Slots, Open: t.AcceptsRequests(&b), Reports: b.Kind == table.Engine})
	}
	return list
}

func (c *core) weights() map[string]float64 {
	w := make(map[string]float64, len(c.table.Accounts))
	for _, a := range c.table.Accounts {
		w[a.Name] = a.Weight
	}
	return w
}

// limits returns the accounts that have a limit over the whole fleet.
func (c *core) limits() map[string]pool.Limit {
	limits := map[string]pool.Limit{}
	for _, a := range c.table.Accounts {
		l := pool.Limit{Requests: a.Limits.RequestsPerSecond, Tokens: a.Limits.TokensPerSecond, InFlight: a.Limits.InFlight}
		if l != (pool.Limit{}) {
			limits[a.Name] = l
		}
	}
	return limits
}

func limitedNames(limits map[string]pool.Limit) map[string]bool {
	names := make(map[string]bool, len(limits))
	for name := range limits {
		names[name] = true
	}
	return names
}

// membersChanged takes a change of the zone's live routers to everyone.
func (c *core) membersChanged() {
	live := c.members.Live()
	c.r.opt.log.Info("members", "live", len(live))
	c.runSync(tablesync.Live{Names: live})
	c.reown()
	c.eachOwner(func(wire.Pool) pool.Event { return c.zoneHolders() })
	c.readSoon()
}

// ownerOf returns the owner of a pool as this router sees it: by the live
// routers in the own zone, and by the platform's list elsewhere, unless a
// router of that zone said otherwise lately.
func (c *core) ownerOf(p wire.Pool) hold.Home {
	if p.Zone == c.r.id.Zone {
		o := rendezvous.Owner(p.String(), c.members.Live())
		return hold.Home{Pool: p, Owner: o, Inc: c.members.Inc(o)}
	}
	if n, ok := c.named[p]; ok && c.now-n.at < namedFor {
		return hold.Home{Pool: p, Owner: n.owner, Inc: n.inc}
	}
	return hold.Home{Pool: p, Owner: rendezvous.Owner(p.String(), c.listed(p.Zone))}
}

// listed returns the live routers of a zone by the platform's list.
func (c *core) listed(zone string) []string {
	var names []string
	for _, i := range c.instances {
		if i.Zone == zone && i.State == "live" {
			names = append(names, i.Name)
		}
	}
	return names
}

// allListed returns every router of a zone by the platform's list, sorted.
func (c *core) allListed(zone string) []string {
	var names []string
	for _, i := range c.instances {
		if i.Zone == zone {
			names = append(names, i.Name)
		}
	}
	sort.Strings(names)
	return names
}

// reown finds anew who owns which pool and tells the holder and the owners.
func (c *core) reown() {
	if c.table == nil {
		return
	}
	lenders := make(map[wire.Pool]hold.Home, len(c.pools))
	for p := range c.pools {
		lenders[p] = c.ownerOf(p)
	}
	if c.ownersAt == 0 {
		c.takeOwnership(lenders)
	}
	c.runHolder(hold.Lenders{Zone: c.r.id.Zone, Of: lenders})
	c.runHolder(hold.Homes{Of: c.homes(lenders)})
	c.eachOwner(func(p wire.Pool) pool.Event { return pool.Siblings{Nodes: siblings(p, lenders)} })
}

func (c *core) takeOwnership(lenders map[wire.Pool]hold.Home) {
	for _, p := range wire.SortedPools(lenders) {
		home := lenders[p]
		_, have := c.owners[p]
		mine := home.Owner == c.r.id.Name && p.Zone == c.r.id.Zone
		if mine && !have {
			c.newOwner(p)
		}
		if !mine && have {
			c.handOver(p, home.Owner)
			c.dropOwner(p)
		}
	}
	for _, p := range wire.SortedPools(c.owners) {
		if _, ok := lenders[p]; !ok {
			c.dropOwner(p)
		}
	}
}

func (c *core) newOwner(p wire.Pool) {
	o := pool.New(c.r.id.Name, p, c.now, c.r.opt.pool...)
	c.owners[p] = o
	c.r.opt.log.Info("pool_owned", "pool", p.String())
	c.runOwner(o, pool.Servers{List: poolServers(c.table, c.pools[p])})
	c.runOwner(o, pool.Weights{Of: c.weights()})
	c.runOwner(o, pool.Limits{Of: c.limits()})
	c.runOwner(o, c.zoneHolders())
	c.feedLoads()
}

// handOver tells the next owner of a pool which leases are out.
func (c *core) handOver(p wire.Pool, to string) {
	for _, r := range c.owners[p].HandOver() {
		c.send(to, r)
	}
}

func (c *core) zoneHolders() pool.Holders {
	return pool.Holders{Names: c.members.Live(), Expected: c.members.Expected()}
}

func (c *core) dropOwner(p wire.Pool) {
	delete(c.owners, p)
	c.r.opt.log.Info("pool_left", "pool", p.String())
	c.feedLoads()
}

// homes chooses for each model the owner that this router asks: of a pool in
// its own zone if there is one, spread over the shards by its name.
func (c *core) homes(lenders map[wire.Pool]hold.Home) map[string]hold.Home {
	near := map[string][]string{}
	far := map[string][]string{}
	for p := range lenders {
		if p.Zone == c.r.id.Zone {
			near[p.Model] = append(near[p.Model], p.String())
		}
		far[p.Model] = append(far[p.Model], p.String())
	}
	homes := make(map[string]hold.Home, len(far))
	for model, all := range far {
		from := near[model]
		if len(from) == 0 {
			from = all
		}
		sort.Strings(from)
		p, err := wire.ParsePool(rendezvous.Owner(c.r.id.Name, from))
		if err == nil {
			homes[model] = lenders[p]
		}
	}
	return homes
}

// siblings returns the owners of the model's other pools.
func siblings(p wire.Pool, lenders map[wire.Pool]hold.Home) map[wire.Pool]string {
	nodes := map[wire.Pool]string{}
	for q, home := range lenders {
		if q.Model == p.Model && q != p && home.Owner != "" {
			nodes[q] = home.Owner
		}
	}
	return nodes
}

// instancesChanged takes the platform's list to those who decide by it.
func (c *core) instancesChanged() {
	var peers []member.Peer
	addrs := map[string]string{}
	var names []string
	for _, i := range c.instances {
		addrs[i.Name] = i.Address
		names = append(names, i.Name)
		if i.Zone == c.r.id.Zone {
			peers = append(peers, member.Peer{Name: i.Name, Leaving: i.State != "live"})
		}
	}
	c.r.net.SetAddresses(addrs)
	c.sendAll(c.members.Step(c.now, member.List{Peers: peers}))
	c.keys.SetRouters(c.now, c.allListed(c.r.id.Zone))
	if !c.started {
		c.started = true
		c.runSync(tablesync.Start{Peers: c.firstPeers(names)})
		c.runSync(tablesync.Live{Names: c.members.Expected()})
	}
	c.reown()
}

// askedElsewhere is how many routers of other zones a router asks for the
// table at its start, besides those of its own.
const askedElsewhere = 3

func (c *core) firstPeers(names []string) []string {
	var peers, others []string
	zone := map[string]string{}
	for _, i := range c.instances {
		zone[i.Name] = i.Zone
	}
	for _, n := range names {
		if zone[n] == c.r.id.Zone {
			peers = append(peers, n)
		} else {
			others = append(others, n)
		}
	}
	return append(peers, rendezvous.Owners(c.r.id.Name, others, askedElsewhere)...)
}
