package hold

import (
	"testing"
	"time"
)

func TestPickByPrefix(t *testing.T) {
	ask := func(id uint64, prefix uint32, turn time.Duration) *request {
		return &request{Arrive: Arrive{ID: id, Prefix: prefix}, turn: turn}
	}
	p := newPrefixes(true)
	p.put(7, "s1")
	p.put(8, "s2")
	tests := map[string]struct {
		q    queue
		want uint64
	}{
		"the first is held there":        {queue{ask(1, 7, 0), ask(2, 7, 0)}, 1},
		"a later one is held there":      {queue{ask(1, 8, 0), ask(2, 7, 0)}, 2},
		"one that no server holds":       {queue{ask(1, 8, 0), ask(2, 9, 0)}, 2},
		"nothing better than the first":  {queue{ask(1, 8, 0), ask(2, 8, 0)}, 1},
		"a short prompt is not skipped":  {queue{ask(1, 0, 0), ask(2, 7, 0)}, 1},
		"one that came much later waits": {queue{ask(1, 8, 0), ask(2, 7, time.Second)}, 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			if got := p.pick(tc.q, "s1").ID; got != tc.want {
				t.Errorf("request %d, want %d", got, tc.want)
			}
		})
	}
}
