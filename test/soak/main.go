// Command soak injects random faults into router processes on loopback, and checks the fleet's
// guarantees against what callers and workers observe.
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
	r := Run{Binary: "bin/yarrowmast", Seed: uint64(time.Now().UnixNano() % 1e9), Duration: 12 * time.Second, Routers: defaultRouters}
	seeds := 1
	var only []string
	verbose := false
	p := flaggy.NewParser("soak")
	p.Description = "injects random faults into router processes on loopback"
	p.String(&r.Binary, "b", "binary", "path of the router binary")
	p.UInt64(&r.Seed, "s", "seed", "the first seed; derived from the time if not given")
	p.Int(&seeds, "n", "seeds", "number of seeds to run in sequence")
	p.Int(&r.Routers, "r", "routers", "number of routers, 2 at least")
	p.Duration(&r.Duration, "l", "length", "how long faults are injected; with 0s accounts compete, and nothing else happens")
	p.String(&r.Plant, "p", "plant", "violate a guarantee on purpose: twice, refused-but-ran, mixed, revoked-key, leaving, recover, copy, refused-while-idle, versions, unresumed, foreign-event, barred, unfinished, share, cut-by-stop")
	p.StringSlice(&only, "o", "only", "inject faults of this name only; may be repeated")
	p.Bool(&r.FaultsOnly, "f", "faults-only", "end after the faults: no accounts compete, and routers are not stopped in series")
	p.Bool(&r.Steady, "t", "steady", "no account floods while others compete")
	p.Bool(&verbose, "v", "verbose", "print each fault")
	if err := p.ParseArgs(args); err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		return command.ExitUsage
	}
	for _, name := range only {
		r.Only = append(r.Only, Fault(name))
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
		if rep.print(); len(rep.Violations) > 0 {
			failed++
		}
		r.Seed++
	}
	fmt.Printf("%d seeds, %d with violations\n", seeds, failed)
	if failed > 0 {
		return command.ExitFailed
	}
	return command.ExitOK
}

func (r *Report) print() {
	fmt.Printf("seed %d: %d faults, %d requests:", r.Seed, r.Faults, r.Requests)
	for _, status := range slices.Sorted(maps.Keys(r.ByStatus)) {
		fmt.Printf(" %d of %d", r.ByStatus[status], status)
	}
	fmt.Printf("; %d of %d connections forwarded; during planned stops %d answered, %d refused, %d closed while idle, %d overran, %d cut; %d answers with garbage; out of step %d streams of the new version, taken up %d times, %d went on, %d refused, %d broken; %d violations\n",
		r.Forwarded, r.Offered, r.Stops.Answered, r.Stops.Refused, r.Stops.InTransit, r.Stops.Overran, r.Stops.Cut, r.Garbled,
		r.OutOfStep.Others, r.OutOfStep.TakenUp, r.OutOfStep.WentOn, r.OutOfStep.Refused, r.OutOfStep.Off, len(r.Violations))
	for _, v := range r.Violations[:min(len(r.Violations), 10)] {
		fmt.Println("  ", v)
	}
	if len(r.Violations) == 0 {
		return
	}
	byRule := map[string]int{}
	for _, v := range r.Violations {
		byRule[v.Rule]++
	}
	fmt.Println("   by rule:", byRule)
	fmt.Println("   logs:", r.Logs)
}
