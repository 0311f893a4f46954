// Command drive plays one case of the second review: it starts routers as separate processes
// before stand-ins of the platform's store, workers and clients, lets the disruption strike, and
// judges what clients and workers saw.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitNotPlay = 2
)

// play is what a case needs to run.
type play struct {
	binary, dir string
	// trouble says whether the disruption strikes.
	trouble bool
	record  *record

	mu        sync.Mutex
	processes []*os.Process
}

// longest bounds a play, whatever happens in it.
const longest = 100 * time.Second

// started notes a process that must not outlive the play.
func (p *play) started(process *os.Process) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.processes = append(p.processes, process)
}

// guard ends all processes and the play if it is told to stop, or takes too long.
func (p *play) guard() {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-stop:
	case <-time.After(longest):
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, process := range p.processes {
		_ = process.Kill()
	}
	_ = os.RemoveAll(p.dir)
	os.Exit(exitNotPlay)
}

// cases are the cases by name. Each returns whether the rule held.
var cases = map[string]func(*play) (bool, error){
	"owners":   playOwners,
	"again":    playAgain,
	"budget":   playBudget,
	"joined":   playJoined,
	"versions": playVersions,
}

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "name of the case")
	binary := flag.String("router", "", "program of the router")
	out := flag.String("record", "", "file for what was seen")
	trouble := flag.Bool("trouble", true, "whether the disruption strikes")
	flag.Parse()
	playCase, ok := cases[*name]
	if !ok {
		fmt.Fprintf(os.Stderr, "drive: no case %q\n", *name)
		return exitNotPlay
	}
	dir, err := os.MkdirTemp("", "review-second-")
	if err != nil {
		fmt.Fprintln(os.Stderr, "drive:", err)
		return exitNotPlay
	}
	defer func() { _ = os.RemoveAll(dir) }()
	rec, err := newRecord(*out)
	if err != nil {
		fmt.Fprintln(os.Stderr, "drive:", err)
		return exitNotPlay
	}
	defer rec.close()
	p := &play{binary: *binary, dir: dir, trouble: *trouble, record: rec}
	go p.guard()
	held, err := playCase(p)
	switch {
	case err != nil:
		rec.say("not played: %v", err)
		fmt.Fprintln(os.Stderr, "drive:", err)
		return exitNotPlay
	case !held:
		rec.say("verdict: the rule was broken")
		return exitBroken
	default:
		rec.say("verdict: the rule held")
		return exitHeld
	}
}
