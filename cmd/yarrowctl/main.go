// Command yarrowctl inspects a fleet of routers.
package main

import (
	"os"

	"github.com/yarrowmast/yarrowmast/internal/command"
)

// commands lists the subcommands in the order of the help text.
var commands = []*command.Command{
	cmdCheck,
	cmdDemo,
	cmdMeasure,
	cmdStatus,
	cmdTable,
	cmdDrain,
	cmdBurn,
	cmdCapacity,
	cmdExplain,
	cmdCounts,
	cmdParts,
	cmdCosts,
}

func main() {
	c := &command.Context{Out: os.Stdout, Err: os.Stderr, Terminal: isTerminal(os.Stdout)}
	os.Exit(command.Run("yarrowctl", "inspects and tests a yarrowmast fleet", commands, os.Args[1:], c))
}

func isTerminal(f *os.File) bool {
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}
