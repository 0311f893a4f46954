package admit_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/admit"
	"github.com/yarrowmast/yarrowmast/pkg/table"
)

// fleetSizes are numbers of routers and backend servers, in three zones.
var fleetSizes = [][2]int{{30, 300}, {100, 1000}, {300, 3000}}

// newLargeFleet returns the core of one router, the list of the others, and the table.
func newLargeFleet(routers, servers int) (*admit.Core, []admit.Router, *table.Table) {
	list := make([]admit.Router, 0, routers)
	for i := range routers {
		list = append(list, admit.Router{Address: fmt.Sprintf("10.0.%d.%d:8785", i/200, i%200), Zone: fmt.Sprint("z", i%3), Capacity: 0.2})
	}
	t := &table.Table{Revision: 1, Services: []table.ServiceRow{{Name: service, Engine: true}}}
	for i := range servers {
		t.Backends = append(t.Backends, table.Backend{
			Name: fmt.Sprintf("i-%08d", i), Zone: fmt.Sprint("z", i%3), Address: "10.1.0.1:80", Models: []string{service}, Slots: 16, Mark: table.Serving,
		})
	}
	t.Index()
	c := admit.New(list[0])
	c.Step(time.Hour, admit.TableUpdate{Table: t})
	c.Step(time.Hour, admit.Routers{List: list[1:]})
	return c, list[1:], t
}

// BenchmarkRouterLeavesAndJoins measures the changes of owners when a router leaves and
// returns.
func BenchmarkRouterLeavesAndJoins(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprint(n[0]), func(b *testing.B) {
			c, list, _ := newLargeFleet(n[0], n[1])
			for b.Loop() {
				c.Step(time.Hour, admit.Routers{List: list[1:]})
				c.Step(time.Hour, admit.Routers{List: list})
			}
		})
	}
}

// BenchmarkServerMarkChanges measures a table update that changes one backend server's mark.
func BenchmarkServerMarkChanges(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprint(n[1]), func(b *testing.B) {
			c, _, t := newLargeFleet(n[0], n[1])
			marks := []table.Mark{table.Leaving, table.Serving}
			for i := 0; b.Loop(); i++ {
				t.Backends[n[1]/2].Mark = marks[i%2]
				c.Step(time.Hour, admit.TableUpdate{Table: t})
			}
		})
	}
}

// BenchmarkIdleTick measures a tick of a router without requests.
func BenchmarkIdleTick(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprint(n[1]), func(b *testing.B) {
			c, _, _ := newLargeFleet(n[0], n[1])
			c.Step(2*time.Hour, admit.Tick{})
			for b.Loop() {
				c.Step(2*time.Hour, admit.Tick{})
				if c.NeedsTicks() {
					b.Fatal("busy")
				}
			}
		})
	}
}
