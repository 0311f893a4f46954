package hold

import (
	"testing"
	"time"
)

// TestPickByPrefix guards against a choice that ignores a cached prefix or lets
// the first request wait too long.
func TestPickByPrefix(t *testing.T) {
	newRequest := func(id uint64, prefix uint32, sortTime time.Duration) *request {
		return &request{Arrive: Arrive{ID: id, Prefix: prefix}, sortTime: sortTime}
	}
	p := newPrefixAffinity(true)
	p.put(7, "s1")
	p.put(8, "s2")
	tests := map[string]struct {
		q    queue
		want uint64
	}{
		"server has the first prefix":    {queue{newRequest(1, 7, 0), newRequest(2, 7, 0)}, 1},
		"server has a later prefix":      {queue{newRequest(1, 8, 0), newRequest(2, 7, 0)}, 2},
		"no server has a later prefix":   {queue{newRequest(1, 8, 0), newRequest(2, 9, 0)}, 2},
		"other server has both prefixes": {queue{newRequest(1, 8, 0), newRequest(2, 8, 0)}, 1},
		"first has no prefix":            {queue{newRequest(1, 0, 0), newRequest(2, 7, 0)}, 1},
		"match arrived much later":       {queue{newRequest(1, 8, 0), newRequest(2, 7, time.Second)}, 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			if got := p.pick(tc.q, "s1").ID; got != tc.want {
				t.Errorf("request %d, want %d", got, tc.want)
			}
		})
	}
}
