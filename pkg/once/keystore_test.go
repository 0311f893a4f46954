package once_test

import (
	"testing"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/once"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// TestKeyStoreLimits guards against keys kept beyond the maximum number or the
// retention, and against grants for keys that may predate a pause.
func TestKeyStoreLimits(t *testing.T) {
	const start = 1_700_000_000 * time.Second
	now := start + time.Minute
	store := once.New("a", start, once.WithMaxKeys(2), once.WithRetention(10*time.Second))
	store.SetRouters(start, []string{"a", "b", "c"})
	claim := func(key, request string) wire.ClaimState {
		return store.Claim(now, &wire.Claim{Key: key, Request: request, At: now.Milliseconds()}).State
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
		store.Tick(now)
		if got := claim(s.key, s.request); got != s.want {
			t.Errorf("step %d: state %d, want %d", i, got, s.want)
		}
	}
	store.RecordPause(now)
	if got := claim("k4", "r4"); got != wire.ClaimUnknown {
		t.Errorf("after a pause: state %d", got)
	}
}

// TestClaimQuorum guards against a claim granted without a majority.
func TestClaimQuorum(t *testing.T) {
	tests := map[string]struct {
		answers []wire.ClaimState
		want    wire.ClaimState
		final   bool
	}{
		"majority grants":           {[]wire.ClaimState{wire.ClaimGranted, wire.ClaimGranted}, wire.ClaimGranted, true},
		"one reply":                 {[]wire.ClaimState{wire.ClaimGranted}, wire.ClaimUnreachable, false},
		"one knows the key as used": {[]wire.ClaimState{wire.ClaimGranted, wire.ClaimTaken}, wire.ClaimTaken, true},
		"majority unknown":          {[]wire.ClaimState{wire.ClaimGranted, wire.ClaimUnknown, wire.ClaimUnknown}, wire.ClaimUnknown, true},
		"third reply missing":       {[]wire.ClaimState{wire.ClaimGranted, wire.ClaimUnknown}, wire.ClaimUnknown, false},
		"no home":                   {[]wire.ClaimState{wire.ClaimNotHome, wire.ClaimNotHome, wire.ClaimFull}, wire.ClaimUnreachable, true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			quorum := once.NewClaimQuorum(once.HomesPerKey)
			for i, s := range tc.answers {
				quorum.Add(string(rune('a'+i)), s)
			}
			if got, final := quorum.Result(); got != tc.want || final != tc.final {
				t.Errorf("state %d, final %v; want %d, %v", got, final, tc.want, tc.final)
			}
		})
	}
}
