// Package command parses and runs the subcommands of yarrowctl and defines the exit codes.
package command

import (
	"errors"
	"fmt"
	"io"

	"github.com/integrii/flaggy"
)

// Version is the version of both programs.
const Version = "0.1.0"

// Exit codes of both programs.
const (
	ExitOK = 0
	// ExitFailed means that the command ran and found a problem.
	ExitFailed = 1
	// ExitUsage means that the command could not run, e.g. because of invalid arguments.
	ExitUsage = 2
)

// ErrFailed is returned by a command that has already printed the problem.
var ErrFailed = errors.New("failed")

// Context holds the output streams of a command.
type Context struct {
	Out io.Writer
	Err io.Writer
	// Terminal is set if Out is a terminal.
	Terminal bool
}

// Command is one subcommand.
type Command struct {
	Name        string
	Description string
	// Flags defines the flags and arguments. May be nil.
	Flags func(*flaggy.Subcommand)
	// Run executes the command. The exit code is ExitFailed for ErrFailed and ExitUsage for
	// any other error.
	Run func(*Context) error
}

// Run parses args, runs the subcommand and returns the exit code.
func Run(program, description string, commands []*Command, args []string, c *Context) int {
	p := flaggy.NewParser(program)
	p.Description = description
	p.Version = Version
	subcommands := make([]*flaggy.Subcommand, len(commands))
	for i, cmd := range commands {
		subcommands[i] = flaggy.NewSubcommand(cmd.Name)
		subcommands[i].Description = cmd.Description
		if cmd.Flags != nil {
			cmd.Flags(subcommands[i])
		}
		p.AttachSubcommand(subcommands[i], 1)
	}
	if err := p.ParseArgs(args); err != nil {
		_, _ = fmt.Fprintf(c.Err, "%s: %v; see %s --help\n", program, err, program)
		return ExitUsage
	}
	for i, cmd := range commands {
		if subcommands[i].Used {
			return exitCode(program, cmd, c)
		}
	}
	p.ShowHelp()
	return ExitUsage
}

func exitCode(program string, cmd *Command, c *Context) int {
	err := cmd.Run(c)
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, ErrFailed):
		return ExitFailed
	default:
		_, _ = fmt.Fprintf(c.Err, "%s %s: %v\n", program, cmd.Name, err)
		return ExitUsage
	}
}
