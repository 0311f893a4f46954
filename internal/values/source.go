// Package values implements dispatch.Source on the platform's named values. The table is
// one value, which may be an index of further values if the table is split into pages.
package values

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"go.yaml.in/yaml/v4"

	"github.com/yarrowmast/yarrowmast/internal/platform"
	"github.com/yarrowmast/yarrowmast/pkg/catalog"
	"github.com/yarrowmast/yarrowmast/pkg/table"
)

// TableName is the name of the value that holds the table.
const TableName = "table"

// errPageMismatch reports a page whose revision differs from the one in the index, as
// happens while the table is being edited.
var errPageMismatch = errors.New("values: a page of the table does not have the revision given in the index")

// Client reads values and the list of instances. platform.Client implements it.
type Client interface {
	// Watch waits for a limited time until a value has a revision above after.
	Watch(ctx context.Context, name string, after uint64) (platform.Value, bool, error)
	// GetIfNewer returns a value if its revision is above after, without waiting.
	GetIfNewer(ctx context.Context, name string, after uint64) (platform.Value, bool, error)
	WatchInstances(ctx context.Context, after uint64) (platform.Instances, bool, error)
	Calls() int64
}

// Source reads the table and the list of instances.
type Source struct {
	client Client

	mu sync.Mutex
	// newest is the highest revision of the table read so far.
	newest uint64
	// pages caches the last revision read of each page by name.
	pages map[string]platform.Value
}

// New returns a source that reads through a client.
func New(c Client) *Source { return &Source{client: c, pages: map[string]platform.Value{}} }

// Read returns the current table.
func (s *Source) Read(ctx context.Context) (catalog.Update, error) {
	v, ok, err := s.client.GetIfNewer(ctx, TableName, 0)
	if err != nil || !ok {
		return catalog.Update{}, err
	}
	return s.update(ctx, 0, v)
}

// Watch waits for a revision of the table above the given one.
func (s *Source) Watch(ctx context.Context, after catalog.Revision, _ time.Duration) (catalog.Update, error) {
	v, ok, err := s.client.Watch(ctx, TableName, after.Number)
	if err != nil {
		return catalog.Update{}, err
	}
	if !ok || v.Revision <= after.Number {
		return catalog.Update{After: after.Number, AsOf: after.Number}, nil
	}
	return s.update(ctx, after.Number, v)
}

// Revision returns the current revision of the table.
func (s *Source) Revision(ctx context.Context) (catalog.Revision, error) {
	s.mu.Lock()
	newest := s.newest
	s.mu.Unlock()
	v, ok, err := s.client.GetIfNewer(ctx, TableName, newest)
	if err != nil || !ok {
		return catalog.Revision{Number: newest}, err
	}
	return catalog.Revision{Number: v.Revision}, nil
}

// Instances waits for a revision of the list of instances above the given one.
func (s *Source) Instances(ctx context.Context, after uint64) (platform.Instances, bool, error) {
	return s.client.WatchInstances(ctx, after)
}

// Calls returns the number of calls made by the client.
func (s *Source) Calls() int64 { return s.client.Calls() }

// update converts the value of the table to an update. An invalid table is reported in
// Skipped; update returns an error only if a page does not match the index.
func (s *Source) update(ctx context.Context, after uint64, v platform.Value) (catalog.Update, error) {
	u := catalog.Update{After: after, AsOf: v.Revision}
	t, err := s.parse(ctx, v)
	switch {
	case errors.Is(err, errPageMismatch):
		return catalog.Update{}, err
	case err != nil:
		u.Skipped = []catalog.Skipped{{Key: TableName, Revision: v.Revision, Unusable: catalog.Unusable{Reason: catalog.BadValue, Field: err.Error()}, Table: true}}
	default:
		t.Revision = v.Revision
		u.Table = t
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.newest = max(s.newest, v.Revision)
	return u, nil
}

// pageIndex is the value of a table that is split into pages. It maps the name of each
// page's value to its revision. The revision of the index is the revision of the table: an
// edit first writes the page, then the index.
type pageIndex struct {
	Pages map[string]uint64 `yaml:"pages"`
}

func (s *Source) parse(ctx context.Context, v platform.Value) (*table.Table, error) {
	var index pageIndex
	if err := yaml.Unmarshal(v.Data, &index); err != nil || len(index.Pages) == 0 {
		return table.Parse(TableName, v.Data)
	}
	var pages []table.Page
	for _, name := range slices.Sorted(maps.Keys(index.Pages)) {
		page, err := s.page(ctx, name, index.Pages[name])
		if err != nil {
			return nil, err
		}
		pages = append(pages, table.Page{Name: name, Data: page.Data})
	}
	return table.ParsePages(pages)
}

// page returns a page at the given revision, from the cache if possible.
func (s *Source) page(ctx context.Context, name string, revision uint64) (platform.Value, error) {
	s.mu.Lock()
	cached, ok := s.pages[name]
	s.mu.Unlock()
	if ok && cached.Revision == revision {
		return cached, nil
	}
	v, ok, err := s.client.GetIfNewer(ctx, name, 0)
	if err != nil {
		return platform.Value{}, errors.Join(errPageMismatch, err)
	}
	if !ok || v.Revision != revision {
		return platform.Value{}, fmt.Errorf("%w: %s has revision %d, want %d", errPageMismatch, name, v.Revision, revision)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pages[name] = v
	return v, nil
}
