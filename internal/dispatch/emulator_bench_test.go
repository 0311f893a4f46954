package dispatch

import (
	"fmt"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/table"
)

// BenchmarkEmulatedFleet prints what the upkeep of a fleet costs: at the start of all routers, in a
// quiet time, while entries change, after the loss of a zone and of all routers, and while the
// platform is away.
func BenchmarkEmulatedFleet(b *testing.B) {
	for _, routers := range []int{60, 150, 300, 585, 1170} {
		b.Run(fmt.Sprint(routers), func(b *testing.B) {
			for b.Loop() {
				emulateDay(b, newEmulator(routers, 5, 5*time.Second))
			}
		})
	}
}

const (
	changesPerSecond = 20
	// settled is the longest time that the fleet may take to agree.
	settled = 30 * time.Second
)

func emulateDay(b *testing.B, f *emulator) {
	day := &emulatedDay{f: f}
	day.phase("start", func() time.Duration {
		f.startAll()
		return f.runUntil(settled, f.allKnowAll)
	})
	day.phase("settling", func() time.Duration { f.run(f.now+5*time.Second, func() {}); return 0 })
	day.phase("quiet", func() time.Duration { f.run(f.now+5*time.Second, func() {}); return 0 })
	day.phase("changes", func() time.Duration { f.change(5 * time.Second); return f.inForce() })
	day.phase("platform away", func() time.Duration {
		f.store.away = true
		f.run(f.now+5*time.Second, func() {})
		f.store.away = false
		return 0
	})
	day.phase("zone lost", func() time.Duration {
		f.killZone(1)
		return f.runUntil(settled, f.allKnowAll)
	})
	day.phase("zone back", func() time.Duration { f.startAll(); return f.runUntil(settled, f.allKnowAll) })
	day.phase("all lost", func() time.Duration {
		f.killAll()
		f.startAll()
		return f.runUntil(settled, f.allKnowAll)
	})
}

// emulatedDay reports the phases of a day.
type emulatedDay struct{ f *emulator }

// phase runs a part of the day and logs its costs, and how long the fleet took to agree.
func (d *emulatedDay) phase(name string, run func() time.Duration) {
	f := d.f
	f.resetCosts()
	began, processor := f.now, processorTime()
	agreed := run()
	period := f.now - began
	messages, bytes, busiest := f.sent()
	n := float64(f.running())
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	fmt.Printf("%s: %d routers, %v, agreed after %v; a router and second: %.1f messages, %.2f kB, %.3f ms of processor; busiest %.1f kB/s; calls of the platform a second %.1f; memory a router %.2f MB\n%s\n",
		name, int(n), period, agreed, float64(messages)/n/period.Seconds(), float64(bytes)/1e3/n/period.Seconds(),
		(processorTime()-processor).Seconds()*1e3/n/period.Seconds(), float64(busiest)/1e3/period.Seconds(), float64(f.store.calls)/period.Seconds(),
		float64(m.HeapInuse)/1e6/n, f.report(period))
}

// change changes entries of backend servers at a steady rate.
func (f *emulator) change(period time.Duration) {
	began, made := f.now, 0
	marks := []table.Mark{table.Leaving, table.Serving}
	names := f.store.names()
	f.run(began+period, func() {
		for ; float64(made) < changesPerSecond*(f.now-began).Seconds(); made++ {
			b := f.store.servers[names[made/2%len(names)]].Backend
			b.Mark = marks[made%2]
			f.store.put(f.now, b)
		}
	})
}

// inForce returns how long the last change takes until all routers know it.
func (f *emulator) inForce() time.Duration {
	return f.runUntil(settled, func() bool {
		return f.countIf(func(r *emulatedRouter) bool { return r.d.asOf().Number < f.store.revision }) == 0
	})
}

func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
