package admit

import (
	"math"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// rate is a flow of tokens, faded over a time constant.
type rate struct {
	value float64
	at    time.Duration
	// over is the time constant, 0 for rateTime.
	over time.Duration
}

// latelyTime is the time constant of what was asked lately.
const latelyTime = 250 * time.Millisecond

// rateTime is the time constant of rates: short against the seconds for which
// an account may be treated unevenly, long against single requests.
const rateTime = time.Second

func (r *rate) fade(now time.Duration) {
	if d := now - r.at; d > 0 {
		r.value *= math.Exp(-d.Seconds() / r.timeConstant().Seconds())
		r.at = now
	}
}

// add counts tokens that flow now.
func (r *rate) add(now time.Duration, tokens float64) {
	r.fade(now)
	r.value += tokens / r.timeConstant().Seconds()
}

func (r *rate) timeConstant() time.Duration {
	if r.over > 0 {
		return r.over
	}
	return rateTime
}

// get returns the flow in tokens a second.
func (r *rate) get(now time.Duration) float64 {
	r.fade(now)
	return r.value
}

// flow is what an account asks and gets, in tokens a second.
type flow struct {
	asked, begun float64
}

// account is a client account as this router sees it.
type account struct {
	asked, begun rate
	// lately is what was asked here in the last moment, to notice a flood that ebbs.
	lately rate
	// others is the sum of what other routers last told.
	others flow
}

// accounts shares out the engines' tokens among accounts, each as much as it
// asks up to a level that is the same for all.
type accounts struct {
	by       map[wire.NameHash]*account
	capacity float64
	level    float64
	leveled  time.Duration
}

func newAccounts() *accounts { return &accounts{by: map[wire.NameHash]*account{}, level: math.Inf(1)} }

func (as *accounts) get(key wire.NameHash) *account {
	a, ok := as.by[key]
	if !ok {
		a = &account{lately: rate{over: latelyTime}}
		as.by[key] = a
	}
	return a
}

func (a *account) flow(now time.Duration) flow {
	return flow{
		asked: a.asked.get(now) + a.others.asked,
		begun: a.begun.get(now) + a.others.begun,
	}
}

// count adds what a router told to the sums, or takes it away.
func (as *accounts) count(flows map[wire.NameHash]flow, sign float64) {
	for key, f := range flows {
		a := as.get(key)
		a.others.asked = max(0, a.others.asked+sign*f.asked)
		a.others.begun = max(0, a.others.begun+sign*f.begun)
	}
}

// own returns this router's own flows.
func (as *accounts) own(now time.Duration) map[wire.NameHash]flow {
	flows := make(map[wire.NameHash]flow, len(as.by))
	for key, a := range as.by {
		f := flow{asked: a.asked.get(now), begun: a.begun.get(now)}
		if f.asked >= 1 || f.begun >= 1 {
			flows[key] = f
		}
	}
	return flows
}

// unbounded is the level where all get what they ask.
var unbounded = math.Inf(1)

// levelEvery is how often the level is worked out anew.
const levelEvery = 50 * time.Millisecond

// over returns by how many times an account's service exceeds the level.
func (as *accounts) over(key wire.NameHash, now time.Duration) float64 {
	as.refresh(now)
	begun := as.get(key).flow(now).begun
	if math.IsInf(as.level, 1) || as.level <= 0 {
		return 0
	}
	return begun / as.level
}

// backlogged reports whether an account asks for more than the level.
func (as *accounts) backlogged(key wire.NameHash, now time.Duration) bool {
	as.refresh(now)
	return as.get(key).flow(now).asked > as.level
}

// refresh works the level out anew where that is due.
func (as *accounts) refresh(now time.Duration) {
	if now-as.leveled >= levelEvery {
		as.leveled = now
		as.level = as.workOut(now)
	}
}

// tryOver is how many times its level an account may try to get, since some of what
// it tries finds no place. Learned from how many found none, up to four times, it
// earned nothing (worth 0.759 and 0.766 of one, at 85 routers, one loaded day each).
const tryOver = 1.5

// AdmitFractions returns the accounts that ask for much more than they can get, and
// the part of their requests that is to be tried; the rest has no chance and
// is best refused before any work is spent on it.
func (c *Core) AdmitFractions(now time.Duration) map[wire.NameHash]float64 {
	as := c.accounts
	as.refresh(now)
	if math.IsInf(as.level, 1) || as.level <= 0 {
		return nil
	}
	var parts map[wire.NameHash]float64
	behind := as.someoneIsBehind(now)
	for key, a := range as.by {
		f := a.flow(now)
		asked, tries := a.askedNow(now, f), tryOver*as.level
		if behind && f.begun > as.level {
			tries = as.level
		}
		if key == 0 || asked <= tries {
			continue
		}
		if parts == nil {
			parts = map[wire.NameHash]float64{}
		}
		parts[key] = tries / asked
	}
	return parts
}

// laggingPart of the level is what an account that waits must have begun at least for
// others to try to get more than their level. The promise is half of the best served one's.
const laggingPart = 0.7

// laggingFrom is the part of the level that such an account asks for at least: the flows of
// small ones are a request now and then, of which each waits for some time.
const laggingFrom = 0.5

// someoneIsBehind reports whether an account that waits has begun so little of its level,
// as when its callers reach few small routers, that no other may have more than the level:
// what the engines have left then would only make the gap wider.
func (as *accounts) someoneIsBehind(now time.Duration) bool {
	for key, a := range as.by {
		f := a.flow(now)
		if key != 0 && f.asked > waitsFrom*f.begun && f.asked >= laggingFrom*as.level && f.begun < laggingPart*min(f.asked, as.level) {
			return true
		}
	}
	return false
}

// CountRefused counts what was asked for by requests that were refused unseen.
func (c *Core) CountRefused(now time.Duration, account wire.NameHash, tokens float64) {
	c.accounts.get(account).ask(now, tokens)
}

// ask counts what is asked for here.
func (a *account) ask(now time.Duration, tokens float64) {
	a.asked.add(now, tokens)
	a.lately.add(now, tokens)
}

// ebbing is the part of what was asked here over rateTime below which less that is asked
// lately means that a flood ebbs, and not that its requests come in clumps.
const ebbing = 0.7

// askedNow returns what an account asks for all over the fleet, of which what is asked
// here as it is by now: where all of its callers come here, its share would else be taken
// of what it asked a second ago, and a third of its requests refused though it asks for
// less than the level (295 routers, seconds after a flood).
func (a *account) askedNow(now time.Duration, f flow) float64 {
	own, lately := a.asked.get(now), a.lately.get(now)
	if lately >= ebbing*own {
		return f.asked
	}
	return f.asked - own + lately
}

// Cost is what a request counts as for its account, in tokens.
func Cost(prompt, output int64) float64 { return float64(prompt + outputCost*output) }

// workOut returns the level up to which what accounts ask adds up to what
// they are given all together.
func (as *accounts) workOut(now time.Duration) float64 {
	asks := make([]float64, 0, len(as.by))
	total, small := 0.0, 0.0
	for key, a := range as.by {
		f := a.flow(now)
		total += f.begun
		if key == 0 {
			// Many accounts told as one: each asks less than those told singly.
			small = f.asked
			continue
		}
		if f.asked > 0 {
			asks = append(asks, max(f.asked, f.begun))
		}
	}
	total = max(total, as.capacity)
	return fill(asks, max(0, total-small))
}
