package table_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/yarrowmast/yarrowmast/pkg/table"
)

func namesOf(d table.Directory) []string {
	var names []string
	for b := range d.All() {
		names = append(names, b.Name)
	}
	return names
}

// TestDirectory changes rows at random and compares with a map. Earlier directories must stay as they
// were.
func TestDirectory(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	want := map[string]int{}
	var d table.Directory
	for step := 1; step <= 5000; step++ {
		name := fmt.Sprintf("i-%04d", rng.IntN(700))
		before, beforeNames := d, []string(nil)
		if step%100 == 0 {
			beforeNames = namesOf(d)
		}
		if rng.IntN(5) < 2 {
			delete(want, name)
			d = d.With(name, nil)
		} else {
			want[name] = step
			d = d.With(name, &table.Backend{Name: name, Slots: step})
		}
		if beforeNames != nil && !slices.Equal(namesOf(before), beforeNames) {
			t.Fatalf("step %d changed the earlier directory", step)
		}
		if b, ok := d.Get(name); ok != (want[name] == step) || ok && b.Slots != step {
			t.Fatalf("step %d: %s is %+v, %v", step, name, b, ok)
		}
	}
	got := map[string]int{}
	for b := range d.All() {
		got[b.Name] = b.Slots
	}
	if diff := cmp.Diff(want, got); diff != "" || d.Len() != len(want) || !slices.IsSorted(namesOf(d)) {
		t.Errorf("%d rows, sorted %v (-want +got):\n%s", d.Len(), slices.IsSorted(namesOf(d)), diff)
	}
}

// TestDirectorySharesRows: a change must copy rows near it only, whatever the size.
func TestDirectorySharesRows(t *testing.T) {
	for _, rows := range []int{3000, 6000, 12000} {
		list := make([]table.Backend, rows)
		for i := range list {
			list[i].Name = fmt.Sprintf("i-%08d", i)
		}
		d := table.NewDirectory(list)
		changed := d.With(list[rows/2].Name, &table.Backend{Name: list[rows/2].Name, Slots: 3})
		copied := 0
		for i := range list {
			a, _ := d.Get(list[i].Name)
			b, _ := changed.Get(list[i].Name)
			if a != b {
				copied++
			}
		}
		if copied == 0 || copied > 128 {
			t.Errorf("%d of %d rows were copied", copied, rows)
		}
	}
}
