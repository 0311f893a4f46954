// Command soak plays randomized faults against real router processes on
// loopback, and checks the promises by what callers and workers see.
package main

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"time"

	"github.com/integrii/flaggy"

	"github.com/yarrowmast/yarrowmast/internal/command"
)

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	r := Run{Binary: "bin/yarrowmast", Seed: uint64(time.Now().UnixNano() % 1e9), Length: 12 * time.Second}
	seeds := 1
	verbose := false
	p := flaggy.NewParser("soak")
	p.Description = "plays randomized faults against real routers on loopback"
	p.String(&r.Binary, "b", "binary", "the router program")
	p.UInt64(&r.Seed, "s", "seed", "the first seed; drawn by the time where none is given")
	p.Int(&seeds, "n", "seeds", "how many seeds to play, one after the other")
	p.Duration(&r.Length, "l", "length", "for how long faults are drawn")
	p.String(&r.Plant, "p", "plant", "break a promise on purpose: twice, refused-but-ran, mixed, revoked-key, leaving, recover, copy")
	p.Bool(&verbose, "v", "verbose", "print each fault")
	if err := p.ParseArgs(args); err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		return command.ExitUsage
	}
	r.Log = func(format string, args ...any) {
		if verbose {
			fmt.Printf(format+"\n", args...)
		}
	}
	failed := 0
	for range seeds {
		rep, err := r.Play()
		if err != nil {
			fmt.Fprintf(os.Stderr, "soak: seed %d: %v\n", r.Seed, err)
			return command.ExitUsage
		}
		if rep.print(); len(rep.Breaches) > 0 {
			failed++
		}
		r.Seed++
	}
	fmt.Printf("%d seeds, %d with a promise broken\n", seeds, failed)
	if failed > 0 {
		return command.ExitFailed
	}
	return command.ExitOK
}

func (r *Report) print() {
	fmt.Printf("seed %d: %d faults, %d requests:", r.Seed, r.Faults, r.Requests)
	for _, status := range slices.Sorted(maps.Keys(r.By)) {
		fmt.Printf(" %d of %d", r.By[status], status)
	}
	fmt.Printf("; %d breaches\n", len(r.Breaches))
	for _, b := range r.Breaches[:min(len(r.Breaches), 10)] {
		fmt.Println("  ", b)
	}
	if len(r.Breaches) > 0 {
		fmt.Println("   logs:", r.Logs)
	}
}
