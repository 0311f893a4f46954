package admit

import "time"

const (
	// idleWindow is the period over which an engine's idle time counts.
	idleWindow = 500 * time.Millisecond
	// idleBucket is the resolution of the measurement, idleBuckets the number of buckets that cover
	// idleWindow at any time.
	idleBucket  = 100 * time.Millisecond
	idleBuckets = int64(idleWindow/idleBucket) + 1
)

// idleMeter measures the fraction of the last idleWindow in which an engine had prompt tokens to
// process.
type idleMeter struct {
	// busy is the busy time in each bucket, head the number of the newest bucket.
	busy [idleBuckets]time.Duration
	head int64
	// measuredTo is the time up to which busy is complete.
	measuredTo time.Duration
	isBusy     bool
}

// set records whether the engine has prompt tokens to process from now on.
func (m *idleMeter) set(now time.Duration, isBusy bool) {
	m.advance(now)
	m.isBusy = isBusy
}

// addBusy adds busy time that is known only now, as far as the current bucket has room for it.
func (m *idleMeter) addBusy(now, d time.Duration) {
	m.advance(now)
	at := m.head % idleBuckets
	room := now - time.Duration(m.head)*idleBucket - m.busy[at]
	m.busy[at] += min(max(0, d), max(0, room))
}

// advance completes the buckets up to a time.
func (m *idleMeter) advance(now time.Duration) {
	from := m.measuredTo
	if now <= from {
		return
	}
	if covered := time.Duration(idleBuckets) * idleBucket; now-from > covered {
		m.busy = [idleBuckets]time.Duration{}
		from = now - covered
	}
	for from < now {
		bucket := int64(from / idleBucket)
		to := min(now, time.Duration(bucket+1)*idleBucket)
		if bucket != m.head {
			m.head = bucket
			m.busy[bucket%idleBuckets] = 0
		}
		if m.isBusy {
			m.busy[bucket%idleBuckets] += to - from
		}
		from = to
	}
	m.measuredTo = now
}

// idleFraction returns the fraction of idleWindow without prompt tokens to process. The window ends
// when the engine has processed its backlog, so that a sudden load shows at once.
func (m *idleMeter) idleFraction(now, backlog time.Duration) float64 {
	m.advance(now)
	backlog = min(backlog, idleWindow)
	busy, from := backlog, now-(idleWindow-backlog)
	for bucket := m.head; bucket > m.head-idleBuckets && bucket >= 0; bucket-- {
		start, end := time.Duration(bucket)*idleBucket, min(now, time.Duration(bucket+1)*idleBucket)
		overlap := end - max(start, from)
		if overlap <= 0 {
			break
		}
		busy += time.Duration(float64(m.busy[bucket%idleBuckets]) * float64(overlap) / float64(end-start))
	}
	return max(0, 1-busy.Seconds()/idleWindow.Seconds())
}
