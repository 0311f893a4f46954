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

// errPagesAhead says that a page was read that the index does not list yet.
var errPagesAhead = errors.New("router: a page of the table is not at the revision that the index lists")

// pageIndex is the table's value where the table is split into pages: it
// lists each page's value with its revision. The index's own revision is the
// table's, so an edit is a new page and then a new index.
type pageIndex struct {
	Pages map[string]uint64 `yaml:"pages"`
}

// pages reads tables and keeps the pages that did not change.
type pages struct {
	platform Platform
	kept     map[string]platform.Value
}

func newPages(p Platform) *pages {
	return &pages{platform: p, kept: map[string]platform.Value{}}
}

// read turns the table's value into a table. It fails only if a page could
// not be read as listed; a table with errors is a tableRead that says so.
func (p *pages) read(ctx context.Context, v platform.Value) (tableRead, error) {
	var index pageIndex
	if err := yaml.Unmarshal(v.Data, &index); err != nil || len(index.Pages) == 0 {
		t, err := table.Parse(TableName, v.Data)
		return tableRead{tablesync.PlatformValue{Revision: v.Revision, Table: t, Err: err}}, nil
	}
	var list []table.Page
	for _, name := range slices.Sorted(maps.Keys(index.Pages)) {
		page, err := p.page(ctx, name, index.Pages[name])
		if err != nil {
			return tableRead{}, err
		}
		list = append(list, table.Page{Name: name, Data: page.Data})
	}
	t, err := table.ParsePages(list)
	return tableRead{tablesync.PlatformValue{Revision: v.Revision, Table: t, Err: err}}, nil
}

func (p *pages) page(ctx context.Context, name string, revision uint64) (platform.Value, error) {
	if kept, ok := p.kept[name]; ok && kept.Revision == revision {
		return kept, nil
	}
	v, ok, err := p.platform.Watch(ctx, name, 0)
	if err != nil {
		return platform.Value{}, err
	}
	if !ok || v.Revision != revision {
		return platform.Value{}, fmt.Errorf("%w: %s is at %d, not %d", errPagesAhead, name, v.Revision, revision)
	}
	p.kept[name] = v
	return v, nil
}
