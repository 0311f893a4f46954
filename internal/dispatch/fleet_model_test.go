package dispatch

import (
	"fmt"
	"log/slog"
	"slices"
	"testing"
	"time"

	"github.com/yarrowmast/yarrowmast/internal/peer"
	"github.com/yarrowmast/yarrowmast/pkg/catalog"
	"github.com/yarrowmast/yarrowmast/pkg/table"
)

// fleetModel runs many routers on a simulated clock and network.
type fleetModel struct {
	now     time.Duration
	routers map[string]*modelRouter
	// order holds the routers' addresses.
	order []string
	// underWay holds the messages in flight by arrival time, in sending order.
	underWay map[time.Duration][]modelMessage
	messages int
}

type modelRouter struct {
	*state
	model   *fleetModel
	address string
}

type modelMessage struct {
	from, to string
	msg      any
}

const (
	modelStep      = 2 * time.Millisecond
	modelLinkDelay = 2 * time.Millisecond
)

func (r *modelRouter) SetIncarnation(uint64) {}

func (r *modelRouter) Send(to string, msg any) {
	at := r.model.now + modelLinkDelay
	r.model.underWay[at] = append(r.model.underWay[at], modelMessage{r.address, to, msg})
	r.model.messages++
}

func (r *modelRouter) Inbox() <-chan peer.Inbound { return nil }
func (r *modelRouter) Losses() <-chan peer.Loss   { return nil }

// newFleetModel starts routers in three zones that know the table and ten backend servers per
// router. The first three routers are seeds.
func newFleetModel(routers int, within time.Duration) *fleetModel {
	f := &fleetModel{now: clockStart, routers: map[string]*modelRouter{}, underWay: map[time.Duration][]modelMessage{}}
	update := catalog.Update{AsOf: 5, Table: &table.Table{Revision: 1}}
	for i := range 10 * routers {
		update.Servers = append(update.Servers, catalog.Server{Revision: 2, Backend: table.Backend{
			Name: fmt.Sprintf("i-%d", i), Zone: fmt.Sprint("z", i%3), Models: []string{"reader"}, Slots: 8, Mark: table.Serving,
		}})
	}
	address := func(i int) string { return fmt.Sprintf("10.0.%d.%d:7", i/200, i%200) }
	for i := range routers {
		r := &modelRouter{model: f, address: address(i)}
		id := Identity{Name: fmt.Sprint("r-", i), Address: r.address, Zone: fmt.Sprint("z", i%3), Incarnation: uint64(i + 1), Capacity: 0.2}
		d := New(id, emptySource{}, r, WithSeeds([]string{address(0), address(1), address(2)}), WithApplyWithin(within), WithLogger(slog.New(slog.DiscardHandler)))
		r.state = newState(d)
		r.state.now = f.now
		updateEvent{Update: update}.apply(r.state)
		f.routers[r.address] = r
		f.order = append(f.order, r.address)
	}
	return f
}

// run advances the clock and calls each before every step.
func (f *fleetModel) run(until time.Duration, each func()) {
	for ; f.now < until; f.now += modelStep {
		each()
		for _, m := range f.underWay[f.now] {
			f.deliver(m)
		}
		delete(f.underWay, f.now)
		for _, address := range f.order {
			r := f.routers[address]
			r.now = f.now
			if f.now%tickInterval == 0 {
				r.sendReports()
			}
		}
	}
}

func (f *fleetModel) deliver(m modelMessage) {
	from, to := f.routers[m.from], f.routers[m.to]
	to.now = f.now
	messageEvent{peer.Inbound{From: m.from, Name: from.d.id.Name, Zone: from.d.id.Zone, Incarnation: from.d.id.Incarnation, Msg: m.msg}}.apply(to.state)
}

// reader returns the router of reader rank 0.
func (f *fleetModel) reader() *modelRouter {
	i := slices.IndexFunc(f.order, func(address string) bool { return f.routers[address].d.shared.readerRank.Load() == 0 })
	return f.routers[f.order[i]]
}

// TestOnlyFirstReaderReadsPlatform guards against platform reads by more than the first reader
// of a quiet fleet: its verification must reach all others before their own is due.
func TestOnlyFirstReaderReadsPlatform(t *testing.T) {
	const within = 3 * time.Second
	for _, routers := range []int{10, 31, 99} {
		t.Run(fmt.Sprint(routers), func(t *testing.T) {
			f := newFleetModel(routers, within)
			f.run(clockStart+4*time.Second, func() {})
			reads, extraReads, worst := time.Duration(0), 0, time.Duration(0)
			f.run(clockStart+12*time.Second, func() {
				r := f.reader()
				if r.d.verifyDue(f.now) <= 0 {
					reads++
					r.d.recordVerified(f.now)
					r.now = f.now
					verifiedEvent{}.apply(r.state)
				}
				if f.now < clockStart+7*time.Second || f.now%tickInterval != 0 {
					return
				}
				for _, address := range f.order {
					x := f.routers[address]
					worst = max(worst, f.now-time.Duration(x.d.shared.lastVerified.Load()))
					if x != r && x.d.verifyDue(f.now) <= 0 {
						extraReads++
					}
				}
			})
			if extraReads > 0 {
				t.Errorf("%d extra platform reads by other routers; longest time without verification %v", extraReads, worst)
			}
			if reads == 0 || reads > 20 {
				t.Errorf("the reader read the platform %d times in 8 s", reads)
			}
			t.Logf("longest time without verification %v, %d messages", worst, f.messages)
		})
	}
}

var _ Transport = (*modelRouter)(nil)
