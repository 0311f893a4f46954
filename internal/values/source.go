// Package values makes the platform's named values and its list of instances what a
// dispatcher follows: the operators' table is one value, split into pages where it is large.
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

// TableName is the platform's name of the table's value.
const TableName = "table"

// errPagesAhead says that a page was read that the index does not list yet.
var errPagesAhead = errors.New("values: a page of the table is not at the revision that the index lists")

// Client reads values.
type Client interface {
	// Watch waits until a value has a revision above after, for a while at most.
	Watch(ctx context.Context, name string, after uint64) (platform.Value, bool, error)
	// GetIfNewer returns a value if its revision is above after, and does not wait.
	GetIfNewer(ctx context.Context, name string, after uint64) (platform.Value, bool, error)
	WatchInstances(ctx context.Context, after uint64) (platform.Instances, bool, error)
	Calls() int64
}

// Source is the platform as a dispatcher reads it.
type Source struct {
	client Client

	mu sync.Mutex
	// newest is the last version of the table that was read.
	newest uint64
	// kept are the pages that were read last, by name.
	kept map[string]platform.Value
}

// New returns a source that reads by a client.
func New(c Client) *Source { return &Source{client: c, kept: map[string]platform.Value{}} }

// Read returns the table as it is now.
func (s *Source) Read(ctx context.Context) (catalog.Update, error) {
	v, ok, err := s.client.GetIfNewer(ctx, TableName, 0)
	if err != nil || !ok {
		return catalog.Update{}, err
	}
	return s.news(ctx, 0, v)
}

// Watch waits for a version of the table after a revision.
func (s *Source) Watch(ctx context.Context, after catalog.Revision, _ time.Duration) (catalog.Update, error) {
	v, ok, err := s.client.Watch(ctx, TableName, after.Number)
	if err != nil {
		return catalog.Update{}, err
	}
	if !ok || v.Revision <= after.Number {
		return catalog.Update{After: after.Number, AsOf: after.Number}, nil
	}
	return s.news(ctx, after.Number, v)
}

// Revision returns the revision of the table as it is now.
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

// Instances waits for a list of instances after a revision.
func (s *Source) Instances(ctx context.Context, after uint64) (platform.Instances, bool, error) {
	return s.client.WatchInstances(ctx, after)
}

// Calls returns how many calls were made.
func (s *Source) Calls() int64 { return s.client.Calls() }

// news turns the table's value into news. A table with errors stays out of force, and the
// news say why; only a page that could not be read as listed is an error.
func (s *Source) news(ctx context.Context, after uint64, v platform.Value) (catalog.Update, error) {
	n := catalog.Update{After: after, AsOf: v.Revision}
	t, err := s.parse(ctx, v)
	switch {
	case errors.Is(err, errPagesAhead):
		return catalog.Update{}, err
	case err != nil:
		n.Skipped = []catalog.Skipped{{Key: TableName, Revision: v.Revision, Unusable: catalog.Unusable{Reason: catalog.BadValue, Field: err.Error()}}}
	default:
		t.Revision = v.Revision
		n.Table = t
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.newest = max(s.newest, v.Revision)
	return n, nil
}

// pageIndex is the table's value where the table is split into pages: it lists each page's
// value with its revision. The index's own revision is the table's, so an edit is a new page
// and then a new index.
type pageIndex struct {
	Pages map[string]uint64 `yaml:"pages"`
}

func (s *Source) parse(ctx context.Context, v platform.Value) (*table.Table, error) {
	var index pageIndex
	if err := yaml.Unmarshal(v.Data, &index); err != nil || len(index.Pages) == 0 {
		return table.Parse(TableName, v.Data)
	}
	var list []table.Page
	for _, name := range slices.Sorted(maps.Keys(index.Pages)) {
		page, err := s.page(ctx, name, index.Pages[name])
		if err != nil {
			return nil, err
		}
		list = append(list, table.Page{Name: name, Data: page.Data})
	}
	return table.ParsePages(list)
}

// page returns a page at a revision, as it was read before or as it is now.
func (s *Source) page(ctx context.Context, name string, revision uint64) (platform.Value, error) {
	s.mu.Lock()
	kept, ok := s.kept[name]
	s.mu.Unlock()
	if ok && kept.Revision == revision {
		return kept, nil
	}
	v, ok, err := s.client.GetIfNewer(ctx, name, 0)
	if err != nil {
		return platform.Value{}, errors.Join(errPagesAhead, err)
	}
	if !ok || v.Revision != revision {
		return platform.Value{}, fmt.Errorf("%w: %s is at %d, not %d", errPagesAhead, name, v.Revision, revision)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.kept[name] = v
	return v, nil
}
