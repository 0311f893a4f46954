package main

import (
	_ "embed"
	"fmt"

	"github.com/yarrowmast/yarrowmast/internal/command"
	"github.com/yarrowmast/yarrowmast/internal/measure"
	"github.com/yarrowmast/yarrowmast/platform/demo"
)

//go:embed demo.yaml
var demoScenario []byte

var cmdDemo = &command.Command{
	Name:        "demo",
	Description: "runs three availability zones in this process: census and quiz requests, a route, and a stream that resumes on another backend server",
	Run:         runDemo,
}

func runDemo(c *command.Context) error {
	s, err := measure.Parse("demo.yaml", demoScenario)
	if err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	if err := runScenario(c, s); err != nil {
		return err
	}
	return demo.Run(c.Out)
}
