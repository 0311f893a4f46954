// Package platform reads what the platform publishes: named values with
// revisions, and the lagging list of instances. It never writes anything.
package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/dghubble/sling"
)

// Bounds of a read.
const (
	// MaxValueSize is the largest value the platform holds, in bytes.
	MaxValueSize = 1 << 20
	// WatchTimeout is how long a watch waits for news.
	WatchTimeout = 20 * time.Second
	// readTimeout is how much longer than it should a read may take.
	readTimeout = 3 * time.Second
	// RevisionHeader is the response header with a value's revision.
	RevisionHeader = "Revision"
)

// Value is one version of a named value.
type Value struct {
	// Revision only grows at the platform, but a stale read may be lower.
	Revision uint64
	Data     []byte
}

// Instance is one router on the platform's list.
type Instance struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
	// Address is where the router listens for peers.
	Address string `json:"address"`
	// Admin is where its admin interface listens.
	Admin string `json:"admin"`
	// State is live or leaving.
	State string `json:"state"`
}

// Live is the state of an instance that is not about to stop.
const Live = "live"

// Instances is one version of the list.
type Instances struct {
	Revision  uint64     `json:"revision"`
	Instances []Instance `json:"instances"`
}

// Client reads from the platform.
type Client struct {
	base  string
	http  *http.Client
	calls atomic.Int64
}

type options struct{ transport http.RoundTripper }

// Option changes a new Client.
type Option func(*options)

// WithTransport replaces the HTTP transport.
func WithTransport(t http.RoundTripper) Option {
	return func(o *options) { o.transport = t }
}

// New returns a client of the platform at an IP number and port.
func New(address string, opts ...Option) *Client {
	o := options{transport: http.DefaultTransport}
	for _, f := range opts {
		f(&o)
	}
	return &Client{base: "http://" + address + "/", http: &http.Client{Transport: o.transport}}
}

// Calls returns how many calls were made; a waiting watch counts as one.
func (c *Client) Calls() int64 { return c.calls.Load() }

type watchParams struct {
	After  uint64 `url:"after,omitempty"`
	WaitMS int64  `url:"wait_ms,omitempty"`
}

// Watch waits until the named value has a revision above after and returns
// it. ok is false if there was no news.
func (c *Client) Watch(ctx context.Context, name string, after uint64) (v Value, ok bool, err error) {
	data, rev, err := c.get(ctx, "v1/values/"+name, after, wait(after))
	if err != nil || data == nil {
		return Value{}, false, err
	}
	return Value{Revision: rev, Data: data}, true, nil
}

// GetIfNewer returns the named value if its revision is above after, and does not wait for news.
func (c *Client) GetIfNewer(ctx context.Context, name string, after uint64) (v Value, ok bool, err error) {
	data, rev, err := c.get(ctx, "v1/values/"+name, after, noWait(after))
	if err != nil || data == nil {
		return Value{}, false, err
	}
	return Value{Revision: rev, Data: data}, true, nil
}

// noWait is the shortest time that a read which names a revision may wait: without any the
// platform answers with the value as it is.
func noWait(after uint64) time.Duration {
	if after == 0 {
		return 0
	}
	return time.Millisecond
}

// WatchInstances is Watch for the list of instances.
func (c *Client) WatchInstances(ctx context.Context, after uint64) (list Instances, ok bool, err error) {
	data, rev, err := c.get(ctx, "v1/instances", after, wait(after))
	if err != nil || data == nil {
		return Instances{}, false, err
	}
	if err := json.Unmarshal(data, &list); err != nil {
		return Instances{}, false, fmt.Errorf("platform: instances: %w", err)
	}
	list.Revision = rev
	return list, true, nil
}

// wait is none for a first read, which is answered at once.
func wait(after uint64) time.Duration {
	if after == 0 {
		return 0
	}
	return WatchTimeout
}

func (c *Client) get(ctx context.Context, path string, after uint64, wait time.Duration) ([]byte, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+readTimeout)
	defer cancel()
	req, err := sling.New().Get(c.base + path).
		QueryStruct(&watchParams{After: after, WaitMS: wait.Milliseconds()}).Request()
	if err != nil {
		return nil, 0, fmt.Errorf("platform: request %s: %w", path, err)
	}
	c.calls.Add(1)
	resp, err := c.http.Do(req.WithContext(ctx))
	if err != nil {
		return nil, 0, fmt.Errorf("platform: read %s: %w", path, err)
	}
	defer func() { _ = resp.Body.Close() }()
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusNotModified:
		return nil, 0, nil
	default:
		return nil, 0, fmt.Errorf("platform: read %s: status %d", path, resp.StatusCode)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, MaxValueSize+1))
	if err != nil {
		return nil, 0, fmt.Errorf("platform: read %s: %w", path, err)
	}
	if len(data) > MaxValueSize {
		return nil, 0, fmt.Errorf("platform: read %s: value is over %d bytes", path, MaxValueSize)
	}
	rev, err := strconv.ParseUint(resp.Header.Get(RevisionHeader), 10, 64)
	if err != nil {
		return nil, 0, fmt.Errorf("platform: read %s: revision: %w", path, err)
	}
	return data, rev, nil
}
