package catalog_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/catalog"
	"github.com/yarrowmast/yarrowmast/pkg/table"
)

// BenchmarkEntryChange measures a change of one entry and the incremental update made of it.
func BenchmarkEntryChange(b *testing.B) {
	for _, servers := range []int{300, 1000, 3000} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			c := catalog.New()
			full := catalog.Update{AsOf: 10, Table: warmupTable(4)}
			for i := range servers {
				full.Servers = append(full.Servers, serving(fmt.Sprintf("i-%08d", i), 9))
			}
			c.Merge(0, full)
			marks := []table.Mark{table.Leaving, table.Serving}
			for i := 1; b.Loop(); i++ {
				asOf := c.AsOf().Number
				s := serving(full.Servers[servers/2].Backend.Name, asOf+1)
				s.Backend.Mark = marks[i%2]
				now := time.Duration(i) * time.Millisecond
				c.Merge(now, catalog.Update{After: asOf, AsOf: asOf + 1, Servers: []catalog.Server{s}})
				if u := c.Since(asOf); len(u.Servers) != 1 {
					b.Fatal(len(u.Servers))
				}
				if i%50 == 0 {
					c.Refresh(now)
				}
			}
		})
	}
}
