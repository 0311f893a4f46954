package explain

import (
	"slices"
	"time"

	"github.com/yarrowmast/yarrowmast/internal/logread"
)

// eventTable is logged when a version of the table comes into force.
const eventTable = "table_in_force"

// align returns how far the clock of each router is ahead of one router's. A
// version comes into force at all routers within milliseconds, so the middle
// of the differences between their lines of the same version is the clocks'.
func align(records []logread.Record, to string) map[string]time.Duration {
	own := map[string]time.Time{}
	for _, r := range records {
		if r.Event == eventTable && r.Router == to {
			own[versionOf(r)] = r.Time
		}
	}
	differences := map[string][]time.Duration{}
	for _, r := range records {
		if at, ok := own[versionOf(r)]; r.Event == eventTable && ok {
			differences[r.Router] = append(differences[r.Router], r.Time.Sub(at))
		}
	}
	ahead := make(map[string]time.Duration, len(differences))
	for router, list := range differences {
		slices.Sort(list)
		ahead[router] = list[len(list)/2]
	}
	return ahead
}

// versionOf names what came into force: backend servers change without a new
// revision of the table.
func versionOf(r logread.Record) string { return r.Fields["revision"] + "/" + r.Fields["as_of"] }
