package table

import "fmt"

// ZoneMark is the state that operators assign to an availability zone.
type ZoneMark string

// The marks of availability zones.
const (
	// ZoneOpen lets the zone's backend servers take requests as their own marks allow.
	ZoneOpen ZoneMark = "open"
	// ZoneClosed keeps new requests from the zone's backend servers. Running requests
	// complete.
	ZoneClosed ZoneMark = "closed"
)

// ZoneRow is the row of an availability zone that operators have marked.
type ZoneRow struct {
	// Name is unique among zones and not empty.
	Name string `yaml:"name" json:"name"`
	// Mark is the operators' mark. Default open.
	Mark ZoneMark `yaml:"mark" json:"mark"`
}

// ZoneIsClosed reports whether operators have closed an availability zone. A zone
// without a row is open.
func (t *Table) ZoneIsClosed(name string) bool { return t.closedZones[name] }

// ClosedZones returns the names of the closed availability zones in table order.
func (t *Table) ClosedZones() []string {
	var names []string
	for _, z := range t.Zones {
		if z.Mark == ZoneClosed {
			names = append(names, z.Name)
		}
	}
	return names
}

// AcceptsRequests reports whether the marks of the backend server and of its availability zone
// allow new requests.
func (t *Table) AcceptsRequests(b *Backend) bool {
	return b.Mark == Serving && !t.ZoneIsClosed(b.Zone)
}

func (t *Table) indexZones() {
	t.closedZones = make(map[string]bool, len(t.Zones))
	for _, name := range t.ClosedZones() {
		t.closedZones[name] = true
	}
}

func (c *checker) zone(i int, z *ZoneRow) {
	c.name("availability zone", z.Name, "zones", i, "name")
	switch z.Mark {
	case "":
		z.Mark = ZoneOpen
	case ZoneOpen, ZoneClosed:
	default:
		c.doc.Add(fmt.Sprintf("%q is unknown; write open or closed", z.Mark), "zones", i, "mark")
	}
}
