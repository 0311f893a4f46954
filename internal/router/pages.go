package router

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"

	"go.yaml.in/yaml/v4"

	"github.com/yarrowmast/yarrowmast/internal/platform"
	"github.com/yarrowmast/yarrowmast/pkg/table"
	"github.com/yarrowmast/yarrowmast/pkg/tablesync"
)

// errPageMismatch is returned if a page has another revision than the index
// lists, because page and index are not written atomically.
var errPageMismatch = errors.New("router: a page of the table is not at the revision that the index lists")

// errRegions is returned for a table that restricts requests to some regions.
var errRegions = errors.New("router: the table restricts accounts or routes to regions, which this platform_kind cannot keep; remove regions from its rows")

// errVersions is returned for a table in which backend servers of one model run different software.
var errVersions = errors.New("router: the table states several versions for backend servers of one model, which this platform_kind cannot keep apart; give them one version")

// pageIndex is the table's value if the table is split into pages. It lists the
// revision of each page's value. The index's own revision is that of the table:
// an edit writes a page first and then the index.
type pageIndex struct {
	Pages map[string]uint64 `yaml:"pages"`
}

// pageReader reads tables and caches the pages.
type pageReader struct {
	platform Platform
	cached   map[string]platform.Value
}

func newPageReader(p Platform) *pageReader {
	return &pageReader{platform: p, cached: map[string]platform.Value{}}
}

// read parses the table's value. It returns an error only if a page cannot be
// read at the listed revision; an invalid table is a tableRead with Err.
func (r *pageReader) read(ctx context.Context, v platform.Value) (tableRead, error) {
	var index pageIndex
	if err := yaml.Unmarshal(v.Data, &index); err != nil || len(index.Pages) == 0 {
		t, err := table.Parse(TableName, v.Data)
		return newTableRead(v.Revision, t, err), nil
	}
	var list []table.Page
	for _, name := range slices.Sorted(maps.Keys(index.Pages)) {
		page, err := r.page(ctx, name, index.Pages[name])
		if err != nil {
			return tableRead{}, err
		}
		list = append(list, table.Page{Name: name, Data: page.Data})
	}
	t, err := table.ParsePages(list)
	return newTableRead(v.Revision, t, err), nil
}

// newTableRead returns a parsed table, or an error for one with rules that the scheduler would
// not keep.
func newTableRead(revision uint64, t *table.Table, err error) tableRead {
	if err == nil && t.LimitsRegions() {
		t, err = nil, errRegions
	}
	if err == nil && t.MixesVersions() {
		t, err = nil, errVersions
	}
	return tableRead{tablesync.PlatformValue{Revision: revision, Table: t, Err: err}}
}

func (r *pageReader) page(ctx context.Context, name string, revision uint64) (platform.Value, error) {
	if cached, ok := r.cached[name]; ok && cached.Revision == revision {
		return cached, nil
	}
	v, ok, err := r.platform.Watch(ctx, name, 0)
	if err != nil {
		return platform.Value{}, err
	}
	if !ok || v.Revision != revision {
		return platform.Value{}, fmt.Errorf("%w: %s is at %d, not %d", errPageMismatch, name, v.Revision, revision)
	}
	r.cached[name] = v
	return v, nil
}
