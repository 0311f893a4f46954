package dispatch

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/yarrowmast/yarrowmast/internal/platform"
)

// InstanceLister is a Source that also publishes the list of routers.
type InstanceLister interface {
	// Instances waits a limited time for a list after a revision; ok is false if there was
	// none.
	Instances(ctx context.Context, after uint64) (list platform.Instances, ok bool, err error)
}

// listInterval is the shortest interval between two reads of the list. A random part of up to
// the same length is added.
const listInterval = 100 * time.Millisecond

// watchInstances follows the platform's list of routers, which gives the seeds and the homes of
// idempotency keys.
func (d *Dispatcher) watchInstances(l InstanceLister) {
	wait := newBackoff()
	for after := uint64(0); d.ctx.Err() == nil; {
		list, ok, err := l.Instances(d.ctx, after)
		switch {
		case err != nil:
			d.recordReadFailure("instances", err)
			d.sleep(wait.NextBackOff())
			continue
		case ok && list.Revision > after:
			wait.Reset()
			after = list.Revision
			d.post(instancesEvent{list})
		}
		d.sleep(listInterval + rand.N(listInterval))
	}
}

type instancesEvent struct{ platform.Instances }

func (e instancesEvent) apply(s *state) {
	var addresses []string
	for _, i := range e.Instances.Instances {
		if i.State == platform.Live {
			addresses = append(addresses, i.Address)
		}
	}
	s.roster.SetSeeds(addresses)
	s.keys.setRouters(s.now, s.d.id.Zone, e.Instances.Instances)
}
