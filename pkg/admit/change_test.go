package admit

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/yarrowmast/yarrowmast/pkg/table"
	"github.com/yarrowmast/yarrowmast/pkg/verdict"
)

// changingTable is a table whose backend servers come, change and go.
type changingTable struct {
	rng *rand.Rand
	t   *table.Table
}

// newChangingTable returns a table of one engine service and one plain service.
func newChangingTable(seed uint64, servers int) *changingTable {
	x := &changingTable{rng: rand.New(rand.NewPCG(seed, 0)), t: &table.Table{
		Revision: 1, Services: []table.ServiceRow{{Name: "reader", Engine: true}, {Name: "desk"}}, Bounds: table.Bounds{TokensPerSecond: 1000},
	}}
	x.t.Index()
	var d table.Directory
	for i := range servers {
		name := fmt.Sprintf("i-%05d", i)
		d = d.With(name, x.row(name))
	}
	x.t = x.t.WithDirectory(d)
	return x
}

func (x *changingTable) row(name string) *table.Backend {
	models := []string{"reader"}
	if x.rng.IntN(8) == 0 {
		models = []string{"desk"}
	}
	mark := table.Serving
	if x.rng.IntN(4) == 0 {
		mark = table.Leaving
	}
	return &table.Backend{Name: name, Zone: fmt.Sprint("z", x.rng.IntN(3)), Models: models, Slots: 4, Mark: mark, StartTime: int64(x.rng.IntN(2))}
}

// change changes a random row and returns its name.
func (x *changingTable) change(servers int) string {
	name := fmt.Sprintf("i-%05d", x.rng.IntN(servers+servers/10+1))
	row := x.row(name)
	if x.rng.IntN(4) == 0 {
		row = nil
	}
	x.t = x.t.WithDirectory(x.t.Directory().With(name, row))
	return name
}

// summary is what a Core concluded from the tables.
type summary struct {
	Sorted   []string
	Services map[string][]string
	Owners   map[string]string
	Orders   map[uint64][]string
	Capacity float64
}

func (c *Core) summary() summary {
	x := summary{Services: map[string][]string{}, Owners: map[string]string{}, Orders: map[uint64][]string{}, Capacity: c.accounts.capacity}
	names := func(list []*server) []string {
		out := []string{}
		for _, s := range list {
			out = append(out, fmt.Sprintf("%s/%d/%s/%s", s.Name, s.StartTime, s.Zone, s.Mark))
		}
		return out
	}
	x.Sorted = names(c.sortedServers)
	for _, name := range []string{"reader", "desk"} {
		x.Services[name] = names(c.service(name).servers)
	}
	for _, s := range c.sortedServers {
		x.Owners[s.Name] = s.owner
	}
	for prefix := uint64(1); prefix < 12; prefix++ {
		x.Orders[prefix] = names(c.prefixOrder(c.service("reader"), &request{Request: Request{Service: "reader", Prefix: prefix}}))
	}
	return x
}

// newChangeCore returns a Core with other routers in three zones.
func newChangeCore() *Core {
	c := New(Router{Address: "r-0", Zone: "z0"})
	var others []Router
	for i := 1; i < 12; i++ {
		others = append(others, Router{Address: fmt.Sprintf("r-%d", i), Zone: fmt.Sprint("z", i%3)})
	}
	c.Step(time.Hour, Routers{List: others})
	return c
}

// TestPartialUpdates: a table of which only the changed rows are applied must lead to the same state as
// the whole table, also while requests are in flight at servers that go.
func TestPartialUpdates(t *testing.T) {
	for name, servers := range map[string]int{"few": 20, "fewer than an order": 150, "more than an order": 700} {
		t.Run(name, func(t *testing.T) {
			x := newChangingTable(uint64(servers), servers)
			whole, partial := newChangeCore(), newChangeCore()
			for _, c := range []*Core{whole, partial} {
				c.Step(time.Hour, TableUpdate{Table: x.t})
				c.summary()
			}
			for step := range 300 {
				changed := []string{x.change(servers)}
				if step%7 == 0 {
					changed = append(changed, x.change(servers))
				}
				whole.Step(time.Hour, TableUpdate{Table: x.t})
				partial.Step(time.Hour, TableUpdate{Table: x.t, Partial: true, Changed: changed})
				if step%25 != 0 {
					continue
				}
				want, got := whole.summary(), partial.summary()
				for prefix, order := range got.Orders {
					// An order that lost servers is shorter, as long as it suffices.
					if len(order) < min(minOrderLen, len(want.Orders[prefix])) {
						t.Fatalf("step %d: order %d has %d servers", step, prefix, len(order))
					}
					want.Orders[prefix] = want.Orders[prefix][:min(len(order), len(want.Orders[prefix]))]
				}
				if diff := cmp.Diff(want, got); diff != "" {
					t.Fatalf("step %d (-whole +partial):\n%s", step, diff)
				}
			}
		})
	}
}

