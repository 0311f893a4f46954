package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
)

const (
	// smallProcessors is the capacity in the settings of a router that is overloaded by its share of the
	// traffic, and forwards connections to others.
	smallProcessors = 0.02
	// noRouter is the index of no router.
	noRouter = -1
	// forwardedLine is in the log lines of forwarded connections, answerForwarded also in those of connections
	// that another router answered.
	forwardedLine   = " msg=request_forwarded "
	answerForwarded = " outcome=ended "
)

// drawSmallRouter returns the index of the router that has little processor capacity, in half of the runs, and
// noRouter in the others.
func drawSmallRouter(seed uint64, routers int) int {
	rng := rand.New(rand.NewPCG(seed, smallRouterStream))
	if rng.IntN(2) == 0 {
		return noRouter
	}
	return rng.IntN(routers)
}

// machineSettings returns the line of a router's settings on its machine, "" for none.
func (r *router) machineSettings() string {
	if !r.small {
		return ""
	}
	return fmt.Sprintf("machine: {processors: %g}\n", smallProcessors)
}

// countForwarded counts the connections in the routers' logs that were to be forwarded, and those of them that
// another router answered.
func countForwarded(logPattern string) (offered, answered int, err error) {
	files, err := filepath.Glob(logPattern)
	if err != nil {
		return 0, 0, fmt.Errorf("soak: list logs: %w", err)
	}
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			return 0, 0, fmt.Errorf("soak: read log: %w", err)
		}
		for line := range bytes.Lines(data) {
			if !bytes.Contains(line, []byte(forwardedLine)) {
				continue
			}
			offered++
			if bytes.Contains(line, []byte(answerForwarded)) {
				answered++
			}
		}
	}
	return offered, answered, nil
}
