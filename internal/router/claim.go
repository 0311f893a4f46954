package router

import (
	"context"
	"sort"

	"github.com/yarrowmast/yarrowmast/internal/front"
	"github.com/yarrowmast/yarrowmast/pkg/once"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// Claim implements front.Scheduler.
func (r *Router) Claim(ctx context.Context, cl front.Claim) error {
	reply := make(chan error, 1)
	if !r.post(claimKey{cl.Message(), reply}) {
		return errStopped
	}
	select {
	case err := <-reply:
		return err
	case <-ctx.Done():
		return ctx.Err()
	case <-r.ctx.Done():
		return errStopped
	}
}

// Unclaim implements front.Scheduler.
func (r *Router) Unclaim(cl front.Claim) {
	r.post(releaseKey{&wire.ClaimRelease{Key: cl.ScopedKey(), Request: cl.Request}})
}

type claimKey struct {
	msg   *wire.Claim
	reply chan<- error
}

func (e claimKey) apply(c *core) {
	c.claims.Start(c.now, e.msg, c.keyHomes(e.msg.Key), func(s wire.ClaimState) { e.reply <- front.ClaimError(s) })
}

type releaseKey struct{ msg *wire.ClaimRelease }

func (e releaseKey) apply(c *core) { c.claims.Release(c.keyHomes(e.msg.Key), e.msg) }

// keyHomes returns the homes of a key according to the platform's list.
func (c *core) keyHomes(key string) []string {
	return once.HomesOf(key, c.allListed(once.HomeZone(key, c.zones())))
}

// zones returns the availability zones on the platform's list.
func (c *core) zones() []string {
	seen := map[string]bool{c.r.id.Zone: true}
	zones := []string{c.r.id.Zone}
	for _, i := range c.instances {
		if !seen[i.Zone] {
			seen[i.Zone] = true
			zones = append(zones, i.Zone)
		}
	}
	sort.Strings(zones)
	return zones
}

func (c *core) receiveClaim(from string, msg any) {
	switch m := msg.(type) {
	case *wire.Claim:
		c.send(from, c.keys.Claim(c.now, m))
	case *wire.ClaimRelease:
		c.keys.Release(m)
	case *wire.ClaimReply:
		c.claims.HandleReply(from, m)
	}
}
