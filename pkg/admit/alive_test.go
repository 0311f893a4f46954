package admit_test

import (
	"testing"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/admit"
	"github.com/yarrowmast/yarrowmast/pkg/table"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// TestAnswersThatShowThatAServerLives tells a router that a server ended under a request, and
// has that server answer another one: that takes the end back only if the server must have
// lived on.
func TestAnswersThatShowThatAServerLives(t *testing.T) {
	const ms = time.Millisecond
	tests := map[string]struct {
		// sent, ended and answered are when; pause is a time before the answer during which
		// the router stood still.
		sent, ended, answered, pause time.Duration
		// late is how much later than the answer the router is told of the end.
		late time.Duration
		want int
		// unique says that names of starts are.
		unique bool
	}{
		"sent before and answered after": {0, 2000 * ms, 4000 * ms, 0, 0, 0, false},
		"the same, told later":           {0, 2000 * ms, 4000 * ms, 0, 2000 * ms, 0, false},
		"sent after":                     {3000 * ms, 2000 * ms, 5000 * ms, 0, 0, 1, false},
		"sent after, to a unique start":  {3000 * ms, 2000 * ms, 5000 * ms, 0, 0, 0, true},
		"answered before":                {0, 2000 * ms, 1500 * ms, 0, 0, 1, false},
		"answered a moment after":        {0, 2000 * ms, 2200 * ms, 0, 0, 1, false},
		"sent a moment before":           {1900 * ms, 2000 * ms, 4000 * ms, 0, 0, 1, false},
		"heard after a pause":            {0, 2000 * ms, 6000 * ms, 5000 * ms, 0, 1, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			b := table.Backend{Name: "s", Zone: "a", Models: []string{service}, Slots: 8, Mark: table.Serving}
			var opts []admit.Option
			if tc.unique {
				opts = append(opts, admit.WithUniqueIncarnations())
			}
			c := admit.New(admit.Router{Address: "r", Zone: "a"}, opts...)
			now := time.Hour
			start := now
			key := wire.HashName(b.Incarnation().String())
			c.Step(now, admit.TableUpdate{Table: &table.Table{Revision: 1, Backends: []table.Backend{b}}})
			steps := map[time.Duration]func(){
				tc.sent: func() {
					c.Step(now, admit.Arrive{Request: admit.Request{ID: 1, Service: service, Deadline: now + time.Minute}})
				},
				tc.answered: func() { c.Step(now, admit.AttemptEnd{ID: 1, Result: admit.Answered}) },
			}
			for at := time.Duration(0); at < 8*time.Second; at += 10 * ms {
				now = start + at
				if do, ok := steps[at]; ok {
					do()
				}
				if at >= tc.answered || at < tc.answered-tc.pause {
					c.Step(now, admit.Tick{})
				}
				if at == max(tc.ended, tc.answered)+tc.late-10*ms {
					ago := (at - tc.ended).Milliseconds()
					c.Step(now, admit.Message{From: "other", Msg: &wire.SuspectUpdate{Crashes: []wire.SuspectCrash{{Digest: 7, Server: key, AgoMillis: max(0, ago)}}}})
				}
			}
			if got := c.SuspectCount(); got != tc.want {
				t.Errorf("%d requests are remembered, want %d", got, tc.want)
			}
		})
	}
}
