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

// fleetModel runs the tasks' states of many routers on one simulated clock, with a
// network between them. Nothing in it waits for real time.
type fleetModel struct {
	now     time.Duration
	routers map[string]*modelRouter
	// order are the routers' addresses.
	order []string
	// under way are the messages by when they arrive, in the order of sending.
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
	modelStep = 2 * time.Millisecond
	modelLink = 2 * time.Millisecond
)

// Send implements Transport.
func (r *modelRouter) SetIncarnation(uint64) {}

func (r *modelRouter) Send(to string, msg any) {
	at := r.model.now + modelLink
	r.model.underWay[at] = append(r.model.underWay[at], modelMessage{r.address, to, msg})
	r.model.messages++
}

func (r *modelRouter) Inbox() <-chan peer.Inbound { return nil }
func (r *modelRouter) Losses() <-chan peer.Loss   { return nil }

// newFleetModel starts routers in three zones, of which the first three are seeds, that
// know the table and ten backend servers each.
func newFleetModel(routers int, within time.Duration) *fleetModel {
	f := &fleetModel{now: clockStart, routers: map[string]*modelRouter{}, underWay: map[time.Duration][]modelMessage{}}
	news := catalog.Update{AsOf: 5, Table: &table.Table{Revision: 1}}
	for i := range 10 * routers {
		news.Servers = append(news.Servers, catalog.Server{Revision: 2, Backend: table.Backend{
			Name: fmt.Sprintf("i-%d", i), Zone: fmt.Sprint("z", i%3), Models: []string{"reader"}, Slots: 8, Mark: table.Serving,
		}})
	}
	address := func(i int) string { return fmt.Sprintf("10.0.%d.%d:7", i/200, i%200) }
	for i := range routers {
		r := &modelRouter{model: f, address: address(i)}
		id := Identity{Name: fmt.Sprint("r-", i), Address: r.address, Zone: fmt.Sprint("z", i%3), Incarnation: uint64(i + 1), Capacity: 0.2}
		d := New(id, noSource{}, r, WithSeeds([]string{address(0), address(1), address(2)}), WithApplyWithin(within), WithLogger(slog.New(slog.DiscardHandler)))
		r.state = newState(d)
		r.state.now = f.now
		heard{Update: news}.apply(r.state)
		f.routers[r.address] = r
		f.order = append(f.order, r.address)
	}
	return f
}

// run lets time pass, and calls each before every step.
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
			if f.now%tickEvery == 0 {
				r.tellOthers()
			}
		}
	}
}

func (f *fleetModel) deliver(m modelMessage) {
	from, to := f.routers[m.from], f.routers[m.to]
	to.now = f.now
	inbound{peer.Inbound{From: m.from, Name: from.d.id.Name, Zone: from.d.id.Zone, Incarnation: from.d.id.Incarnation, Msg: m.msg}}.apply(to.state)
}

// reader returns the router whose turn it is to read the platform.
func (f *fleetModel) reader() *modelRouter {
	i := slices.IndexFunc(f.order, func(address string) bool { return f.routers[address].d.shared.turn.Load() == 0 })
	return f.routers[f.order[i]]
}

// TestFewReadThePlatform has the first reader of a fleet make sure at its intervals that
// it knows the newest: all others hear of that before it is their turn to read. With
// tellings alone, and what is heard counted from the last message the other way, routers
// of a fleet of 99 went without for up to 1.65 s, and 28 times it was their turn.
func TestFewReadThePlatform(t *testing.T) {
	const within = 3 * time.Second
	for _, routers := range []int{10, 31, 99} {
		t.Run(fmt.Sprint(routers), func(t *testing.T) {
			f := newFleetModel(routers, within)
			f.run(clockStart+4*time.Second, func() {})
			read, late, worst := time.Duration(0), 0, time.Duration(0)
			f.run(clockStart+12*time.Second, func() {
				r := f.reader()
				if r.d.verifyDue(f.now) <= 0 {
					read++
					r.d.verifiedAt(f.now)
					r.now = f.now
					verifiedHere{}.apply(r.state)
				}
				if f.now < clockStart+7*time.Second || f.now%tickEvery != 0 {
					return
				}
				for _, address := range f.order {
					x := f.routers[address]
					worst = max(worst, f.now-time.Duration(x.d.shared.verified.Load()))
					if x != r && x.d.verifyDue(f.now) <= 0 {
						late++
					}
				}
			})
			if late > 0 {
				t.Errorf("%d times another router would have read the platform too; longest without knowing %v", late, worst)
			}
			if read == 0 || read > 20 {
				t.Errorf("the reader read %d times in 8 s", read)
			}
			t.Logf("longest without knowing %v, %d messages", worst, f.messages)
		})
	}
}

var _ Transport = (*modelRouter)(nil)
