package values

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/yarrowmast/yarrowmast/internal/platform"
	"github.com/yarrowmast/yarrowmast/pkg/catalog"
)

// fakeClient serves values from memory and counts the reads of each.
type fakeClient struct {
	values map[string]platform.Value
	reads  map[string]int
}

func (c *fakeClient) GetIfNewer(_ context.Context, name string, after uint64) (platform.Value, bool, error) {
	c.reads[name]++
	v, ok := c.values[name]
	return v, ok && v.Revision > after, nil
}

func (c *fakeClient) Watch(ctx context.Context, name string, after uint64) (platform.Value, bool, error) {
	return c.GetIfNewer(ctx, name, after)
}

func (c *fakeClient) WatchInstances(context.Context, uint64) (platform.Instances, bool, error) {
	return platform.Instances{}, false, nil
}

func (c *fakeClient) Calls() int64 { return 0 }

func account(name string, n int) []byte {
	return fmt.Appendf(nil, "accounts: [{name: %s, weight: 1, key_sha256: %q}]", name, fmt.Sprintf("%064x", n))
}

// TestTablePages checks that only changed pages are read again, and that mismatched pages
// and invalid tables are not applied.
func TestTablePages(t *testing.T) {
	c := &fakeClient{reads: map[string]int{}, values: map[string]platform.Value{
		"one": {Revision: 4, Data: account("moka", 1)},
		"two": {Revision: 7, Data: account("savanne", 2)},
	}}
	s := New(c)
	index := func(rev, one, two uint64) {
		c.values[TableName] = platform.Value{Revision: rev, Data: fmt.Appendf(nil, "pages: {one: %d, two: %d}", one, two)}
	}
	index(10, 4, 7)
	got, err := s.Read(context.Background())
	if err != nil || len(got.Skipped) > 0 || len(got.Table.Accounts) != 2 || got.Table.Revision != 10 {
		t.Fatalf("update %+v, %v", got, err)
	}
	c.values["two"] = platform.Value{Revision: 8, Data: account("savanne", 3)}
	index(11, 4, 8)
	if got, err = s.Watch(context.Background(), catalog.Revision{Number: 10}, 0); err != nil || got.Table == nil || got.After != 10 || got.AsOf != 11 {
		t.Fatalf("update %+v, %v", got, err)
	}
	if c.reads["one"] != 1 || c.reads["two"] != 2 {
		t.Errorf("reads %v: an unchanged page was read again", c.reads)
	}
	index(12, 4, 9)
	if _, err = s.Watch(context.Background(), catalog.Revision{Number: 11}, 0); !errors.Is(err, errPageMismatch) {
		t.Errorf("a page with another revision than in the index was accepted: %v", err)
	}
	c.values["two"] = platform.Value{Revision: 9, Data: account("moka", 4)}
	got, err = s.Watch(context.Background(), catalog.Revision{Number: 11}, 0)
	if err != nil || got.Table != nil || len(got.Skipped) != 1 || !got.Skipped[0].Table || !strings.Contains(got.Skipped[0].Unusable.Field, "two:1: accounts[0].name") {
		t.Errorf("an account on two pages was accepted: %+v, %v", got, err)
	}
	if got.AsOf != 12 {
		t.Errorf("an invalid table left AsOf at %d, want 12: it would be read again endlessly", got.AsOf)
	}
	if rev, err := s.Revision(context.Background()); err != nil || rev.Number != 12 {
		t.Errorf("revision %v, %v", rev, err)
	}
}

func TestWatchWithoutChange(t *testing.T) {
	c := &fakeClient{reads: map[string]int{}, values: map[string]platform.Value{TableName: {Revision: 3, Data: account("moka", 1)}}}
	got, err := New(c).Watch(context.Background(), catalog.Revision{Number: 3}, 0)
	if err != nil || got.Table != nil || got.After != 3 || got.AsOf != 3 {
		t.Errorf("update %+v, %v", got, err)
	}
}
