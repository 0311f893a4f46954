package dispatch

import (
	"context"
	"testing"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/catalog"
	"github.com/yarrowmast/yarrowmast/pkg/table"
)

// countingSource is a platform at a revision that counts how it is read.
type countingSource struct {
	revision catalog.Revision
	// keeps is the revision from which it has the changes, returned the one up to which a watch
	// returns them.
	keeps, returned uint64
	fullReads       int
}

func (s *countingSource) Read(context.Context) (catalog.Update, error) {
	s.fullReads++
	return catalog.Update{Epoch: s.revision.Epoch, AsOf: s.revision.Number, Table: &table.Table{Revision: 1}}, nil
}

func (s *countingSource) Watch(_ context.Context, after catalog.Revision, _ time.Duration) (catalog.Update, error) {
	if after.Epoch != s.revision.Epoch || after.Number < s.keeps {
		return catalog.Update{}, catalog.ErrCompacted
	}
	return catalog.Update{Epoch: after.Epoch, After: after.Number, AsOf: max(after.Number, s.returned)}, nil
}

func (s *countingSource) Revision(context.Context) (catalog.Revision, error) { return s.revision, nil }

// TestVerifyReadsChanges: a router that finds a newer revision must read what changed, not everything,
// unless the platform cannot tell.
func TestVerifyReadsChanges(t *testing.T) {
	known := catalog.Revision{Epoch: 1, Number: 10}
	tests := map[string]struct {
		source    countingSource
		fullReads int
	}{
		"changes are kept":          {countingSource{revision: catalog.Revision{Epoch: 1, Number: 14}, keeps: 5, returned: 14}, 0},
		"more changes since":        {countingSource{revision: catalog.Revision{Epoch: 1, Number: 14}, keeps: 5, returned: 16}, 0},
		"changes are not kept":      {countingSource{revision: catalog.Revision{Epoch: 1, Number: 14}, keeps: 12, returned: 14}, 1},
		"a watch returns too few":   {countingSource{revision: catalog.Revision{Epoch: 1, Number: 14}, keeps: 5, returned: 12}, 1},
		"restored from a backup":    {countingSource{revision: catalog.Revision{Epoch: 2, Number: 14}, keeps: 5, returned: 14}, 1},
		"nothing is known yet here": {countingSource{revision: catalog.Revision{Epoch: 1, Number: 14}, keeps: 5, returned: 14}, 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			d := New(Identity{Name: "a", Address: "10.0.0.1:7", Zone: "x"}, &tc.source, &recordingTransport{})
			d.tasks.Add(1)
			go func() {
				defer d.tasks.Done()
				d.run()
			}()
			defer d.Close()
			if name != "nothing is known yet here" {
				d.applyRead(catalog.Update{Epoch: known.Epoch, AsOf: known.Number, Table: &table.Table{Revision: 1}}, d.now())
			}
			start := d.now()
			if err := d.verifyOnce(start); err != nil {
				t.Fatal(err)
			}
			if tc.source.fullReads != tc.fullReads {
				t.Errorf("%d full reads, want %d", tc.source.fullReads, tc.fullReads)
			}
			if asOf := d.asOf(); asOf.Epoch != tc.source.revision.Epoch || asOf.Number < tc.source.revision.Number {
				t.Errorf("known up to %+v", asOf)
			}
			if verified := time.Duration(d.shared.lastVerified.Load()); verified < start {
				t.Errorf("verified at %v, before %v", verified, start)
			}
		})
	}
}
