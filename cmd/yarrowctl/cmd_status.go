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

// fleetArgs are the flags of the commands that query routers.
type fleetArgs struct {
	admin    []string
	platform string
	json     bool
	tls      config.TLS
}

func (a *fleetArgs) flags(s *flaggy.Subcommand) {
	s.StringSlice(&a.admin, "a", "admin", "admin address of a router, IP address and port; may be repeated")
	s.String(&a.platform, "p", "platform", "platform address; queries all routers that the platform lists")
	s.Bool(&a.json, "j", "json", "print JSON")
	s.String(&a.tls.CA, "", "ca", "CA file for the routers' admin certificates; enables TLS")
	s.String(&a.tls.Cert, "", "cert", "client certificate file, if routers require one")
	s.String(&a.tls.Key, "", "key", "key file of the client certificate")
}

// connect returns a client and the routers to query with it.
func (a *fleetArgs) connect() (*fleet.Client, []fleet.Router, error) {
	routers, err := a.routers()
	if err != nil || a.tls == (config.TLS{}) {
		return fleet.New(nil), routers, err
	}
	c, err := tlsconf.NewClient(a.tls)
	return fleet.New(c), routers, err
}

var errNoRouters = errors.New("no routers; use --platform ADDRESS or --admin ADDRESS")

// routers returns the routers to query. Routers given with --admin are named by address.
func (a *fleetArgs) routers() ([]fleet.Router, error) {
	if a.platform != "" {
		return fleet.ListRouters(a.platform)
	}
	if len(a.admin) == 0 {
		return nil, errNoRouters
	}
	var all []fleet.Router
	for _, address := range a.admin {
		all = append(all, fleet.Router{Name: address, Admin: address})
	}
	return all, nil
}

var statusArgs fleetArgs

var cmdStatus = &command.Command{
	Name:        "status",
	Description: "shows every router: active table, owned pools or backend servers, closed zones, waiting and running requests",
	Flags:       statusArgs.flags,
	Run:         runStatus,
}

func runStatus(c *command.Context) error {
	client, routers, err := statusArgs.connect()
	if err != nil {
		return err
	}
	responses := fleet.Query[*statusRow](client, routers, admin.PathStatus)
	if statusArgs.json {
		return json.NewEncoder(c.Out).Encode(responses)
	}
	t := tabwriter.NewWriter(c.Out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, statusHeader)
	for _, resp := range responses {
		if resp.Error != "" {
			_, _ = fmt.Fprintf(t, "%s\t?\t?\t?\t?\t?\t?\t?\t?\t?\t?\t?\tno answer: %s\n", resp.Router.Name, resp.Error)
			continue
		}
		_, _ = fmt.Fprintln(t, resp.Value.columns())
	}
	if err := t.Flush(); err != nil {
		return err
	}
	return errIfUnreachable(responses)
}

// errIfUnreachable returns command.ErrFailed if a router did not respond.
func errIfUnreachable[V any](responses []fleet.Response[V]) error {
	for _, resp := range responses {
		if resp.Error != "" {
			return command.ErrFailed
		}
	}
	return nil
}
