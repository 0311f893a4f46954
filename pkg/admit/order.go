package admit

import (
	"cmp"
	"math"
	"slices"

	"github.com/yarrowmast/yarrowmast/pkg/rendezvous"
	"github.com/yarrowmast/yarrowmast/pkg/table"
)

const (
	// maxOrders bounds the cached orders of a service. With maxOrderLen backend servers each
	// they take 2 MB.
	maxOrders = 1024
	// maxOrderLen bounds the backend servers that are considered for a prompt, since each
	// request visits them several times.
	maxOrderLen = 256
	// orderMargin is how many times more than maxOrderLen servers are selected for sorting, so
	// that the first maxOrderLen are almost certainly among them.
	orderMargin = 1.25
)

// prefixOrder returns the backend servers of a service that may process a request, in the order of
// preference for its prompt prefix, by rendezvous hashing. It is the same at every router and does not prefer the
// router's own zone, so that overload in one zone spreads over all engines and a prefix is not
// processed in every zone. Without a prefix it is the order of the table.
//
// Orders are cached until the directory changes, because sorting is much slower than the rest
// of an admission decision.
func (c *Core) prefixOrder(svc *service, r *request) []*server {
	candidates := c.serversFor(svc, r.Regions)
	if r.Prefix == 0 {
		return candidates
	}
	key := orderKey{r.Prefix, r.Regions}
	if order, ok := svc.orders[key]; ok {
		return order
	}
	if svc.orders == nil || len(svc.orders) >= maxOrders {
		svc.orders = map[orderKey][]*server{}
	}
	order := computeOrder(candidates, r.Prefix)
	svc.orders[key] = order
	return order
}

// orderKey identifies a cached order.
type orderKey struct {
	prefix  uint64
	regions table.RegionSet
}

// minWeight returns the least weight with which backend servers are selected for sorting.
func minWeight(servers int) uint64 {
	fraction := orderMargin * maxOrderLen / float64(servers)
	if fraction >= 1 {
		return 0
	}
	return uint64((1 - fraction) * math.MaxUint64)
}

func computeOrder(servers []*server, prefix uint64) []*server {
	type weightedServer struct {
		*server
		weight uint64
	}
	threshold := minWeight(len(servers))
	all := make([]weightedServer, 0, min(len(servers), 2*maxOrderLen))
	for _, s := range servers {
		if weight := rendezvous.WeightHashed(prefix, s.Name); weight >= threshold {
			all = append(all, weightedServer{s, weight})
		}
	}
	slices.SortFunc(all, func(a, b weightedServer) int { return cmp.Compare(b.weight, a.weight) })
	order := make([]*server, 0, len(all))
	for _, w := range all[:min(len(all), maxOrderLen)] {
		order = append(order, w.server)
	}
	return order
}

// preferredServer returns the first reachable backend server in the order for a request, nil if
// there is none.
func (c *Core) preferredServer(svc *service, r *request) *server {
	for _, s := range c.prefixOrder(svc, r) {
		if c.isReachable(s) {
			return s
		}
	}
	return nil
}
