package main

import (
	"os"
	"path/filepath"
	"testing"
)

// TestDrawSmallRouter checks that part of the seeds have a router with little capacity, always the same one.
func TestDrawSmallRouter(t *testing.T) {
	const seeds = 200
	drawn := map[int]int{}
	for seed := range uint64(seeds) {
		small := drawSmallRouter(seed, defaultRouters)
		if again := drawSmallRouter(seed, defaultRouters); again != small {
			t.Errorf("seed %d draws router %d, then %d", seed, small, again)
		}
		drawn[small]++
	}
	for i := range defaultRouters {
		if drawn[i] == 0 {
			t.Errorf("router %d is never drawn", i)
		}
	}
	if drawn[noRouter] < seeds/4 || drawn[noRouter] > seeds*3/4 || len(drawn) != defaultRouters+1 {
		t.Errorf("drawn %v", drawn)
	}
}

// TestCountForwarded checks which log lines count as forwarded connections.
func TestCountForwarded(t *testing.T) {
	const line = "time=2026-01-02T03:04:05.678Z level=INFO msg=request_forwarded router=r-1 request=x account=moka to=127.0.0.1:1 remote=false outcome="
	tests := map[string]struct {
		log               string
		offered, answered int
	}{
		"empty":           {},
		"answered":        {log: line + "ended reason=last messages=1\n", offered: 1, answered: 1},
		"refused":         {log: line + "not-taken reason=\n", offered: 1},
		"lost":            {log: line + "unknown reason=connection-lost messages=0\n", offered: 1},
		"two":             {log: line + "ended reason=\n" + line + "not-taken reason=\n", offered: 2, answered: 1},
		"cut by a kill":   {log: line + "ended reason=\n" + line, offered: 2, answered: 1},
		"another outcome": {log: "level=INFO msg=request_end request=x outcome=ended reason=\n"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			if err := os.WriteFile(filepath.Join(dir, "r-1.log"), []byte(tc.log), 0o600); err != nil {
				t.Fatal(err)
			}
			offered, answered, err := countForwarded(filepath.Join(dir, "r-*.log"))
			if err != nil || offered != tc.offered || answered != tc.answered {
				t.Errorf("%d of %d forwarded, want %d of %d (%v)", answered, offered, tc.answered, tc.offered, err)
			}
		})
	}
}
