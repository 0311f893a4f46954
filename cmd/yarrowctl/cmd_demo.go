package main

import (
	_ "embed"
	"fmt"

	"github.com/yarrowmast/yarrowmast/internal/command"
	"github.com/yarrowmast/yarrowmast/internal/measure"
)

//go:embed demo.yaml
var demoScenario []byte

var cmdDemo = &command.Command{
	Name:        "demo",
	Description: "starts three availability zones in this process and serves census and quiz requests",
	Run:         runDemo,
}

func runDemo(c *command.Context) error {
	s, err := measure.Parse("demo.yaml", demoScenario)
	if err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	return runScenario(c, s)
}
