package router

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/yarrowmast/yarrowmast/pkg/table"
)

// defaultSeed makes every run draw the same sessions; -rapid.seed draws others.
const defaultSeed = "20261202"

func init() {
	if err := flag.Set("rapid.seed", defaultSeed); err != nil {
		panic(err)
	}
}

// randomSession draws a session with two zones of three routers each and with
// overlapping faults.
func randomSession(t *rapid.T) *session {
	s := &session{
		Zones: map[string]int{"a": 3, "b": 3},
		Until: 20 * time.Second,
		Accounts: []table.Account{
			{Name: "moka", Weight: 1}, {Name: "savanne", Weight: 2},
		},
	}
	for _, z := range []string{"a", "b"} {
		for i := range 2 {
			s.Servers = append(s.Servers, table.Backend{
				Name: fmt.Sprintf("%s-form-%d", z, i), Zone: z, Address: "127.0.0.1:1", Kind: table.Engine,
				Models: []string{"form"}, Slots: 2, Mark: table.Serving,
			})
		}
	}
	n := rapid.IntRange(5, 25).Draw(t, "steps")
	at := 2 * time.Second
	for i := range n {
		at += time.Duration(rapid.IntRange(0, 900).Draw(t, "gap")) * time.Millisecond
		s.Steps = append(s.Steps, randomSteps(t, at, i)...)
	}
	return s
}

func randomSteps(t *rapid.T, at time.Duration, i int) []sessionStep {
	router := rapid.SampledFrom([]string{"a-0", "a-1", "a-2", "b-0", "b-1", "b-2"}).Draw(t, "router")
	end := at + time.Duration(rapid.IntRange(200, 5000).Draw(t, "lasts"))*time.Millisecond
	server := rapid.SampledFrom([]string{"a-form-0", "b-form-1"}).Draw(t, "server")
	switch rapid.SampledFrom([]string{"request", "request", "request", "keyed", "cut", "pause", "restart", "mark", "edit", "stale"}).Draw(t, "kind") {
	case "keyed":
		key := rapid.SampledFrom([]string{"k1", "k2"}).Draw(t, "key")
		return []sessionStep{{At: at, Do: "request", On: router, Who: "moka", Model: "form", Tokens: 40, Key: key}}
	case "cut":
		where := rapid.SampledFrom([]string{"a", "b", router, "platform"}).Draw(t, "where")
		return []sessionStep{{At: at, Do: "cut", On: where}, {At: end, Do: "join", On: where}}
	case "pause":
		return []sessionStep{{At: at, Do: "pause", On: router}, {At: end, Do: "wake", On: router}}
	case "restart":
		return []sessionStep{{At: at, Do: "stop", On: router}, {At: end, Do: "start", On: router}}
	case "mark":
		mark := rapid.SampledFrom([]table.Mark{table.Leaving, table.Stopping}).Draw(t, "mark")
		return []sessionStep{{At: at, Do: "mark", On: server, Mark: mark}, {At: end, Do: "mark", On: server, Mark: table.Serving}}
	case "edit":
		return []sessionStep{{At: at, Do: "edit"}}
	case "stale":
		return []sessionStep{{At: at, Do: "stale"}, {At: end, Do: "fresh"}}
	default:
		return []sessionStep{{
			At: at, Do: "request", On: router, Who: rapid.SampledFrom([]string{"moka", "savanne"}).Draw(t, "who"), Model: "form",
			Tokens: int64(rapid.IntRange(10, 300).Draw(t, "tokens")), Count: rapid.IntRange(1, 12).Draw(t, "count"),
		}}
	}
}

// TestRandomSessions guards against violated invariants under random faults. A
// failure prints the seed and a minimized session.
func TestRandomSessions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := randomSession(t)
		w := s.play()
		if len(w.violations) > 0 {
			t.Fatalf("%s\n%s", w.violations[0], w.summary())
		}
	})
}
