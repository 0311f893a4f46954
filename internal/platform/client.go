// Package platform is a read-only client of the platform: it reads named values with
// revisions and the list of instances, which may lag behind.
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

const (
	// MaxValueSize is the largest accepted size of a value in bytes.
	MaxValueSize = 1 << 20
	// WatchTimeout is how long a watch waits for a newer revision.
	WatchTimeout = 20 * time.Second
	// readTimeout bounds a request apart from the wait time of a watch.
	readTimeout = 3 * time.Second
	// RevisionHeader is the response header that holds the revision of a value.
	RevisionHeader = "Revision"
)

// Value is one version of a named value.
type Value struct {
	// Revision never decreases at the platform, but a stale read may return an older one.
	Revision uint64
	Data     []byte
}

// Instance is a router in the list of instances.
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

// Live is the state of an instance that is not shutting down.
const Live = "live"

// Instances is a revision of the list of instances.
type Instances struct {
	Revision  uint64     `json:"revision"`
	Instances []Instance `json:"instances"`
}

// Client reads from the platform over HTTP.
type Client struct {
	base  string
	http  *http.Client
	calls atomic.Int64
}

type options struct{ transport http.RoundTripper }

// Option configures a Client.
type Option func(*options)

// WithTransport replaces the HTTP transport.
func WithTransport(t http.RoundTripper) Option {
	return func(o *options) { o.transport = t }
}

// New returns a client of the platform at an IP address and port.
func New(address string, opts ...Option) *Client {
	o := options{transport: http.DefaultTransport}
	for _, f := range opts {
		f(&o)
	}
	return &Client{base: "http://" + address + "/", http: &http.Client{Transport: o.transport}}
}

// Calls returns the number of HTTP requests made.
func (c *Client) Calls() int64 { return c.calls.Load() }

type watchParams struct {
	After  uint64 `url:"after,omitempty"`
	WaitMS int64  `url:"wait_ms,omitempty"`
}

// Watch waits until the named value has a revision above after and returns
// it. ok is false if there is none within WatchTimeout.
func (c *Client) Watch(ctx context.Context, name string, after uint64) (v Value, ok bool, err error) {
	data, rev, err := c.get(ctx, "v1/values/"+name, after, watchWait(after))
	if err != nil || data == nil {
		return Value{}, false, err
	}
	return Value{Revision: rev, Data: data}, true, nil
}

// GetIfNewer returns the named value if its revision is above after, without waiting.
func (c *Client) GetIfNewer(ctx context.Context, name string, after uint64) (v Value, ok bool, err error) {
	data, rev, err := c.get(ctx, "v1/values/"+name, after, minWait(after))
	if err != nil || data == nil {
		return Value{}, false, err
	}
	return Value{Revision: rev, Data: data}, true, nil
}

// minWait returns the shortest wait time for a conditional read. With a wait time of 0 the
// platform would return the value whatever its revision.
func minWait(after uint64) time.Duration {
	if after == 0 {
		return 0
	}
	return time.Millisecond
}

// WatchInstances waits until the list of instances has a revision above after, as Watch does.
func (c *Client) WatchInstances(ctx context.Context, after uint64) (list Instances, ok bool, err error) {
	data, rev, err := c.get(ctx, "v1/instances", after, watchWait(after))
	if err != nil || data == nil {
		return Instances{}, false, err
	}
	if err := json.Unmarshal(data, &list); err != nil {
		return Instances{}, false, fmt.Errorf("platform: decode instances: %w", err)
	}
	list.Revision = rev
	return list, true, nil
}

// watchWait returns the wait time of a watch, 0 for a first read.
func watchWait(after uint64) time.Duration {
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
		return nil, 0, fmt.Errorf("platform: build request for %s: %w", path, err)
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
		return nil, 0, fmt.Errorf("platform: read %s: value exceeds %d bytes", path, MaxValueSize)
	}
	rev, err := strconv.ParseUint(resp.Header.Get(RevisionHeader), 10, 64)
	if err != nil {
		return nil, 0, fmt.Errorf("platform: read %s: invalid revision: %w", path, err)
	}
	return data, rev, nil
}
