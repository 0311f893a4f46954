package catalog_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/catalog"
	"github.com/yarrowmast/yarrowmast/pkg/table"
)

// BenchmarkOneEntryChanges takes in the change of one backend server's entry, and
// collects what is passed on of it, one a millisecond.
func BenchmarkOneEntryChanges(b *testing.B) {
	for _, servers := range []int{300, 1000, 3000} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			c := catalog.New()
			n := catalog.Update{AsOf: 10, Table: warmTable(4)}
			for i := range servers {
				n.Servers = append(n.Servers, serving(fmt.Sprintf("i-%08d", i), 9))
			}
			c.Merge(0, n)
			marks := []table.Mark{table.Leaving, table.Serving}
			for i := 1; b.Loop(); i++ {
				asOf := c.AsOf().Number
				s := serving(n.Servers[servers/2].Backend.Name, asOf+1)
				s.Backend.Mark = marks[i%2]
				now := time.Duration(i) * time.Millisecond
				c.Merge(now, catalog.Update{After: asOf, AsOf: asOf + 1, Servers: []catalog.Server{s}})
				if news := c.Since(asOf); len(news.Servers) != 1 {
					b.Fatal(len(news.Servers))
				}
				if i%50 == 0 {
					c.Refresh(now)
				}
			}
		})
	}
}
