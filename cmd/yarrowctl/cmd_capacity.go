package main

import (
	"fmt"

	"github.com/integrii/flaggy"
	"go.yaml.in/yaml/v4"

	"github.com/yarrowmast/yarrowmast/internal/capacity"
	"github.com/yarrowmast/yarrowmast/internal/command"
)

var capacityArgs struct {
	slopes  string
	measure bool
	open    float64
}

var cmdCapacity = &command.Command{
	Name:        "capacity",
	Description: "estimates the resources that each role needs at the target size from measured slopes",
	Flags: func(s *flaggy.Subcommand) {
		capacityArgs.slopes = "docs/slopes.yaml"
		s.String(&capacityArgs.slopes, "f", "slopes", "slopes file")
		s.Float64(&capacityArgs.open, "w", "open-memory", "with --measure: memory of an open request in bytes, from make bench")
		s.Bool(&capacityArgs.measure, "m", "measure", "measure the slopes on this machine and print them")
	},
	Run: runCapacity,
}

func runCapacity(c *command.Context) error {
	if capacityArgs.measure {
		slopes := capacity.Measure()
		slopes.OpenMemory = capacityArgs.open
		data, err := yaml.Marshal(slopes)
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(c.Out, "%s", data)
		return err
	}
	s, err := capacity.Load(capacityArgs.slopes)
	if err != nil {
		return err
	}
	return capacity.PrintTable(c.Out, capacity.DesignTarget(), s)
}
