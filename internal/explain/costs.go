package explain

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/yarrowmast/yarrowmast/internal/logread"
)

const eventCost = "router_cost"

// roleCost is what the routers of a role spent.
type roleCost struct {
	routers            map[string]*routerCost
	processor, seconds float64
	bytes, bytesIn     int64
	messages, calls    int64
	byKind             map[string]*kindCost
}

// routerCost is what one router spent.
type routerCost struct {
	processor, seconds float64
	bytes              int64
	memoryKB           int64
}

// kindCost counts messages of a kind.
type kindCost struct{ messages, bytes int64 }

// Costs writes what the upkeep of a fleet costs, by the role of the routers and by kind of message: a
// router and second on average, and the router that spends most.
func Costs(out io.Writer, records []logread.Record) error {
	roles := map[string]*roleCost{}
	for i := range records {
		if r := &records[i]; r.Event == eventCost {
			addCost(roles, r)
		}
	}
	if len(roles) == 0 {
		return fmt.Errorf("no lines %s in these logs; each router writes one every 10 s at log_level info", eventCost)
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "role\trouters\tprocessor %\tbusiest %\tmemory MB\tmost MB\tsent kB/s\tbusiest kB/s\treceived kB/s\tmessages/s\tcalls/s")
	names := slices.Sorted(maps.Keys(roles))
	for _, name := range names {
		roles[name].write(w, name)
	}
	_, _ = fmt.Fprintln(w, "\nrole\tmessage\tmessages/s\tB/s\tB a message")
	for _, name := range names {
		roles[name].writeKinds(w, name)
	}
	return w.Flush()
}

func addCost(roles map[string]*roleCost, r *logread.Record) {
	role := roles[r.Fields["role"]]
	if role == nil {
		role = &roleCost{routers: map[string]*routerCost{}, byKind: map[string]*kindCost{}}
		roles[r.Fields["role"]] = role
	}
	router := role.routers[r.Router]
	if router == nil {
		router = &routerCost{}
		role.routers[r.Router] = router
	}
	seconds := (time.Duration(r.Int("period_ms")) * time.Millisecond).Seconds()
	processor := (time.Duration(r.Int("processor_ms")) * time.Millisecond).Seconds()
	role.seconds += seconds
	role.processor += processor
	role.bytes += r.Int("bytes")
	role.bytesIn += r.Int("bytes_in")
	role.messages += r.Int("messages")
	role.calls += r.Int("calls")
	router.seconds += seconds
	router.processor += processor
	router.bytes += r.Int("bytes")
	router.memoryKB = max(router.memoryKB, r.Int("memory_kb"))
	for part := range strings.SplitSeq(r.Fields["sent"], ",") {
		role.addKind(part)
	}
}

// addKind adds an entry of the field sent; others than KIND:MESSAGES:BYTES are left out.
func (c *roleCost) addKind(entry string) {
	fields := strings.Split(entry, ":")
	if len(fields) != 3 {
		return
	}
	messages, err := strconv.ParseInt(fields[1], 10, 64)
	if err != nil {
		return
	}
	bytes, err := strconv.ParseInt(fields[2], 10, 64)
	if err != nil {
		return
	}
	kind := c.byKind[fields[0]]
	if kind == nil {
		kind = &kindCost{}
		c.byKind[fields[0]] = kind
	}
	kind.messages += messages
	kind.bytes += bytes
}

const (
	percent  = 100
	kilobyte = 1e3
	// kbPerMB converts the field memory_kb.
	kbPerMB = 1 << 10
)

func (c *roleCost) write(w io.Writer, name string) {
	busiest, busiestBytes, most, sum := 0.0, 0.0, int64(0), int64(0)
	for _, r := range c.routers {
		if r.seconds > 0 {
			busiest = max(busiest, r.processor/r.seconds)
			busiestBytes = max(busiestBytes, float64(r.bytes)/r.seconds)
		}
		most = max(most, r.memoryKB)
		sum += r.memoryKB
	}
	perSecond := func(n int64) float64 { return float64(n) / max(c.seconds, 1) }
	_, _ = fmt.Fprintf(w, "%s\t%d\t%.2f\t%.2f\t%.1f\t%.1f\t%.2f\t%.1f\t%.2f\t%.1f\t%.3f\n", name, len(c.routers),
		percent*c.processor/max(c.seconds, 1), percent*busiest, float64(sum)/kbPerMB/float64(len(c.routers)), float64(most)/kbPerMB,
		perSecond(c.bytes)/kilobyte, busiestBytes/kilobyte, perSecond(c.bytesIn)/kilobyte, perSecond(c.messages), perSecond(c.calls))
}

func (c *roleCost) writeKinds(w io.Writer, name string) {
	kinds := slices.SortedFunc(maps.Keys(c.byKind), func(a, b string) int {
		return cmp.Or(cmp.Compare(c.byKind[b].bytes, c.byKind[a].bytes), cmp.Compare(a, b))
	})
	for _, kind := range kinds {
		k := c.byKind[kind]
		_, _ = fmt.Fprintf(w, "%s\t%s\t%.2f\t%.1f\t%.1f\n", name, kind, float64(k.messages)/max(c.seconds, 1), float64(k.bytes)/max(c.seconds, 1), float64(k.bytes)/float64(max(k.messages, 1)))
	}
}
