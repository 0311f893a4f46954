package admit_test

import (
	"testing"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/admit"
	"github.com/yarrowmast/yarrowmast/pkg/table"
)

// newNonOwner returns a router with one engine, whose owner never replies.
func newNonOwner(t *testing.T) *admit.Core {
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
	t.Fatal("this router owns all of the engines")
	return nil
}

// outcome returns how the router decided a request by a time.
func outcome(c *admit.Core, from, until time.Duration, id uint64) (started bool, refused *admit.Refuse) {
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

// submit adds a request that waits for up to 50 ms.
func submit(c *admit.Core, now time.Duration, id uint64) {
	c.Step(now, admit.Arrive{Request: admit.Request{
		ID: id, Service: service, Prompt: 5000, Output: 50, Target: 250 * time.Millisecond, MaxWait: 50 * time.Millisecond, Deadline: now + 10*time.Second,
	}})
}

// TestLaggingRouterWaitsForReply: a router with a processing lag must neither refuse a
// request nor admit it locally while the owner's reply may be waiting to be processed.
func TestLaggingRouterWaitsForReply(t *testing.T) {
	for name, tc := range map[string]struct {
		lag  time.Duration
		want bool
	}{"no lag": {0, true}, "lagging": {30 * time.Millisecond, false}} {
		t.Run(name, func(t *testing.T) {
			c := newNonOwner(t)
			now := 3 * time.Second
			c.Step(now, admit.ProcessingLag{Lag: tc.lag})
			submit(c, now, 1)
			started, refused := outcome(c, now, now+90*time.Millisecond, 1)
			if started != tc.want || refused != nil {
				t.Errorf("after 90 ms: admitted locally %v, want %v; refused %v", started, tc.want, refused)
			}
			if started, _ = outcome(c, now+90*time.Millisecond, now+120*time.Millisecond, 1); !tc.want && !started {
				t.Error("not admitted locally after 120 ms")
			}
		})
	}
}

// TestBusyRetryDelay: retry delays of requests without a slot must be 60 to 120 ms, and random.
func TestBusyRetryDelay(t *testing.T) {
	c := newNonOwner(t)
	now := 3 * time.Second
	submit(c, now, 1)
	if started, _ := outcome(c, now, now+60*time.Millisecond, 1); !started {
		t.Fatal("the first request was not started")
	}
	least, most := time.Hour, time.Duration(0)
	for id := uint64(2); id < 32; id++ {
		now += 200 * time.Millisecond
		submit(c, now, id)
		_, refused := outcome(c, now, now+100*time.Millisecond, id)
		if refused == nil || refused.Err.Code != "busy" {
			t.Fatalf("request %d: %+v, want a refusal with code busy", id, refused)
		}
		least, most = min(least, refused.Err.RetryAfter), max(most, refused.Err.RetryAfter)
	}
	if least < 60*time.Millisecond || most > 120*time.Millisecond || most-least < 30*time.Millisecond {
		t.Errorf("retry delays from %v to %v", least, most)
	}
}
