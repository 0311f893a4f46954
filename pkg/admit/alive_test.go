package admit_test

import (
	"testing"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/admit"
	"github.com/yarrowmast/yarrowmast/pkg/table"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// TestResponseDisprovesCrash: a response must remove a reported crash only if the backend
// server must have been alive at that time.
func TestResponseDisprovesCrash(t *testing.T) {
	const ms = time.Millisecond
	tests := map[string]struct {
		// pause is the length of a pause of the router that ends with the response.
		sentAt, crashedAt, answeredAt, pause time.Duration
		// reportDelay is the time from the response until the crash is reported.
		reportDelay time.Duration
		want        int
		// unique says that each incarnation has its own name.
		unique bool
	}{
		"sent before, response after":                       {0, 2000 * ms, 4000 * ms, 0, 0, 0, false},
		"sent before, response after, crash reported later": {0, 2000 * ms, 4000 * ms, 0, 2000 * ms, 0, false},
		"sent after":                      {3000 * ms, 2000 * ms, 5000 * ms, 0, 0, 1, false},
		"sent after, unique incarnations": {3000 * ms, 2000 * ms, 5000 * ms, 0, 0, 0, true},
		"response before":                 {0, 2000 * ms, 1500 * ms, 0, 0, 1, false},
		"response just after":             {0, 2000 * ms, 2200 * ms, 0, 0, 1, false},
		"sent just before":                {1900 * ms, 2000 * ms, 4000 * ms, 0, 0, 1, false},
		"response after a pause":          {0, 2000 * ms, 6000 * ms, 5000 * ms, 0, 1, false},
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
				tc.sentAt: func() {
					c.Step(now, admit.Arrive{Request: admit.Request{ID: 1, Service: service, Deadline: now + time.Minute}})
				},
				tc.answeredAt: func() { c.Step(now, admit.AttemptEnd{ID: 1, Result: admit.Succeeded}) },
			}
			for at := time.Duration(0); at < 8*time.Second; at += 10 * ms {
				now = start + at
				if do, ok := steps[at]; ok {
					do()
				}
				if at >= tc.answeredAt || at < tc.answeredAt-tc.pause {
					c.Step(now, admit.Tick{})
				}
				if at == max(tc.crashedAt, tc.answeredAt)+tc.reportDelay-10*ms {
					ago := (at - tc.crashedAt).Milliseconds()
					c.Step(now, admit.Message{From: "other", Msg: &wire.SuspectUpdate{Crashes: []wire.SuspectCrash{{Digest: 7, Server: key, AgoMillis: max(0, ago)}}}})
				}
			}
			if got := c.SuspectCount(); got != tc.want {
				t.Errorf("%d requests have recorded crashes, want %d", got, tc.want)
			}
		})
	}
}
