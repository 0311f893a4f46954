package table

import (
	"iter"
	"slices"
	"sort"
	"strings"
)

// Directory is an immutable list of backend servers, sorted by name. A changed copy shares all rows but
// those near the changed ones with the original, so that a change costs little in a large fleet.
type Directory struct {
	// chunks hold the rows in order; none is empty.
	chunks [][]Backend
	size   int
}

// directoryChunk is the number of rows in a chunk; a chunk of twice the size is split.
const directoryChunk = 64

// NewDirectory returns a directory of rows that are sorted by name.
func NewDirectory(sorted []Backend) Directory {
	return Directory{chunks: slices.Collect(slices.Chunk(sorted, directoryChunk)), size: len(sorted)}
}

// Len returns the number of rows.
func (d Directory) Len() int { return d.size }

// All yields the rows in order. They must not be modified.
func (d Directory) All() iter.Seq[*Backend] {
	return func(yield func(*Backend) bool) {
		for _, chunk := range d.chunks {
			for i := range chunk {
				if !yield(&chunk[i]) {
					return
				}
			}
		}
	}
}

// Get returns the row of the named backend server. It must not be modified.
func (d Directory) Get(name string) (*Backend, bool) {
	if len(d.chunks) == 0 {
		return nil, false
	}
	chunk := d.chunks[d.chunkOf(name)]
	if i, found := findRow(chunk, name); found {
		return &chunk[i], true
	}
	return nil, false
}

// With returns a directory in which the named backend server has the given row, or none if row is nil.
func (d Directory) With(name string, row *Backend) Directory {
	if len(d.chunks) == 0 {
		if row == nil {
			return d
		}
		return NewDirectory([]Backend{*row})
	}
	at := d.chunkOf(name)
	old := d.chunks[at]
	i, found := findRow(old, name)
	if !found && row == nil {
		return d
	}
	chunk := slices.Clone(old)
	size := d.size
	switch {
	case row == nil:
		chunk = slices.Delete(chunk, i, i+1)
		size--
	case found:
		chunk[i] = *row
	default:
		chunk = slices.Insert(chunk, i, *row)
		size++
	}
	var replaced [][]Backend
	switch {
	case len(chunk) >= 2*directoryChunk:
		replaced = [][]Backend{chunk[:directoryChunk:directoryChunk], chunk[directoryChunk:]}
	case len(chunk) > 0:
		replaced = [][]Backend{chunk}
	}
	return Directory{chunks: slices.Concat(d.chunks[:at], replaced, d.chunks[at+1:]), size: size}
}

// chunkOf returns the index of the chunk that has the name, or that it belongs to.
func (d Directory) chunkOf(name string) int {
	after := sort.Search(len(d.chunks), func(i int) bool { return d.chunks[i][0].Name > name })
	return max(0, after-1)
}

func findRow(chunk []Backend, name string) (int, bool) {
	return slices.BinarySearchFunc(chunk, name, func(b Backend, name string) int { return strings.Compare(b.Name, name) })
}

// WithDirectory returns a copy of the table with the backend servers of a directory besides its own. The
// copy shares the table's rows.
func (t *Table) WithDirectory(d Directory) *Table {
	c := *t
	c.directory = d
	return &c
}

// Directory returns the backend servers that are not rows of the operators' table.
func (t *Table) Directory() Directory { return t.directory }

// AllBackends yields the table's own backend servers and then those of the directory. They must not be
// modified.
func (t *Table) AllBackends() iter.Seq[*Backend] {
	return func(yield func(*Backend) bool) {
		for i := range t.Backends {
			if !yield(&t.Backends[i]) {
				return
			}
		}
		t.directory.All()(yield)
	}
}

// BackendCount returns the number of backend servers, those of the directory included.
func (t *Table) BackendCount() int { return len(t.Backends) + t.directory.Len() }