// TestUnlistedServerIsForgotten: a server that goes while a request is in flight there must stay known
// until it has ended, and not longer.
func TestUnlistedServerIsForgotten(t *testing.T) {
	c := New(Router{Address: "r-0", Zone: "z0"})
	v := &table.Table{Services: []table.ServiceRow{{Name: "desk"}}}
	v.Index()
	v = v.WithDirectory(table.NewDirectory([]table.Backend{{Name: "a", Zone: "z0", Models: []string{"desk"}, Slots: 4, Mark: table.Serving}}))
	c.Step(time.Hour, TableUpdate{Table: v})
	actions := c.Step(time.Hour, Arrive{Request{ID: 1, Service: "desk", Deadline: 2 * time.Hour}})
	if len(actions) != 1 {
		t.Fatalf("actions %+v, want a start", actions)
	}
	c.Step(time.Hour, TableUpdate{Table: v.WithDirectory(table.Directory{}), Partial: true, Changed: []string{"a"}})
	if len(c.servers) != 1 || len(c.service("desk").servers) != 0 {
		t.Errorf("%d servers known, %d listed while the request runs", len(c.servers), len(c.service("desk").servers))
	}
	refused := c.Step(time.Hour, Arrive{Request{ID: 2, Service: "desk", Deadline: 2 * time.Hour}})
	if r, ok := refused[0].(Refuse); !ok || r.Err.Verdict != verdict.NotRun {
		t.Errorf("a request without a server: %+v", refused)
	}
	c.Step(time.Hour+time.Second, AttemptEnd{ID: 1, Result: Succeeded, Completed: true})
	if len(c.servers) != 0 || len(c.sortedServers) != 0 {
		t.Errorf("%d servers known after the request ended", len(c.servers))
	}
}

// TestChangedRowCostsItsRow: what the change of a backend server costs must not depend on how many
// there are.
func TestChangedRowCostsItsRow(t *testing.T) {
	const changes = 100
	perChange := func(servers int) Work {
		x := newChangingTable(1, servers)
		c := newChangeCore()
		c.Step(time.Hour, TableUpdate{Table: x.t})
		c.summary()
		before := c.Work()
		for range changes {
			name := x.change(servers)
			c.Step(time.Hour, TableUpdate{Table: x.t, Partial: true, Changed: []string{name}})
			c.summary()
		}
		after := c.Work()
		return Work{Rows: after.Rows - before.Rows, Scores: after.Scores - before.Scores, Orders: after.Orders - before.Orders}
	}
	for _, servers := range []int{3000, 6000, 12000} {
		got := perChange(servers)
		// A changed row is scored against the routers of its zone; an order is computed anew only after
		// it has lost half of its servers.
		if got.Rows > changes || got.Scores > 12*changes || got.Orders > 0 {
			t.Errorf("%d servers: %+v for %d changes", servers, got, changes)
		}
	}
}

// TestOrdersAreEvictedOneByOne: one more prompt than the cache holds must not throw the orders of all
// others away.
func TestOrdersAreEvictedOneByOne(t *testing.T) {
	x := newChangingTable(1, 300)
	c := newChangeCore()
	c.Step(time.Hour, TableUpdate{Table: x.t})
	svc := c.service("reader")
	order := func(prefix int) { c.prefixOrder(svc, &request{Request: Request{Prefix: uint64(prefix)}}) }
	for prefix := 1; prefix <= maxOrders+1; prefix++ {
		order(prefix)
	}
	before := c.Work().Orders
	for prefix := 2; prefix <= maxOrders+1; prefix++ {
		order(prefix)
	}
	if n := c.Work().Orders - before; n > 0 || len(svc.orders) != maxOrders || !slices.Contains(svc.orderKeys, orderKey{prefix: 2}) {
		t.Errorf("%d orders were computed again, %d are cached", n, len(svc.orders))
	}
}
