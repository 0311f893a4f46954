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

// serversPerShard is the maximum number of backend servers per owner. Larger
// pools are split into shards to limit the message rate of an owner.
const serversPerShard = 8

// Pools divides the table's backend servers into pools. A server belongs to the
// pool of its first model.
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

// tableChanged applies a new table to the holder and the owners.
func (c *core) tableChanged() {
	c.pools = Pools(c.table)
	c.trackMarks()
	closed := map[string]bool{}
	for _, b := range c.table.Backends {
		if !c.table.AcceptsRequests(&b) {
			closed[b.Name] = true
		}
	}
	c.runHolder(hold.BackendsClosed{Backends: closed})
	c.assignOwners()
	weights := c.weights()
	c.eachOwner(func(p wire.Pool) pool.Event { return pool.Servers{List: poolServers(c.table, c.pools[p])} })
	c.eachOwner(func(wire.Pool) pool.Event { return pool.Weights{Of: weights} })
	limits := c.limits()
	c.eachOwner(func(wire.Pool) pool.Event { return pool.Limits{Of: limits} })
	c.runHolder(hold.LimitedAccounts{Accounts: limitedNames(limits)})
}

// marks maps each mark to its event in the state chart.
var marks = map[table.Mark]chart.Event{
	table.Serving: "serve", table.Leaving: "leave", table.Stopping: "stop", table.Joining: "join",
}

// trackMarks logs every change of a backend server's mark. A change that the
// state chart does not allow takes effect too, because another router may not
// know the former mark, but it is logged as a warning.
func (c *core) trackMarks() {
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
		list = append(list, pool.Server{Name: b.Name, Slots: b.Slots, AcceptsRequests: t.AcceptsRequests(&b), ReportsLoad: b.Kind == table.Engine})
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

// limits returns the accounts with fleet-wide limits.
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

// membersChanged applies a change of the zone's live routers.
func (c *core) membersChanged() {
	live := c.members.Live()
	c.r.opt.log.Info("members", "live", len(live))
	c.runSync(tablesync.LiveRouters{Names: live})
	c.assignOwners()
	c.eachOwner(func(wire.Pool) pool.Event { return c.zoneHolders() })
	c.readLoadsSoon()
}

// ownerOf returns the owner of a pool as this router sees it. In its own zone
// the live routers decide, in other zones the platform's list, unless a router
// of that zone recently named another owner.
func (c *core) ownerOf(p wire.Pool) hold.PoolOwner {
	if p.Zone == c.r.id.Zone {
		o := rendezvous.Owner(p.String(), c.members.Live())
		return hold.PoolOwner{Pool: p, Owner: o, Incarnation: c.members.Incarnation(o)}
	}
	if n, ok := c.ownerHints[p]; ok && c.now-n.at < ownerHintTTL {
		return hold.PoolOwner{Pool: p, Owner: n.owner, Incarnation: n.incarnation}
	}
	return hold.PoolOwner{Pool: p, Owner: rendezvous.Owner(p.String(), c.listed(p.Zone))}
}

// listed returns the live routers of a zone according to the platform's list.
func (c *core) listed(zone string) []string {
	var names []string
	for _, i := range c.instances {
		if i.Zone == zone && i.State == "live" {
			names = append(names, i.Name)
		}
	}
	return names
}

// allListed returns all routers of a zone on the platform's list, sorted.
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

// assignOwners recomputes the owners of all pools and passes them to the holder
// and the owners here.
func (c *core) assignOwners() {
	if c.table == nil {
		return
	}
	poolOwners := make(map[wire.Pool]hold.PoolOwner, len(c.pools))
	for p := range c.pools {
		poolOwners[p] = c.ownerOf(p)
	}
	if c.resumeOwnersAt == 0 {
		c.takeOwnership(poolOwners)
	}
	c.runHolder(hold.PoolOwners{Zone: c.r.id.Zone, Of: poolOwners})
	c.runHolder(hold.ModelOwners{Of: c.modelOwners(poolOwners)})
	c.eachOwner(func(p wire.Pool) pool.Event { return pool.Siblings{Nodes: siblings(p, poolOwners)} })
}

func (c *core) takeOwnership(poolOwners map[wire.Pool]hold.PoolOwner) {
	for _, p := range wire.SortedPools(poolOwners) {
		owner := poolOwners[p]
		_, have := c.owners[p]
		mine := owner.Owner == c.r.id.Name && p.Zone == c.r.id.Zone
		if mine && !have {
			c.newOwner(p)
		}
		if !mine && have {
			c.handOver(p, owner.Owner)
			c.dropOwner(p)
		}
	}
	for _, p := range wire.SortedPools(c.owners) {
		if _, ok := poolOwners[p]; !ok {
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
	c.updateLoadFeeds()
}

// handOver reports the granted leases of a pool to its next owner.
func (c *core) handOver(p wire.Pool, to string) {
	for _, r := range c.owners[p].HandOver() {
		c.send(to, r)
	}
}

func (c *core) zoneHolders() pool.Holders {
	return pool.Holders{Live: c.members.Live(), Expected: c.members.Expected()}
}

func (c *core) dropOwner(p wire.Pool) {
	delete(c.owners, p)
	c.r.opt.log.Info("pool_left", "pool", p.String())
	c.updateLoadFeeds()
}

// modelOwners returns the owner that gets this router's demand for each model.
// It prefers pools of its own zone and selects a shard by the router's name.
func (c *core) modelOwners(poolOwners map[wire.Pool]hold.PoolOwner) map[string]hold.PoolOwner {
	ownZone := map[string][]string{}
	allZones := map[string][]string{}
	for p := range poolOwners {
		if p.Zone == c.r.id.Zone {
			ownZone[p.Model] = append(ownZone[p.Model], p.String())
		}
		allZones[p.Model] = append(allZones[p.Model], p.String())
	}
	byModel := make(map[string]hold.PoolOwner, len(allZones))
	for model, all := range allZones {
		from := ownZone[model]
		if len(from) == 0 {
			from = all
		}
		sort.Strings(from)
		p, err := wire.ParsePool(rendezvous.Owner(c.r.id.Name, from))
		if err == nil {
			byModel[model] = poolOwners[p]
		}
	}
	return byModel
}

// siblings returns the owners of the model's other pools.
func siblings(p wire.Pool, poolOwners map[wire.Pool]hold.PoolOwner) map[wire.Pool]string {
	nodes := map[wire.Pool]string{}
	for q, owner := range poolOwners {
		if q.Model == p.Model && q != p && owner.Owner != "" {
			nodes[q] = owner.Owner
		}
	}
	return nodes
}

// instancesChanged applies a new list of instances from the platform.
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
	c.sendAll(c.members.Step(c.now, member.PlatformList{Peers: peers}))
	c.keys.SetRouters(c.now, c.allListed(c.r.id.Zone))
	if !c.started {
		c.started = true
		c.runSync(tablesync.Start{Peers: c.startupPeers(names)})
		c.runSync(tablesync.LiveRouters{Names: c.members.Expected()})
	}
	c.assignOwners()
}

// remoteTablePeers is the number of routers in other zones that a starting
// router asks for the table, in addition to those of its own zone.
const remoteTablePeers = 3

func (c *core) startupPeers(names []string) []string {
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
	return append(peers, rendezvous.Owners(c.r.id.Name, others, remoteTablePeers)...)
}
