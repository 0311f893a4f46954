// Command play plays a case of this review: it starts routers as separate processes beside
// stand-ins, and exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/yarrowmast/yarrowmast/review/platform/stage"
)

// cases are the cases by name. Each returns the exit code.
var cases = map[string]func(s *stage.Stage) (int, error){
	"cold":     playCold,
	"extra":    playExtra,
	"memory":   playMemory,
	"parts":    playParts,
	"versions": playVersions,
	"seeds":    playSeeds,
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "play: usage: play CASE ROOT FOLDER")
		os.Exit(stage.CouldNot)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

func run(name, root, folder string) int {
	play, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "play: there is no case", name)
		return stage.CouldNot
	}
	s, err := stage.New(root, folder, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "play:", err)
		return stage.CouldNot
	}
	defer s.Close()
	go endOnSignal(s)
	code, err := play(s)
	if err != nil {
		fmt.Fprintln(os.Stderr, "play:", err)
		s.Note("could not run: %v", err)
		return stage.CouldNot
	}
	return code
}

// endOnSignal ends all processes when the play itself is told to stop.
func endOnSignal(s *stage.Stage) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	<-signals
	s.Close()
	os.Exit(stage.CouldNot)
}
