package measure

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"time"

	"go.yaml.in/yaml/v4"

	"github.com/yarrowmast/yarrowmast/internal/config"
	"github.com/yarrowmast/yarrowmast/internal/node"
	client "github.com/yarrowmast/yarrowmast/internal/platform"
	"github.com/yarrowmast/yarrowmast/internal/router"
	"github.com/yarrowmast/yarrowmast/pkg/pool"
	"github.com/yarrowmast/yarrowmast/pkg/table"
	"github.com/yarrowmast/yarrowmast/standin/engine"
	"github.com/yarrowmast/yarrowmast/standin/fabric"
	"github.com/yarrowmast/yarrowmast/standin/judge"
	"github.com/yarrowmast/yarrowmast/standin/platform"
)

// Policies that a scenario can run with.
const (
	PolicyFleet   = "fleet"
	PolicyLocal   = "local"
	PolicyCentral = "central"
	// PolicyOwners is the fleet with the scheduler used on operators' platforms, in which each
	// backend server has an owner.
	PolicyOwners = "owners"
)

const (
	anyPort = "127.0.0.1:0"
	// engineStep is the chunk interval of the stand-ins.
	engineStep = 20 * time.Millisecond
	// loadLag is the LoadLag of the stand-ins.
	loadLag      = 300 * time.Millisecond
	readyTimeout = 15 * time.Second
)

// cluster is a running fleet with its stand-ins.
type cluster struct {
	scenario     *Scenario
	policy       string
	recorder     *judge.Recorder
	fabric       *fabric.Network
	platform     *platform.Platform
	platformAddr string
	engines      map[string]*engine.Engine
	table        table.Table
	central      *baseline
	versions     *versions
	state        *state

	mu    sync.Mutex
	nodes map[string]*node.Node
	// settingsByRouter holds the settings of each router, with the ports that it listens on.
	settingsByRouter map[string]config.Settings
}

func startCluster(s *Scenario, policy string) (*cluster, error) {
	c := &cluster{
		scenario: s, policy: policy, recorder: judge.New(), fabric: fabric.New(s.ZoneLatency),
		engines: map[string]*engine.Engine{}, nodes: map[string]*node.Node{}, settingsByRouter: map[string]config.Settings{},
		versions: newVersions(), state: newState(),
	}
	ln, err := net.Listen("tcp", anyPort)
	if err != nil {
		return nil, fmt.Errorf("measure: listen: %w", err)
	}
	c.platformAddr = ln.Addr().String()
	c.platform = platform.Start(ln)
	if err := c.startEngines(); err != nil {
		return nil, err
	}
	c.central = newBaseline(c, "")
	c.publishTable()
	for _, z := range s.Zones {
		for i := range z.Routers {
			if err := c.startNode(z.Name, routerName(z.Name, i)); err != nil {
				return nil, err
			}
		}
	}
	c.publishInstances()
	return c, c.waitReady()
}

func (c *cluster) startEngines() error {
	for _, z := range c.scenario.Zones {
		for _, b := range z.Backends {
			ln, err := net.Listen("tcp", anyPort)
			if err != nil {
				return fmt.Errorf("measure: listen: %w", err)
			}
			c.recorder.AddServer(judge.Server{Name: b.Name, Model: b.Model, Zone: z.Name, Slots: b.Slots})
			c.engines[b.Name] = engine.Start(engine.Config{
				Name: b.Name, Slots: b.Slots, TokensPerSecond: b.TokensPerSecond, ChunkInterval: engineStep, LoadLag: loadLag, Recorder: c.recorder,
			}, ln)
			address := ln.Addr().String()
			c.fabric.Register(address, z.Name, b.Name)
			c.table.Backends = append(c.table.Backends, table.Backend{
				Name: b.Name, Zone: z.Name, Address: address, Kind: table.Engine, Models: []string{b.Model},
				Slots: b.Slots, Mark: table.Serving,
			})
		}
	}
	for _, a := range c.scenario.Accounts {
		sum := sha256.Sum256([]byte(accountKey(a.Name)))
		c.table.Accounts = append(c.table.Accounts, table.Account{
			Name: a.Name, Weight: a.Weight, Priority: a.Priority, KeySHA256: hex.EncodeToString(sum[:]),
			Limits: table.Limits{Queued: maxQueued},
		})
	}
	return nil
}

