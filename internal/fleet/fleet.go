// Package fleet asks the admin listeners of all routers at once, for the
// operators' command. Who does not answer is named, never left out.
package fleet

import (
	"context"
	"crypto/tls"
	"fmt"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/dghubble/sling"

	"github.com/yarrowmast/yarrowmast/internal/platform"
)

// askTimeout bounds the wait for one router.
const askTimeout = 3 * time.Second

// atOnce bounds how many routers are asked at the same time.
const atOnce = 64

// Router is a router to ask.
type Router struct {
	Name  string `json:"name"`
	Zone  string `json:"zone,omitempty"`
	Admin string `json:"admin"`
}

// Response is one router's answer, or why there is none.
type Response[V any] struct {
	Router Router `json:"router"`
	Value  V      `json:"value"`
	// Error is "" if the router answered.
	Error string `json:"error,omitempty"`
}

// ListRouters returns the routers on the platform's list, by zone and name.
func ListRouters(address string) ([]Router, error) {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	list, _, err := platform.New(address).WatchInstances(ctx, 0)
	if err != nil {
		return nil, fmt.Errorf("fleet: list of routers: %w", err)
	}
	var all []Router
	for _, i := range list.Instances {
		all = append(all, Router{Name: i.Name, Zone: i.Zone, Admin: i.Admin})
	}
	sort.Slice(all, func(i, j int) bool {
		if all[i].Zone != all[j].Zone {
			return all[i].Zone < all[j].Zone
		}
		return all[i].Name < all[j].Name
	})
	return all, nil
}

// Client asks admin listeners.
type Client struct {
	http   *http.Client
	scheme string
}

// New returns a client that asks over TLS by the configuration, or without
// TLS if it is nil.
func New(c *tls.Config) *Client {
	if c == nil {
		return &Client{http: &http.Client{Timeout: askTimeout}, scheme: "http://"}
	}
	return &Client{http: &http.Client{Timeout: askTimeout, Transport: &http.Transport{TLSClientConfig: c}}, scheme: "https://"}
}

// Query gets a path of every router's admin listener, in the routers' order.
func Query[V any](c *Client, routers []Router, path string) []Response[V] {
	answers := make([]Response[V], len(routers))
	slots := make(chan struct{}, atOnce)
	var all sync.WaitGroup
	for i, r := range routers {
		all.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			answers[i] = askOne[V](c, r, path)
		})
	}
	all.Wait()
	return answers
}

func askOne[V any](c *Client, r Router, path string) Response[V] {
	a := Response[V]{Router: r}
	resp, err := sling.New().Client(c.http).Get(c.scheme + r.Admin + path).ReceiveSuccess(&a.Value)
	switch {
	case err != nil:
		a.Error = err.Error()
	case resp.StatusCode != http.StatusOK:
		a.Error = resp.Status
	}
	return a
}
