package main

import (
	"errors"
	"fmt"
	"strings"

	"github.com/integrii/flaggy"

	"github.com/yarrowmast/yarrowmast/internal/command"
	"github.com/yarrowmast/yarrowmast/internal/measure"
)

var measureArgs struct {
	file   string
	policy string
	seed   uint64
}

var cmdMeasure = &command.Command{
	Name:        "measure",
	Description: "runs a scenario on real routers with simulated backend servers and prints the results",
	Flags: func(s *flaggy.Subcommand) {
		s.String(&measureArgs.file, "f", "file", "scenario file")
		s.String(&measureArgs.policy, "p", "policy", "run only this policy")
		s.UInt64(&measureArgs.seed, "", "seed", "overrides the seed of the scenario")
	},
	Run: runMeasure,
}

var errNoScenario = errors.New("no scenario; use --file FILE, such as examples/scenarios/ramdin.yaml")

func runMeasure(c *command.Context) error {
	if measureArgs.file == "" {
		return errNoScenario
	}
	s, err := measure.Load(measureArgs.file)
	if err != nil {
		return err
	}
	if measureArgs.policy != "" {
		if err := measure.CheckPolicy(measureArgs.policy); err != nil {
			return err
		}
		s.Policies = []string{measureArgs.policy}
	}
	if measureArgs.seed != 0 {
		s.Seed = measureArgs.seed
	}
	return runScenario(c, s)
}

// runScenario runs every policy of a scenario. It returns command.ErrFailed if a run with
// yarrowmast routers violates a guarantee.
func runScenario(c *command.Context, s *measure.Scenario) error {
	failed := false
	for _, policy := range s.Policies {
		_, _ = fmt.Fprintf(c.Err, "%s, policy %s, seed %d, %s\n", s.Name, policy, s.Seed, s.Duration)
		r, err := measure.Run(s, policy, func(line string) { _, _ = fmt.Fprintln(c.Err, "  "+line) })
		if err != nil {
			return err
		}
		r.PrintTable(c.Err)
		if err := r.PrintJSON(c.Out); err != nil {
			return err
		}
		if broken := r.Violations(); len(broken) > 0 && strings.HasPrefix(policy, measure.PolicyFleet) {
			_, _ = fmt.Fprintf(c.Err, "broken: %s\n", strings.Join(broken, ", "))
			failed = true
		}
	}
	if failed {
		return command.ErrFailed
	}
	return nil
}
