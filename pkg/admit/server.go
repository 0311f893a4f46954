package admit

import (
	"github.com/yarrowmast/yarrowmast/pkg/table"
)

// server is a backend server as this router knows it.
type server struct {
	table.Backend
	// running is how many requests this router has under way there.
	running int
}

// open reports whether new work may go there.
func (s *server) open() bool { return s.Mark == table.Serving }

// View replaces the table and the directory.
type View struct{ Table *table.Table }

func (e View) apply(c *Core) {
	old := c.servers
	c.servers = make(map[string]*server, len(e.Table.Backends))
	c.services = map[string][]*server{}
	for _, b := range e.Table.Backends {
		s, ok := old[b.Name]
		if !ok {
			s = &server{}
		}
		s.Backend = b
		c.servers[b.Name] = s
		for _, m := range b.Models {
			c.services[m] = append(c.services[m], s)
		}
	}
}
