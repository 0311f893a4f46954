package pool_test

import (
	"fmt"
	"testing"

	"github.com/yarrowmast/yarrowmast/internal/capacity"
)

// BenchmarkDecide returns and regrants one slot, with a growing number of
// accounts that have requests waiting.
func BenchmarkDecide(b *testing.B) {
	for _, accounts := range []int{10, 100, 1000, 3600} {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			regrant := capacity.Regrant(capacity.NewOwner(accounts, 64))
			b.ReportAllocs()
			for b.Loop() {
				regrant()
			}
		})
	}
}
