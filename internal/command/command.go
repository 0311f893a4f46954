// Package command is what the subcommands of yarrowctl share: their table,
// their context and their exit codes.
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
	// ExitFailed means that the command ran and what it looked at is bad.
	ExitFailed = 1
	// ExitUsage means that the command could not run as it was given.
	ExitUsage = 2
)

// ErrFailed is returned by an action that has already said what is bad.
var ErrFailed = errors.New("failed")

// Context is what an action is given.
type Context struct {
	Out io.Writer
	Err io.Writer
	// Terminal says that Out is a terminal, where colours may be used.
	Terminal bool
}

// Command is one subcommand.
type Command struct {
	Name        string
	Description string
	// Flags adds the command's flags and arguments.
	Flags func(*flaggy.Subcommand)
	// Run does the work. An error ends the program with ExitUsage, or with
	// ExitFailed if it is ErrFailed.
	Run func(*Context) error
}

// Run parses args, runs the command they name and returns the exit code.
func Run(program, description string, commands []*Command, args []string, c *Context) int {
	p := flaggy.NewParser(program)
	p.Description = description
	p.Version = Version
	subs := make([]*flaggy.Subcommand, len(commands))
	for i, cmd := range commands {
		subs[i] = flaggy.NewSubcommand(cmd.Name)
		subs[i].Description = cmd.Description
		if cmd.Flags != nil {
			cmd.Flags(subs[i])
		}
		p.AttachSubcommand(subs[i], 1)
	}
	if err := p.ParseArgs(args); err != nil {
		_, _ = fmt.Fprintf(c.Err, "%s: %v; see %s --help\n", program, err, program)
		return ExitUsage
	}
	for i, cmd := range commands {
		if subs[i].Used {
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
