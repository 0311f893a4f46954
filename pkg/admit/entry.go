package admit

import (
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/enginemodel"
)

// entryKey identifies a request in the fleet.
type entryKey struct {
	holder string
	id     uint64
}

// entry is a request in flight.
type entry struct {
	prefill int64
	// ahead is the number of prefill tokens before its first event, as of the grant; 0 if
	// unknown.
	ahead int64
	// copied is the number of prompt tokens that the engine copies from another one for it.
	copied int64
	// others is the number of other requests in flight as of the grant.
	others int
	// predicted is the time to its first event as of the grant.
	predicted enginemodel.Prediction
	startedAt time.Duration
	// prefix is the shared prefix that it processes or copies, waitsFor one that an earlier request
	// was granted to process; 0 if there is none.
	prefix, waitsFor uint64
	// shared is the size of that prefix.
	shared int64
	// sharedPrefix is the shared prefix of its prompt, 0 if there is none.
	sharedPrefix uint64
	// own is the memory that it uses besides its shared prefix, in tokens.
	own int64
	// confirmedAt is when the holder last listed it.
	confirmedAt time.Duration
	// inFlight is the number of requests in flight as of the grant, its own included; 0 if unknown.
	inFlight int
}

func (o *ownerState) add(key entryKey, e *entry) {
	o.remove(key)
	if o.prefill == 0 {
		o.reading = reading{since: e.startedAt}
	}
	o.entries[key] = e
	o.running++
	o.load.peakTracked = max(o.load.peakTracked, o.running)
	o.prefill += e.prefill
	o.prefillBehindCopies += e.behindCopy()
	o.memory.add(e)
	o.recordReading()
	o.addUse(e.own)
}

// behindCopy returns the prompt tokens of a request that the engine reads only after a copy.
func (e *entry) behindCopy() int64 {
	if e.copied == 0 {
		return 0
	}
	return e.prefill
}

func (o *ownerState) remove(key entryKey) {
	e, ok := o.entries[key]
	if !ok {
		return
	}
	delete(o.entries, key)
	o.clearExclusive(key)
	o.running--
	o.prefill -= e.prefill
	o.prefillBehindCopies -= e.behindCopy()
	o.addUse(-e.own)
	o.forgetUnread(e)
	o.memory.remove(e)
	o.recordReading()
	o.reading.leave(e)
}

// markPrefilled records that the engine has processed a prompt.
func (o *ownerState) markPrefilled(e *entry) {
	o.prefill -= e.prefill
	o.prefillBehindCopies -= e.behindCopy()
	e.prefill = 0
	e.ahead = 0
	o.recordReading()
	o.reading.leave(e)
}

// expireEntries removes entries that their holders no longer list, and promises that have expired.
func (o *ownerState) expireEntries(now time.Duration) {
	if o.returns != nil {
		o.returns.Expire(now)
	}
	for key, e := range o.entries {
		if now-e.confirmedAt >= AttemptTTL {
			o.abandon(key, now)
		}
	}
}
