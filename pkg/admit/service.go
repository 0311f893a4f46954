package admit

import (
	"maps"
	"slices"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/enginemodel"
)

// service is a service or model with its backend servers.
type service struct {
	name    string
	servers []*server
	// byZone counts the servers of each zone.
	byZone map[string]int
	// software counts the servers by what they run, softwareChanged says that it may have changed
	// since the last report.
	software        softwareUses
	softwareChanged bool
	// limited caches the servers in each limited set.
	limited map[candidateSet][]*server
	// orders caches prefixOrder. orderKeys are its keys, the oldest first.
	orders    map[orderKey][]*server
	orderKeys []orderKey
	// median is the median failure rate of the servers as of medianAt.
	median   float64
	medianAt time.Duration
	// failed are the servers that have a failure rate.
	failed map[*server]bool
	// model is what the performance models of its engines have in common, average that of a new engine.
	model   *enginemodel.Service
	average *enginemodel.Engine
	// copies predicts how long its engines copy prefixes.
	copies enginemodel.Copies
	// shortestTarget is the shortest target of recent requests.
	shortestTarget windowMin
	// engine says that the servers are engines, which generate responses token by token.
	engine bool
	// cacheTokens is the memory of each engine, 0 if the table does not state it.
	cacheTokens int64
	sizes       prefixSizes
	recorded    recordedPrefixes
	backlogs    backlogs
	// meanClass is the mean speed class that owners stated.
	meanClass int8
	// plainResponse is the shortest response time that owners of plain servers stated recently.
	plainResponse windowMin
}

func (c *Core) service(name string) *service {
	s, ok := c.services[name]
	if !ok {
		model := enginemodel.NewService()
		s = &service{name: name, model: model, average: enginemodel.NewEngine(model), byZone: map[string]int{}, software: softwareUses{}, failed: map[*server]bool{}}
		c.services[name] = s
	}
	return s
}

// reset empties the lists of servers.
func (svc *service) reset(now time.Duration) {
	svc.software.reset(now)
	svc.softwareChanged = true
	svc.servers, svc.byZone = nil, map[string]int{}
	maps.DeleteFunc(svc.failed, func(s *server, _ bool) bool { return !s.isListed })
	svc.forgetOrders()
}

// append adds a server after all others.
func (svc *service) append(s *server) {
	svc.servers = append(svc.servers, s)
	svc.count(s)
}

// count adds a server to the counts by zone and by software.
func (svc *service) count(s *server) {
	svc.byZone[s.Zone]++
	svc.software.add(s.Software())
	svc.softwareChanged = true
}

// insert adds a server to the list, which is sorted by name, and to the cached orders.
func (svc *service) insert(s *server) {
	at, _ := slices.BinarySearchFunc(svc.servers, s, compareNames)
	svc.servers = slices.Insert(svc.servers, at, s)
	svc.count(s)
	svc.updateOrders(func(prefix uint64, order []*server) []*server {
		isComplete := len(order) == len(svc.servers)-1
		return insertIntoOrder(prefix, order, isComplete, s)
	})
}

// remove removes a server from the list and from the cached orders.
func (svc *service) remove(s *server, now time.Duration) {
	at := slices.Index(svc.servers, s)
	if at < 0 {
		return
	}
	svc.servers = slices.Delete(svc.servers, at, at+1)
	svc.byZone[s.Zone]--
	svc.software.remove(s.Software(), now)
	svc.softwareChanged = true
	delete(svc.failed, s)
	svc.updateOrders(func(prefix uint64, order []*server) []*server { return removeFromOrder(prefix, order, s) })
}
