package dispatch

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/yarrowmast/yarrowmast/internal/platform"
)

// InstanceLister is a Source that also publishes the list of routers.
type InstanceLister interface {
	// Instances waits for a list after a revision, for a while at most; ok is false if there
	// was none.
	Instances(ctx context.Context, after uint64) (list platform.Instances, ok bool, err error)
}

// listPause is the shortest time between two readings of the list, drawn up to twice that.
const listPause = 100 * time.Millisecond

// watchInstances is the task that follows the platform's list of routers: it names whom to
// try first, and which routers are homes of keys.
func (d *Dispatcher) watchInstances(l InstanceLister) {
	wait := newBackoff()
	for after := uint64(0); d.ctx.Err() == nil; {
		list, ok, err := l.Instances(d.ctx, after)
		switch {
		case err != nil:
			d.readFailed("instances", err)
			d.pause(wait.NextBackOff())
			continue
		case ok && list.Revision > after:
			wait.Reset()
			after = list.Revision
			d.post(listed{list})
		}
		d.pause(listPause + rand.N(listPause))
	}
}

type listed struct{ platform.Instances }

func (e listed) apply(s *state) {
	var addresses []string
	for _, i := range e.Instances.Instances {
		if i.State == platform.Live {
			addresses = append(addresses, i.Address)
		}
	}
	s.roster.SetSeeds(addresses)
	s.keys.setList(s.now, s.d.id.Zone, e.Instances.Instances)
}
