package router

import (
	"github.com/yarrowmast/yarrowmast/pkg/hold"
	"github.com/yarrowmast/yarrowmast/pkg/member"
)

type drain struct{ done chan<- struct{} }

func (e drain) apply(c *core) {
	defer close(e.done)
	if c.draining {
		return
	}
	c.draining = true
	c.r.opt.log.Info("router_draining")
	// Hand over the pools before returning leases: an owner here would grant
	// them again.
	c.sendAll(c.members.Step(c.now, member.Leave{}))
	c.settleMembers()
	c.runHolder(hold.Drain{})
}
