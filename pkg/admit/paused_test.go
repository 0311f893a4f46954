package admit_test

import (
	"testing"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/admit"
	"github.com/yarrowmast/yarrowmast/pkg/table"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// pausedHolder is a router that asked the owner of a backend server for a place and stood
// still before it heard the answer.
type pausedHolder struct {
	t    *testing.T
	core *admit.Core
	now  time.Duration
	key  wire.NameHash
}

const otherOwner = "o"

func newPausedHolder(t *testing.T) *pausedHolder {
	b := table.Backend{Name: "s", Zone: "a", Models: []string{service}, Slots: 8, Mark: table.Serving}
	h := &pausedHolder{t: t, core: admit.New(admit.Router{Address: "r", Zone: "a", Capacity: 1e-9}), now: time.Hour, key: wire.HashName(b.Incarnation().String())}
	h.step(admit.TableUpdate{Table: &table.Table{Revision: 1, Backends: []table.Backend{b}}})
	h.step(admit.Routers{List: []admit.Router{{Address: otherOwner, Zone: "a", Capacity: 1}}})
	if len(h.core.Owned()) > 0 {
		t.Fatal("it owns the backend server itself")
	}
	h.run(2 * time.Second)
	return h
}

// run lets time pass, with a step each 10 ms.
func (h *pausedHolder) run(d time.Duration) (all []admit.Action) {
	for end := h.now + d; h.now < end; h.now += tick {
		all = append(all, h.step(admit.Tick{})...)
	}
	return all
}

func (h *pausedHolder) step(ev admit.Event) []admit.Action {
	return append([]admit.Action(nil), h.core.Step(h.now, ev)...)
}

// ask has a request arrive and returns its id.
func (h *pausedHolder) ask(deadline time.Duration) uint64 {
	r := admit.Request{ID: 1, Service: service, Target: 400 * time.Millisecond, MaxWait: deadline, Deadline: h.now + deadline}
	asks := 0
	for _, a := range h.step(admit.Arrive{Request: r}) {
		if s, ok := a.(admit.Send); ok && s.To == otherOwner {
			asks++
		}
	}
	if asks != 1 {
		h.t.Fatalf("%d questions to the owner", asks)
	}
	return r.ID
}

func (h *pausedHolder) grant(id uint64) []admit.Action {
	return h.step(admit.Message{From: otherOwner, Msg: &wire.SlotReply{ID: id, Server: h.key, State: wire.SlotGranted}})
}

// has reports which of the actions there are.
func has(all []admit.Action) (starts, refuses bool, toOwner int) {
	for _, a := range all {
		switch a := a.(type) {
		case admit.Start:
			starts = true
		case admit.Refuse:
			refuses = true
		case admit.Send:
			if a.To == otherOwner {
				toOwner++
			}
		}
	}
	return starts, refuses, toOwner
}

// TestPlaceLapsesInAPause: a router that had asked for a place stood still for seconds, and
// used the place when it woke, though the owner had given it to another after three seconds
// without a word. More requests ran at the backend server than it has slots.
func TestPlaceLapsesInAPause(t *testing.T) {
	tests := map[string]struct {
		pause, deadline time.Duration
		starts, refuses bool
	}{
		"no pause":                     {0, time.Minute, true, false},
		"a short one":                  {300 * time.Millisecond, time.Minute, true, false},
		"as long as places are kept":   {4 * time.Second, time.Minute, false, false},
		"beyond the caller's deadline": {400 * time.Millisecond, 350 * time.Millisecond, false, true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			h := newPausedHolder(t)
			id := h.ask(tc.deadline)
			h.now += tc.pause
			starts, refuses, told := has(h.grant(id))
			if starts != tc.starts || refuses != tc.refuses {
				t.Errorf("it starts: %v, want %v; it is refused: %v, want %v", starts, tc.starts, refuses, tc.refuses)
			}
			if !tc.starts && told == 0 {
				t.Error("the owner does not hear that the place is not used")
			}
		})
	}
}

// TestOwnPauseIsNoSilenceOfTheOwner: a router that woke took the owner of a backend server for
// unresponsive, since 40 ms had passed by its clock, and sent its requests there on its own
// estimate, as all that wake together do; the owner's answers lay in its sockets.
func TestOwnPauseIsNoSilenceOfTheOwner(t *testing.T) {
	h := newPausedHolder(t)
	id := h.ask(time.Minute)
	h.now += 500 * time.Millisecond
	if starts, _, _ := has(h.run(30 * time.Millisecond)); starts {
		t.Error("it is sent without the owner's word")
	}
	if starts, _, _ := has(h.grant(id)); !starts {
		t.Error("the owner's word is not taken")
	}
	h = newPausedHolder(t)
	h.ask(time.Minute)
	h.now += 500 * time.Millisecond
	if starts, _, _ := has(h.run(200 * time.Millisecond)); !starts {
		t.Error("an owner that does not reply after the pause holds it up")
	}
}
