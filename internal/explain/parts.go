package explain

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/yarrowmast/yarrowmast/internal/logread"
	"github.com/yarrowmast/yarrowmast/pkg/admit"
)

// slot is the length in which requests are counted, so that a window slides by it.
const slot = time.Second

// usage is what the accounts asked for and began in one slot.
type usage struct {
	asked, begun map[string]float64
	// refused counts the requests that were refused, by account.
	refused map[string]int
}

// part is what an account that waited all through a window got.
type part struct {
	at            time.Time
	account, best string
	// asked, begun and bestBegun are in tokens; of is begun of what it could have, which
	// is the lesser of the other two in each slot.
	asked, begun, bestBegun, of float64
}

// LeastServed writes the least parts of the best served account's work that accounts got in
// any window of a length, which is a whole number of seconds, in which some request of
// theirs was refused in every second. Requests count where they come, and for what they
// begin where they were sent to a backend server.
func LeastServed(w io.Writer, records []logread.Record, window time.Duration, most int) error {
	slots := int(window / slot)
	if slots < 1 || window%slot != 0 {
		return fmt.Errorf("a window of %s cannot be counted; give whole seconds, such as 6s", window)
	}
	parts := leastParts(usageBySlot(records), slots)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(t, "from\taccount\tpart\tasked\tbegun\tbest\tbegun by it\n")
	for _, p := range parts[:min(most, len(parts))] {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%.2f\t%.0f\t%.0f\t%s\t%.0f\n", p.at.Format("15:04:05"), p.account, p.of, p.asked, p.begun, p.best, p.bestBegun)
	}
	return t.Flush()
}

// usageBySlot counts what was asked for and begun.
func usageBySlot(records []logread.Record) map[int64]*usage {
	type request struct {
		account string
		cost    float64
	}
	requests := map[string]request{}
	slots := map[int64]*usage{}
	at := func(t time.Time) *usage {
		n := t.UnixNano() / int64(slot)
		if slots[n] == nil {
			slots[n] = &usage{asked: map[string]float64{}, begun: map[string]float64{}, refused: map[string]int{}}
		}
		return slots[n]
	}
	for i := range records {
		r := &records[i]
		cost := admit.Cost(r.Int("prompt"), r.Int("output"))
		if r.Event != eventEnd || r.Fields["account"] == "" || cost == 0 {
			continue
		}
		x := request{account: r.Fields["account"], cost: cost}
		requests[r.Fields["request"]] = x
		u := at(beginOf(r))
		u.asked[x.account] += cost
		if r.Fields["code"] != "" && r.Fields["code"] != "caller-gone" {
			u.refused[x.account]++
		}
	}
	for i := range records {
		r := &records[i]
		if x, ok := requests[r.Fields["request"]]; ok && r.Event == eventAttempt && r.Fields["sent"] == "true" {
			at(beginOf(r)).begun[x.account] += x.cost
		}
	}
	return slots
}

// beginOf returns when what a line tells the end of began.
func beginOf(r *logread.Record) time.Time {
	return r.Time.Add(-time.Duration(r.Int("total_ms")) * time.Millisecond)
}

// leastParts returns the parts of all accounts that waited all through some window, the
// least first.
func leastParts(bySlot map[int64]*usage, slots int) []part {
	var parts []part
	for _, first := range slices.Sorted(maps.Keys(bySlot)) {
		if all := windowFrom(bySlot, first, slots); all != nil {
			parts = append(parts, partsOf(all, time.Unix(0, first*int64(slot)).UTC())...)
		}
	}
	slices.SortStableFunc(parts, func(a, b part) int { return cmp.Or(cmp.Compare(a.of, b.of), cmp.Compare(a.account, b.account)) })
	return parts
}

// windowFrom returns the slots of a window, nil if nothing came in one of them.
func windowFrom(bySlot map[int64]*usage, first int64, slots int) []*usage {
	var all []*usage
	for n := first; n < first+int64(slots); n++ {
		if bySlot[n] == nil {
			return nil
		}
		all = append(all, bySlot[n])
	}
	return all
}

// partsOf returns the parts of the accounts that waited in every slot of a window.
func partsOf(all []*usage, at time.Time) []part {
	asked, begun, waited := map[string]float64{}, map[string]float64{}, map[string]int{}
	for _, u := range all {
		for account, n := range u.asked {
			asked[account] += n
		}
		for account, n := range u.begun {
			begun[account] += n
		}
		for account := range u.refused {
			waited[account]++
		}
	}
	best := ""
	for _, account := range slices.Sorted(maps.Keys(begun)) {
		if begun[account] > begun[best] {
			best = account
		}
	}
	var parts []part
	for _, account := range slices.Sorted(maps.Keys(waited)) {
		if waited[account] == len(all) && best != "" {
			p := part{at: at, account: account, best: best, asked: asked[account], begun: begun[account], bestBegun: begun[best]}
			if could := couldHave(all, account, best); could > 0 {
				p.of = p.begun / could
				parts = append(parts, p)
			}
		}
	}
	return parts
}

// couldHave returns how much an account could have got in a window: in each slot what it
// asked for, and no more than the best served account got.
func couldHave(all []*usage, account, best string) float64 {
	could := 0.0
	for _, u := range all {
		could += min(u.asked[account], u.begun[best])
	}
	return could
}
