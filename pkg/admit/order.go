package admit

import (
	"cmp"
	"math"
	"slices"

	"github.com/yarrowmast/yarrowmast/pkg/rendezvous"
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
// preference for its prompt prefix, by rendezvous hashing weighted by speed class. It is the same at every router
// that knows the classes, and does not prefer the router's own zone, so that overload in one zone spreads over all engines and a prefix is not
// processed in every zone. Without a prefix it is the order of the table.
//
// Orders are cached, because sorting is much slower than the rest of an admission decision. A backend
// server that comes or goes is added to them or removed.
func (c *Core) prefixOrder(svc *service, r *request) []*server {
	candidates := c.serversFor(svc, r.candidates())
	if r.Prefix == 0 {
		return candidates
	}
	key := orderKey{r.Prefix, r.candidates()}
	order, ok := svc.orders[key]
	if !ok {
		c.work.Orders++
		order = computeOrder(candidates, r.Prefix)
		svc.addOrder(key, order)
	}
	return order
}

// orderKey identifies a cached order.
type orderKey struct {
	prefix     uint64
	candidates candidateSet
}

// minOrderLen is the length below which a cached order is computed anew if the service has more servers.
const minOrderLen = maxOrderLen / 2

// addOrder caches an order in place of the oldest one.
func (svc *service) addOrder(key orderKey, order []*server) {
	if svc.orders == nil {
		svc.orders = map[orderKey][]*server{}
	}
	if len(svc.orderKeys) >= maxOrders {
		delete(svc.orders, svc.orderKeys[0])
		svc.orderKeys = svc.orderKeys[1:]
	}
	svc.orders[key] = order
	svc.orderKeys = append(svc.orderKeys, key)
}

// forgetOrders empties the caches.
func (svc *service) forgetOrders() { svc.orders, svc.orderKeys, svc.limited = nil, nil, nil }

// updateOrders changes all cached orders. Those of limited sets are few, and computed
// anew.
func (svc *service) updateOrders(change func(prefix uint64, order []*server) []*server) {
	svc.limited = nil
	svc.orderKeys = slices.DeleteFunc(svc.orderKeys, func(key orderKey) bool {
		order := change(key.prefix, svc.orders[key])
		isOutdated := key.candidates.isLimited() || len(order) < minOrderLen && len(order) < len(svc.servers)
		if isOutdated {
			delete(svc.orders, key)
		} else {
			svc.orders[key] = order
		}
		return isOutdated
	})
}

// placeInOrder returns the index at which a server belongs into an order.
func placeInOrder(prefix uint64, order []*server, s *server) int {
	at, _ := slices.BinarySearchFunc(order, rankOf(prefix, s), func(x *server, r orderRank) int {
		return r.compare(rankOf(prefix, x))
	})
	return at
}

// insertIntoOrder adds a server to an order. An order that is not complete stays a prefix of the whole
// one: which servers follow its last one is unknown.
func insertIntoOrder(prefix uint64, order []*server, isComplete bool, s *server) []*server {
	at := placeInOrder(prefix, order, s)
	if at >= maxOrderLen || at == len(order) && !isComplete {
		return order
	}
	order = slices.Insert(order, at, s)
	return order[:min(len(order), maxOrderLen)]
}

func removeFromOrder(prefix uint64, order []*server, s *server) []*server {
	for at := placeInOrder(prefix, order, s); at < len(order) && order[at].Name == s.Name; at++ {
		if order[at] == s {
			return slices.Delete(order, at, at+1)
		}
	}
	return order
}

// orderRank determines the place of a backend server in an order. Higher ranks go first.
type orderRank struct {
	// score is the inverse of an exponential variable whose rate is inverse to the server's weight,
	// so that the share of prefixes for which a server is first is in proportion to its weight.
	score float64
	hash  uint64
}

func rankOf(prefix uint64, s *server) orderRank {
	hash := rendezvous.WeightHashed(prefix, s.Name)
	return orderRank{classWeight(s.orderClass) / -math.Log(uniform(hash)), hash}
}

// uniform maps a hash to the open interval (0, 1).
func uniform(hash uint64) float64 { return (float64(hash>>11) + 0.5) / (1 << 53) }

func (r orderRank) compare(other orderRank) int {
	switch {
	case r.score > other.score:
		return 1
	case r.score < other.score:
		return -1
	default:
		return cmp.Compare(r.hash, other.hash)
	}
}

// minHashes returns, by class, the least hash with which backend servers are selected for sorting,
// so that the expected number is orderMargin times maxOrderLen: all of them have at least the same
// score.
func minHashes(servers []*server) (least [2*maxSpeedClass + 1]uint64) {
	const wanted = orderMargin * maxOrderLen
	if len(servers) <= wanted {
		return least
	}
	var counts [len(least)]float64
	sum := 0.0
	for _, s := range servers {
		counts[s.orderClass+maxSpeedClass]++
		sum += classWeight(s.orderClass)
	}
	selected := func(score float64) float64 {
		n := 0.0
		for i, count := range counts {
			n -= count * math.Expm1(-classWeights[i]/score)
		}
		return n
	}
	// A server of weight w has at least a score x with probability 1-exp(-w/x) < w/x.
	low, high := 0.0, sum/wanted
	for range scoreSteps {
		middle := (low + high) / 2
		if selected(middle) > wanted {
			low = middle
		} else {
			high = middle
		}
	}
	if low == 0 {
		return least
	}
	for i, weight := range classWeights {
		least[i] = uint64(math.Exp(-weight/low)*(1<<53)) << 11
	}
	return least
}

// scoreSteps is the number of bisections for a score, which is then exact to a millionth.
const scoreSteps = 20

func computeOrder(servers []*server, prefix uint64) []*server {
	type rankedServer struct {
		*server
		rank orderRank
	}
	least := minHashes(servers)
	all := make([]rankedServer, 0, min(len(servers), 2*maxOrderLen))
	for _, s := range servers {
		hash := rendezvous.WeightHashed(prefix, s.Name)
		if hash >= least[s.orderClass+maxSpeedClass] {
			all = append(all, rankedServer{s, orderRank{classWeight(s.orderClass) / -math.Log(uniform(hash)), hash}})
		}
	}
	slices.SortFunc(all, func(a, b rankedServer) int { return b.rank.compare(a.rank) })
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
