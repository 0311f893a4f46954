// Command yarrowmast runs a router.
package main

import (
	"fmt"
	"os"

	"github.com/integrii/flaggy"

	"github.com/yarrowmast/yarrowmast/internal/command"
	"github.com/yarrowmast/yarrowmast/internal/daemon"
	"github.com/yarrowmast/yarrowmast/internal/node"
	"github.com/yarrowmast/yarrowmast/platform"
)

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	file := ""
	p := flaggy.NewParser("yarrowmast")
	p.Description = "routes requests of client accounts to backend servers"
	p.Version = command.Version
	p.String(&file, "s", "settings", "settings file")
	if err := p.ParseArgs(args); err != nil || file == "" {
		fmt.Fprintln(os.Stderr, "yarrowmast: --settings FILE is required; see yarrowmast --help")
		return command.ExitUsage
	}
	d, err := daemon.New(file, os.Stdout, append(linkOptions(), node.WithPlatforms(platform.Platforms()))...)
	if err != nil {
		fmt.Fprintln(os.Stderr, "yarrowmast:", err)
		return command.ExitFailed
	}
	return d.Run()
}
