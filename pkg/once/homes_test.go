package once_test

import (
	"testing"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/once"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

func TestHomesRememberWithinBounds(t *testing.T) {
	const start = 1_700_000_000 * time.Second
	now := start + time.Minute
	h := once.New("a", start, once.WithMost(2), once.WithKeep(10*time.Second))
	h.SetRouters(start, []string{"a", "b", "c"})
	claim := func(key, request string) wire.ClaimState {
		return h.Claim(now, &wire.Claim{Key: key, Request: request, At: now.Milliseconds()}).State
	}
	steps := []struct {
		key, request string
		later        time.Duration
		want         wire.ClaimState
	}{
		{"k1", "r1", 0, wire.ClaimGranted},
		{"k1", "r1", 0, wire.ClaimGranted},
		{"k1", "r2", 0, wire.ClaimTaken},
		{"k2", "r2", 0, wire.ClaimGranted},
		{"k3", "r3", 0, wire.ClaimFull},
		{"k3", "r3", 11 * time.Second, wire.ClaimGranted},
	}
	for i, s := range steps {
		now += s.later
		h.Tick(now)
		if got := claim(s.key, s.request); got != s.want {
			t.Errorf("step %d: state %d, want %d", i, got, s.want)
		}
	}
	h.Woke(now)
	if got := claim("k4", "r4"); got != wire.ClaimUnknown {
		t.Errorf("after a pause: state %d", got)
	}
}

func TestBallot(t *testing.T) {
	tests := map[string]struct {
		answers []wire.ClaimState
		want    wire.ClaimState
		final   bool
	}{
		"a majority vouches": {[]wire.ClaimState{wire.ClaimGranted, wire.ClaimGranted}, wire.ClaimGranted, true},
		"one is not enough":  {[]wire.ClaimState{wire.ClaimGranted}, wire.ClaimUnreachable, false},
		"one saw it used":    {[]wire.ClaimState{wire.ClaimGranted, wire.ClaimTaken}, wire.ClaimTaken, true},
		"too few know":       {[]wire.ClaimState{wire.ClaimGranted, wire.ClaimUnknown, wire.ClaimUnknown}, wire.ClaimUnknown, true},
		"the third may know": {[]wire.ClaimState{wire.ClaimGranted, wire.ClaimUnknown}, wire.ClaimUnknown, false},
		"none is a home":     {[]wire.ClaimState{wire.ClaimNotHome, wire.ClaimNotHome, wire.ClaimFull}, wire.ClaimUnreachable, true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			b := once.NewBallot(once.HomesEach)
			for i, s := range tc.answers {
				b.Add(string(rune('a'+i)), s)
			}
			if got, final := b.Result(); got != tc.want || final != tc.final {
				t.Errorf("state %d, final %v; want %d, %v", got, final, tc.want, tc.final)
			}
		})
	}
}
