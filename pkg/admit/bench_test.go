package admit_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/admit"
	"github.com/yarrowmast/yarrowmast/pkg/table"
)

// Size of the fleet: zones, and routers and backend servers of each zone.
const (
	benchZones   = 5
	benchRouters = 59
	benchServers = 32
)

// largeCore returns the core of a router in a fleet of 295 routers and 160 backend servers.
func largeCore() *admit.Core {
	t := &table.Table{Revision: 1, Services: []table.ServiceRow{{Name: service, Engine: true}}}
	var routers []admit.Router
	for z := range benchZones {
		zone := fmt.Sprintf("zone-%d", z)
		for i := range benchServers {
			name := fmt.Sprintf("%s-s%d", zone, i)
			t.Backends = append(t.Backends, table.Backend{Name: name, Zone: zone, Address: name, Models: []string{service}, Slots: 12, Mark: table.Serving})
		}
		for i := range benchRouters {
			routers = append(routers, admit.Router{Address: fmt.Sprintf("%s-%d", zone, i), Zone: zone, Capacity: 0.2})
		}
	}
	c := admit.New(routers[0], admit.WithSeed(1))
	c.Step(time.Second, admit.TableUpdate{Table: t})
	c.Step(time.Second, admit.Routers{List: routers[1:]})
	return c
}

func benchRequest(id uint64) admit.Request {
	return admit.Request{
		ID: id, Service: service, Account: fmt.Sprint("account-", id%60), Prefix: id%500 + 1, Prompt: 12000, Shared: 5400, Output: 300,
		Target: 500 * time.Millisecond, MaxWait: 100 * time.Millisecond, Deadline: time.Hour,
	}
}

// BenchmarkArrive measures a new request, which asks an owner for a slot, and its cancellation.
func BenchmarkArrive(b *testing.B) {
	c := largeCore()
	id := uint64(0)
	for b.Loop() {
		id++
		c.Step(2*time.Second, admit.Arrive{Request: benchRequest(id)})
		c.Step(2*time.Second, admit.Cancel{ID: id})
	}
}

// BenchmarkTick measures a tick while 50 requests wait for owners that do not reply.
func BenchmarkTick(b *testing.B) {
	c := largeCore()
	now := 2 * time.Second
	for id := range uint64(50) {
		r := benchRequest(id + 1)
		r.MaxWait = 0
		c.Step(now, admit.Arrive{Request: r})
	}
	for b.Loop() {
		now += time.Millisecond
		c.Step(now, admit.Tick{})
	}
}
