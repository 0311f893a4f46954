package router

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/yarrowmast/yarrowmast/internal/platform"
)

// valuesOnly is a platform that stores values and counts the reads of each.
type valuesOnly struct {
	values map[string]platform.Value
	reads  map[string]int
}

func (p *valuesOnly) Watch(_ context.Context, name string, _ uint64) (platform.Value, bool, error) {
	p.reads[name]++
	v, ok := p.values[name]
	return v, ok, nil
}

func (p *valuesOnly) WatchInstances(context.Context, uint64) (platform.Instances, bool, error) {
	return platform.Instances{}, false, nil
}

func account(name string, n int) []byte {
	return fmt.Appendf(nil, "accounts: [{name: %s, weight: 1, key_sha256: %q}]", name, fmt.Sprintf("%064x", n))
}

// TestTablePages guards against pages that are read again without a change, or
// taken at another revision than the index lists.
func TestTablePages(t *testing.T) {
	p := &valuesOnly{reads: map[string]int{}, values: map[string]platform.Value{
		"one": {Revision: 4, Data: account("moka", 1)},
		"two": {Revision: 7, Data: account("savanne", 2)},
	}}
	pages := newPageReader(p)
	index := func(rev, one, two uint64) platform.Value {
		return platform.Value{Revision: rev, Data: fmt.Appendf(nil, "pages: {one: %d, two: %d}", one, two)}
	}
	got, err := pages.read(context.Background(), index(10, 4, 7))
	if err != nil || got.Err != nil || len(got.Table.Accounts) != 2 || got.Revision != 10 {
		t.Fatalf("table %+v, %v", got, err)
	}
	p.values["two"] = platform.Value{Revision: 8, Data: account("savanne", 3)}
	if got, err = pages.read(context.Background(), index(11, 4, 8)); err != nil || got.Err != nil {
		t.Fatalf("table %+v, %v", got, err)
	}
	if p.reads["one"] != 1 || p.reads["two"] != 2 {
		t.Errorf("reads %v: a page that did not change was read again", p.reads)
	}
	if _, err = pages.read(context.Background(), index(12, 4, 9)); !errors.Is(err, errPageMismatch) {
		t.Errorf("a page at another revision was accepted: %v", err)
	}
	p.values["two"] = platform.Value{Revision: 9, Data: account("moka", 4)}
	got, err = pages.read(context.Background(), index(12, 4, 9))
	if err != nil || got.Err == nil || !strings.Contains(got.Err.Error(), "two:1: accounts[0].name") {
		t.Errorf("an account on two pages was accepted: %v, %v", got.Err, err)
	}
}

// TestRegionsAreRefused guards against a table whose restrictions to regions would be ignored.
func TestRegionsAreRefused(t *testing.T) {
	restricted := fmt.Appendf(nil, "accounts: [{name: moka, weight: 1, key_sha256: %q, regions: [north]}]", fmt.Sprintf("%064x", 1))
	p := &valuesOnly{reads: map[string]int{}, values: map[string]platform.Value{"one": {Revision: 4, Data: restricted}}}
	for name, data := range map[string][]byte{"one value": restricted, "pages": []byte("pages: {one: 4}")} {
		got, err := newPageReader(p).read(context.Background(), platform.Value{Revision: 5, Data: data})
		if err != nil || !errors.Is(got.Err, errRegions) || got.Table != nil {
			t.Errorf("%s: got %+v, %v", name, got, err)
		}
	}
}
