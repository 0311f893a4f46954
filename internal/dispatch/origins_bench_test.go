package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// BenchmarkStreamOrigins measures what the fleet spends for each stream that begins, at the router where it
// begins and at those that remember it, and the messages and bytes sent. A router of the target size has
// about 16 streams a second.
func BenchmarkStreamOrigins(b *testing.B) {
	for _, routers := range []int{9, 60, 400} {
		b.Run(fmt.Sprint(routers), func(b *testing.B) {
			f := newVersionFleet(routers, 3)
			messages, bytes := 0, 0
			f.onSend = func(_ *emulatedRouter, _ string, msg any) {
				if m, ok := msg.(*wire.StreamOrigins); ok {
					messages++
					bytes += encodedSize(m)
				}
			}
			r := f.inZone(0, 0)
			b.ResetTimer()
			for i := range b.N {
				r.begin(fmt.Sprint("id-", i), beganAt)
				for at, list := range f.underWay {
					for _, m := range list {
						if _, ok := m.msg.(*wire.StreamOrigins); ok {
							f.deliver(m)
						}
					}
					delete(f.underWay, at)
				}
			}
			b.StopTimer()
			b.ReportMetric(float64(messages)/float64(b.N), "messages/op")
			b.ReportMetric(float64(bytes)/float64(b.N), "B-sent/op")
		})
	}
}

// BenchmarkResume measures the decision on a stream that another router remembers.
func BenchmarkResume(b *testing.B) {
	for _, routers := range []int{9, 60} {
		b.Run(fmt.Sprint(routers), func(b *testing.B) {
			f := newVersionFleet(routers, 3)
			f.inZone(0, 0).begin("id-1", beganAt)
			f.run(f.now+20*time.Millisecond, func() {})
			asked := 0
			f.onSend = func(_ *emulatedRouter, _ string, msg any) {
				if _, ok := msg.(*wire.OriginQuery); ok {
					asked++
				}
			}
			r := f.inZone(1, 2)
			r.origins.store = newStreamOrigins().store
			b.ResetTimer()
			for range b.N {
				if got := f.resume(r, "moka", "id-1"); got != beganAt {
					b.Fatal(got)
				}
			}
			b.ReportMetric(float64(asked)/float64(b.N), "asked/op")
		})
	}
}
