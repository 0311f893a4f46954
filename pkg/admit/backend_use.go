package admit

import (
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/table"
)

// BackendUse is the use of a backend server as one router knows it. It covers all incarnations of a name.
type BackendUse struct {
	// Mark is the mark in force at the router, leaving if its table does not list the backend server.
	Mark table.Mark `json:"mark"`
	// Running is the number of requests of the router in flight there, OldestMillis the age of the
	// oldest of them.
	Running      int   `json:"running"`
	OldestMillis int64 `json:"oldest_ms"`
	// Granted is the number of requests of all routers that hold a slot there, 0 if the router is not
	// the owner. It includes those that have not started yet.
	Granted int `json:"granted"`
}

// BackendUses returns the use of the backend servers that are leaving or stopping, and of those that
// have requests, by name.
func (c *Core) BackendUses(now time.Duration) map[string]BackendUse {
	uses := map[string]BackendUse{}
	for _, s := range c.sortedServers {
		if u := c.useOf(s, now); u.Running > 0 || u.Granted > 0 || s.Mark == table.Leaving || s.Mark == table.Stopping {
			uses[s.Name] = uses[s.Name].plus(&u)
		}
	}
	for name, u := range uses {
		u.Mark = c.markOf(name)
		uses[name] = u
	}
	return uses
}

// markOf returns the mark in force of a backend server. One that the table does not list is leaving.
func (c *Core) markOf(name string) table.Mark {
	if row, listed := c.table.Backend(name); listed {
		return row.Mark
	}
	return table.Leaving
}

func (c *Core) useOf(s *server, now time.Duration) BackendUse {
	u := BackendUse{Running: len(s.requests)}
	for _, r := range s.requests {
		u.OldestMillis = max(u.OldestMillis, (now - r.startedAt).Milliseconds())
	}
	if s.owned != nil && s.owner == c.opt.self.Address {
		u.Granted = s.owned.running
	}
	return u
}

// plus adds the use of another incarnation.
func (u BackendUse) plus(other *BackendUse) BackendUse {
	u.Running += other.Running
	u.OldestMillis = max(u.OldestMillis, other.OldestMillis)
	u.Granted += other.Granted
	return u
}
