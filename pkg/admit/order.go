package admit

import (
	"cmp"
	"math"
	"slices"

	"github.com/yarrowmast/yarrowmast/pkg/rendezvous"
)

const (
	// mostOrders bounds the orders that are remembered for a service. With mostInOrder
	// backend servers each they take 2 MB.
	mostOrders = 1024
	// mostInOrder bounds the backend servers that are considered for a prompt: of
	// 3,000 a request looked at each several times.
	mostInOrder = 256
	// orderMargin is by how many times more than mostInOrder are sorted, so that the
	// first of all are among them: the hashes are even, and 256 of 320 is 3.6
	// standard deviations off.
	orderMargin = 1.25
)

// orderFor returns the backend servers of a service in the order in which a
// prompt with these shared parts is to be read there, by rendezvous hashing, which
// is the same at every router. Those of the own zone do not come first: a flood
// that enters in one zone would fill its engines while others rest, and each zone's
// would read every prompt (worth 0.63 with the own zone first and 0.68 without, at
// 295 routers in five zones, one day to second 22). Without a prompt it is the order
// of the table.
//
// The order is remembered until the directory changes: to work it out takes 20
// times as long as the rest of a request's decision at 160 backend servers
// (BenchmarkArrive).
func (c *Core) orderFor(sv *service, prefix uint64) []*server {
	if prefix == 0 {
		return sv.servers
	}
	if order, ok := sv.orders[prefix]; ok {
		return order
	}
	if sv.orders == nil || len(sv.orders) >= mostOrders {
		sv.orders = map[uint64][]*server{}
	}
	order := workOutOrder(sv, prefix)
	sv.orders[prefix] = order
	return order
}

// leastWeight returns the weight from which backend servers are sorted into an order.
func leastWeight(servers int) uint64 {
	part := orderMargin * mostInOrder / float64(servers)
	if part >= 1 {
		return 0
	}
	return uint64((1 - part) * math.MaxUint64)
}

func workOutOrder(sv *service, prefix uint64) []*server {
	type weighed struct {
		*server
		weight uint64
	}
	least := leastWeight(len(sv.servers))
	all := make([]weighed, 0, min(len(sv.servers), 2*mostInOrder))
	for _, s := range sv.servers {
		if weight := rendezvous.WeightHashed(prefix, s.Name); weight >= least {
			all = append(all, weighed{s, weight})
		}
	}
	slices.SortFunc(all, func(a, b weighed) int { return cmp.Compare(b.weight, a.weight) })
	order := make([]*server, 0, len(all))
	for _, w := range all[:min(len(all), mostInOrder)] {
		order = append(order, w.server)
	}
	return order
}

// firstFor returns the backend server that is first for a prompt's beginning.
func (c *Core) firstFor(sv *service, prefix uint64) *server {
	for _, s := range c.orderFor(sv, prefix) {
		if c.reaches(s) {
			return s
		}
	}
	return nil
}
