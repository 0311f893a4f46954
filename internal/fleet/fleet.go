// Package fleet queries the admin API of all routers concurrently. The results include the routers
// that did not respond.
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

// queryTimeout limits one query.
const queryTimeout = 3 * time.Second

// maxConcurrent limits the concurrent queries.
const maxConcurrent = 64

// Router is a router to query.
type Router struct {
	Name  string `json:"name"`
	Zone  string `json:"zone,omitempty"`
	Admin string `json:"admin"`
}

// Response is the response of one router, or the error.
type Response[V any] struct {
	Router Router `json:"router"`
	Value  V      `json:"value"`
	// Error is "" if the router responded.
	Error string `json:"error,omitempty"`
}

// ListRouters returns the routers that the platform lists, sorted by zone and name.
func ListRouters(address string) ([]Router, error) {
	ctx, cancel := context.WithTimeout(context.Background(), queryTimeout)
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

// Client queries admin APIs.
type Client struct {
	http   *http.Client
	scheme string
}

// New returns a client that uses TLS, or plain HTTP if the configuration is nil.
func New(c *tls.Config) *Client {
	if c == nil {
		return &Client{http: &http.Client{Timeout: queryTimeout}, scheme: "http://"}
	}
	return &Client{http: &http.Client{Timeout: queryTimeout, Transport: &http.Transport{TLSClientConfig: c}}, scheme: "https://"}
}

// Query gets a path from all routers. The responses are in the order of the routers.
func Query[V any](c *Client, routers []Router, path string) []Response[V] {
	responses := make([]Response[V], len(routers))
	semaphore := make(chan struct{}, maxConcurrent)
	var all sync.WaitGroup
	for i, r := range routers {
		all.Go(func() {
			semaphore <- struct{}{}
			defer func() { <-semaphore }()
			responses[i] = queryOne[V](c, r, path)
		})
	}
	all.Wait()
	return responses
}

func queryOne[V any](c *Client, r Router, path string) Response[V] {
	response := Response[V]{Router: r}
	resp, err := sling.New().Client(c.http).Get(c.scheme + r.Admin + path).ReceiveSuccess(&response.Value)
	switch {
	case err != nil:
		response.Error = err.Error()
	case resp.StatusCode != http.StatusOK:
		response.Error = resp.Status
	}
	return response
}
