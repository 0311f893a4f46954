package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"text/tabwriter"

	"github.com/integrii/flaggy"

	"github.com/yarrowmast/yarrowmast/internal/admin"
	"github.com/yarrowmast/yarrowmast/internal/command"
	"github.com/yarrowmast/yarrowmast/internal/config"
	"github.com/yarrowmast/yarrowmast/internal/fleet"
	"github.com/yarrowmast/yarrowmast/internal/tlsconf"
)

// fleetArgs are the flags of every command that asks routers.
type fleetArgs struct {
	admin    []string
	platform string
	json     bool
	tls      config.TLS
}

func (a *fleetArgs) flags(s *flaggy.Subcommand) {
	s.StringSlice(&a.admin, "a", "admin", "admin address of a router, IP number and port; may be given several times")
	s.String(&a.platform, "p", "platform", "platform address, to find every router by its list")
	s.Bool(&a.json, "j", "json", "print JSON")
	s.String(&a.tls.CA, "", "ca", "authority of the routers' admin certificates; asks over TLS")
	s.String(&a.tls.Cert, "", "cert", "own certificate, where routers ask for one")
	s.String(&a.tls.Key, "", "key", "its key")
}

// reach returns the routers to ask and the client that asks them.
func (a *fleetArgs) reach() (*fleet.Client, []fleet.Router, error) {
	routers, err := a.routers()
	if err != nil || a.tls == (config.TLS{}) {
		return fleet.New(nil), routers, err
	}
	c, err := tlsconf.NewClient(a.tls)
	return fleet.New(c), routers, err
}

var errNoRouters = errors.New("no routers; give --platform ADDRESS or --admin ADDRESS")

// routers returns the admin addresses to ask, by router name.
func (a *fleetArgs) routers() ([]fleet.Router, error) {
	if a.platform != "" {
		return fleet.ListRouters(a.platform)
	}
	if len(a.admin) == 0 {
		return nil, errNoRouters
	}
	var all []fleet.Router
	for _, x := range a.admin {
		all = append(all, fleet.Router{Name: x, Admin: x})
	}
	return all, nil
}

var statusArgs fleetArgs

var cmdStatus = &command.Command{
	Name:        "status",
	Description: "shows every router: table in force, owned pools or backend servers, closed zones, waiting and running requests",
	Flags:       statusArgs.flags,
	Run:         runStatus,
}

func runStatus(c *command.Context) error {
	asker, routers, err := statusArgs.reach()
	if err != nil {
		return err
	}
	answers := fleet.Query[*statusRow](asker, routers, admin.PathStatus)
	if statusArgs.json {
		return json.NewEncoder(c.Out).Encode(answers)
	}
	t := tabwriter.NewWriter(c.Out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, statusHead)
	for _, a := range answers {
		if a.Error != "" {
			_, _ = fmt.Fprintf(t, "%s\t?\t?\t?\t?\t?\t?\t?\t?\t?\t?\t?\tno answer: %s\n", a.Router.Name, a.Error)
			continue
		}
		_, _ = fmt.Fprintln(t, a.Value.columns())
	}
	if err := t.Flush(); err != nil {
		return err
	}
	return failIfMissing(answers)
}

// failIfMissing fails a command that could not ask every router.
func failIfMissing[V any](answers []fleet.Response[V]) error {
	for _, a := range answers {
		if a.Error != "" {
			return command.ErrFailed
		}
	}
	return nil
}
