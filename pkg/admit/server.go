package admit

import (
	"slices"

	"github.com/yarrowmast/yarrowmast/pkg/table"
)

// use is what is under way at a backend server.
type use struct {
	// running is how many requests were sent there and have not ended.
	running int
	// unread is the tokens of their prompts that are still to be read: of
	// those whose first event has not come.
	unread int64
}

func (u *use) add(v use) {
	u.running += v.running
	u.unread += v.unread
}

func (u *use) subtract(v use) {
	u.running -= v.running
	u.unread -= v.unread
}

// server is a backend server as this router knows it.
type server struct {
	table.Backend
	// own is what this router has under way there, others what the other
	// routers last told.
	own, others use
	health      health
	// known are the prompts' beginnings that this router sent there.
	known recent
}

// open reports whether new work may go there.
func (s *server) open() bool { return s.Mark == table.Serving }

func (s *server) running() int { return s.own.running + s.others.running }

func (s *server) unread() int64 { return max(0, s.own.unread+s.others.unread) }

// service is the backend servers of a service or model, and what waits for
// them here.
type service struct {
	name    string
	servers []*server
	// queue is what waits, in no order.
	queue []*request
	// line predicts the time to the first event.
	line line
	// engine says that answers are generated.
	engine bool
}

// View replaces the table and the directory.
type View struct{ Table *table.Table }

func (e View) apply(c *Core) {
	old := c.servers
	c.servers = make(map[string]*server, len(e.Table.Backends))
	for _, s := range c.services {
		s.servers = s.servers[:0]
	}
	for _, b := range e.Table.Backends {
		s, ok := old[b.Name]
		if !ok {
			s = &server{others: c.usedByPeers(b.Name)}
		}
		s.Backend = b
		c.servers[b.Name] = s
		for _, m := range b.Models {
			sv := c.service(m)
			sv.servers = append(sv.servers, s)
		}
	}
	for _, row := range e.Table.Services {
		c.service(row.Name).engine = row.Engine
	}
	for name, s := range c.services {
		if len(s.servers) == 0 && len(s.queue) == 0 {
			delete(c.services, name)
		}
	}
	c.accounts.capacity = e.Table.Bounds.TokensPerSecond
	for _, s := range c.services {
		c.serveWaiting(s)
	}
}

func (c *Core) service(name string) *service {
	s, ok := c.services[name]
	if !ok {
		s = &service{name: name, line: newLine()}
		c.services[name] = s
	}
	return s
}

// openServers returns the backend servers that may get the request.
func (s *service) openServers(r *request) []*server {
	open := make([]*server, 0, len(s.servers))
	for _, sv := range s.servers {
		if sv.open() {
			open = append(open, sv)
		}
	}
	return without(open, r)
}

// without leaves out the backend servers that failed the request, unless no
// other is left.
func without(open []*server, r *request) []*server {
	if len(r.Avoid) == 0 {
		return open
	}
	var others []*server
	for _, sv := range open {
		if !slices.Contains(r.Avoid, sv.Name) {
			others = append(others, sv)
		}
	}
	if len(others) == 0 {
		return open
	}
	return others
}
