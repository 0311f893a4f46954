package admit_test

import (
	"testing"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/admit"
	"github.com/yarrowmast/yarrowmast/pkg/table"
)

// lone is a router whose one engine is owned by another one, which never replies.
func lone(t *testing.T) *admit.Core {
	t.Helper()
	c := admit.New(admit.Router{Address: "x-0", Zone: "x"}, admit.WithSeed(1))
	c.Step(time.Second, admit.Routers{List: []admit.Router{{Address: "x-1", Zone: "x"}, {Address: "x-2", Zone: "x"}}})
	v := &table.Table{Revision: 1, Services: []table.ServiceRow{{Name: service, Engine: true}}}
	for _, name := range []string{"a", "b", "c", "d"} {
		v.Backends = []table.Backend{{Name: name, Zone: "x", Address: name, Models: []string{service}, Slots: 1, Mark: table.Serving}}
		c.Step(time.Second, admit.TableUpdate{Table: v})
		if len(c.Owned()) == 0 {
			return c
		}
	}
	t.Fatal("this router owns each of the engines")
	return nil
}

// decided returns what the router decided of a request by a time.
func decided(c *admit.Core, from, until time.Duration, id uint64) (started bool, refused *admit.Refuse) {
	for now := from; now <= until; now += 5 * time.Millisecond {
		for _, a := range c.Step(now, admit.Tick{}) {
			switch a := a.(type) {
			case admit.Start:
				started = started || a.ID == id
			case admit.Refuse:
				if a.ID == id {
					refused = &a
				}
			}
		}
	}
	return started, refused
}

// arrive has a request arrive that waits for 50 ms.
func arrive(c *admit.Core, now time.Duration, id uint64) {
	c.Step(now, admit.Arrive{Request: admit.Request{
		ID: id, Service: service, Prompt: 5000, Output: 50, Target: 250 * time.Millisecond, MaxWait: 50 * time.Millisecond, Deadline: now + 10*time.Second,
	}})
}

// TestLateRouterWaitsForTheAnswer has a router that hears of everything 30 ms late ask
// an owner: it does not refuse the request, nor admit it alone, while the answer may
// only not have been read yet. In time, it admits it alone after 40 ms.
func TestLateRouterWaitsForTheAnswer(t *testing.T) {
	for name, tc := range map[string]struct {
		late time.Duration
		want bool
	}{"in time": {0, true}, "late": {30 * time.Millisecond, false}} {
		t.Run(name, func(t *testing.T) {
			c := lone(t)
			now := 3 * time.Second
			c.Step(now, admit.ProcessingDelay{Delay: tc.late})
			arrive(c, now, 1)
			started, refused := decided(c, now, now+90*time.Millisecond, 1)
			if started != tc.want || refused != nil {
				t.Errorf("after 90 ms: admitted alone %v, want %v; refused %v", started, tc.want, refused)
			}
			if started, _ = decided(c, now+90*time.Millisecond, now+120*time.Millisecond, 1); !tc.want && !started {
				t.Error("after 120 ms it is not admitted alone")
			}
		})
	}
}

// TestWhoFindsNoPlaceComesBackSoon has requests find the one slot taken: each may come
// back after 60 to 120 ms, and not all at the same time.
func TestWhoFindsNoPlaceComesBackSoon(t *testing.T) {
	c := lone(t)
	now := 3 * time.Second
	arrive(c, now, 1)
	if started, _ := decided(c, now, now+60*time.Millisecond, 1); !started {
		t.Fatal("the first request was not started")
	}
	least, most := time.Hour, time.Duration(0)
	for id := uint64(2); id < 32; id++ {
		now += 200 * time.Millisecond
		arrive(c, now, id)
		_, refused := decided(c, now, now+100*time.Millisecond, id)
		if refused == nil || refused.Err.Code != "busy" {
			t.Fatalf("request %d: %+v, want it refused as busy", id, refused)
		}
		least, most = min(least, refused.Err.RetryAfter), max(most, refused.Err.RetryAfter)
	}
	if least < 60*time.Millisecond || most > 120*time.Millisecond || most-least < 30*time.Millisecond {
		t.Errorf("they may come back after %v to %v", least, most)
	}
}