// maxQueued is high enough to queue the requests of a flood instead of refusing them.
const maxQueued = 5000

func accountKey(name string) string { return "key of " + name }

// publishTable publishes the current table and returns its revision.
func (c *cluster) publishTable() uint64 {
	var buf bytes.Buffer
	enc := yaml.NewEncoder(&buf)
	if err := enc.Encode(&c.table); err != nil {
		panic(err)
	}
	return c.platform.Publish(router.TableName, buf.Bytes())
}

func (c *cluster) settings(zone, name string) config.Settings {
	s := config.Defaults()
	s.Name, s.Zone, s.Platform = name, zone, c.platformAddr
	s.Listen = config.Listen{Callers: anyPort, Peers: anyPort, Admin: anyPort}
	if used, ok := c.settingsByRouter[name]; ok {
		return used
	}
	return s
}

func (c *cluster) startNode(zone, name string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.settings(zone, name)
	options, err := parsePolicy(c.policy)
	if err != nil {
		return err
	}
	opts := []node.Option{
		node.WithDialer(c.fabric.Dialer(zone, name)),
		node.WithLogger(slog.New(slog.DiscardHandler)),
		node.WithRouter(router.WithPool(options.pool...), router.WithHold(options.hold...), router.WithObserver(c.versions.observer(name))),
	}
	switch c.policy {
	case PolicyCentral:
		opts = append(opts, node.WithScheduler(c.central.schedulerFor(zone)))
	case PolicyOwners:
		opts = append(opts, node.WithDispatcher())
	case PolicyLocal:
		opts = append(opts, node.WithScheduler(newBaseline(c, name).schedulerFor(zone)))
	}
	n, err := node.Start(s, opts...)
	if err != nil {
		return err
	}
	s.Listen = n.ListenAddresses()
	c.settingsByRouter[name] = s
	c.nodes[name] = n
	if n.Router == nil {
		go c.versions.poll(name, n.Dispatch)
	}
	for _, a := range []string{s.Listen.Callers, s.Listen.Peers, s.Listen.Admin} {
		c.fabric.Register(a, zone, name)
	}
	return nil
}

func (c *cluster) publishInstances() {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []client.Instance
	for _, s := range c.settingsByRouter {
		list = append(list, client.Instance{Name: s.Name, Zone: s.Zone, Address: s.Listen.Peers, Admin: s.Listen.Admin, State: "live"})
	}
	c.platform.PublishInstances(list)
}

func (c *cluster) node(name string) *node.Node {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nodes[name]
}

// forEachNode calls f for every running router.
func (c *cluster) forEachNode(f func(name string, n *node.Node)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, n := range c.nodes {
		f(name, n)
	}
}

// waitReady waits until every router has the table and knows the other routers of its zone.
func (c *cluster) waitReady() error {
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) {
		ready := true
		c.forEachNode(func(_ string, n *node.Node) {
			ready = ready && isReady(n) && c.knowsZoneMembers(n)
		})
		if ready {
			time.Sleep(pool.DefaultTTL)
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("measure: routers were not ready within %s", readyTimeout)
}

// isReady reports whether a router has the table.
func isReady(n *node.Node) bool {
	if n.Router != nil {
		return n.Router.Table() != nil
	}
	return n.Dispatch.Table() != nil
}

func (c *cluster) knowsZoneMembers(n *node.Node) bool {
	if n.Router == nil {
		return len(n.Dispatch.Status().Live)+1 >= len(c.settingsByRouter)
	}
	s := n.Router.Status()
	known := 1
	for _, m := range s.Members {
		if m.State == "alive" && m.Incarnation > 0 {
			known++
		}
	}
	for _, z := range c.scenario.Zones {
		if z.Name == s.Zone {
			return known >= z.Routers
		}
	}
	return false
}

func (c *cluster) close() {
	var all []*node.Node
	c.forEachNode(func(_ string, n *node.Node) { all = append(all, n) })
	var wg sync.WaitGroup
	for _, n := range all {
		wg.Go(n.Kill)
	}
	wg.Wait()
	for _, e := range c.engines {
		e.Close()
	}
	c.platform.Close()
	c.central.close()
}

// killNode stops a router without draining it.
func (c *cluster) killNode(name string) {
	n := c.node(name)
	c.mu.Lock()
	delete(c.nodes, name)
	c.mu.Unlock()
	if n != nil {
		n.Kill()
	}
}
