package dispatch

import (
	"bytes"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/catalog"
	"github.com/yarrowmast/yarrowmast/pkg/roster"
	"github.com/yarrowmast/yarrowmast/pkg/table"
)

// TestUnusableEntriesAreLogLimited checks that frequent unusable entries are all counted but
// only some are logged, and that usable entries stay in force.
func TestUnusableEntriesAreLogLimited(t *testing.T) {
	const perSecond, seconds = 100, 5
	var log bytes.Buffer
	d := New(Identity{Name: "r", Address: "10.0.0.1:7", Zone: "a", Incarnation: 1}, emptySource{}, &recordingTransport{}, WithLogger(slog.New(slog.NewTextHandler(&log, nil))))
	s := newState(d)
	good := catalog.Server{Revision: 2, Backend: table.Backend{Name: "good", Zone: "a", Address: "10.0.0.9:80", Models: []string{"reader"}, Slots: 8, Mark: table.Serving}}
	updateEvent{Update: catalog.Update{AsOf: 2, Table: &table.Table{Revision: 1}, Servers: []catalog.Server{good}}}.apply(s)
	for i := range perSecond * seconds {
		s.now += time.Second / perSecond
		bad := catalog.Server{Revision: uint64(3 + i), Unusable: catalog.Unusable{Reason: catalog.WrongType, Field: "slots"}, Backend: table.Backend{Name: "bad"}}
		updateEvent{Update: catalog.Update{After: uint64(2 + i), AsOf: uint64(3 + i), Servers: []catalog.Server{bad}}}.apply(s)
	}
	lines := strings.Count(log.String(), "msg=entry_unusable")
	if lines < seconds || lines > unusableLogLimit*(seconds+1) {
		t.Errorf("%d log lines", lines)
	}
	if !strings.Contains(log.String(), "backend=bad revision=3 reason=wrong-type field=slots") {
		t.Error("no log line names the entry, its revision and the reason")
	}
	list, count := s.unusableEntries()
	if count != 1 || len(list) != 1 || list[0] != (UnusableEntry{"bad", "wrong-type", "slots"}) || s.catalog.UnusableTotals()["wrong-type"] != perSecond*seconds {
		t.Errorf("unusable entries %v of %d, totals %v", list, count, s.catalog.UnusableTotals())
	}
	if b, ok := d.Table().Backend("good"); !ok || b.Mark != table.Serving || s.catalog.AsOf().Number != 2+perSecond*seconds {
		t.Errorf("the usable entry is %+v as of %d", b, s.catalog.AsOf().Number)
	}
}

// TestIsRouterAddress checks which addresses of directory entries lead back to a router.
func TestIsRouterAddress(t *testing.T) {
	tests := map[string]struct {
		address string
		want    bool
	}{
		"its own for callers":             {"10.0.0.1:8000", true},
		"its own for peers":               {"10.0.0.1:7", true},
		"another router's for callers":    {"10.0.0.2:8000", true},
		"another port on a router's host": {"10.0.0.2:9000", false},
		"a backend server's":              {"10.0.0.9:8000", false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			d := New(Identity{Name: "r", Address: "10.0.0.1:7", Zone: "a", Incarnation: 1, ListenAddresses: []string{"10.0.0.1:8000", "10.0.0.1:7"}}, emptySource{}, &recordingTransport{}, WithLogger(slog.New(slog.DiscardHandler)))
			s := newState(d)
			s.roster.Observe(s.now, roster.Member{Address: "10.0.0.2:7", Name: "q", Zone: "a", Incarnation: 1})
			if got := s.isRouterAddress(tc.address); got != tc.want {
				t.Errorf("%v, want %v", got, tc.want)
			}
		})
	}
}

// TestNotReadyReasonWithoutTable checks that a router without a usable table reports why, and
// applies the first usable one.
func TestNotReadyReasonWithoutTable(t *testing.T) {
	d := New(Identity{Name: "r", Address: "10.0.0.1:7", Zone: "a", Incarnation: 1}, emptySource{}, &recordingTransport{}, WithLogger(slog.New(slog.DiscardHandler)))
	s := newState(d)
	skipped := catalog.Skipped{Key: "config", Revision: 4, Unusable: catalog.Unusable{Reason: catalog.Unreadable, Field: "unexpected end"}}
	updateEvent{Update: catalog.Update{AsOf: 4, Skipped: []catalog.Skipped{skipped}}}.apply(s)
	err := d.Ready(t.Context())
	if err == nil || !strings.Contains(fmt.Sprint(err), "config at revision 4 cannot be used") {
		t.Errorf("not ready: %v", err)
	}
	updateEvent{Update: catalog.Update{After: 4, AsOf: 5, Table: &table.Table{Revision: 5}}}.apply(s)
	if err := d.Ready(t.Context()); err != nil {
		t.Error(err)
	}
}

// TestTextOfUnusableItemsIsBounded guards against an odd value of 1 MB that is logged, or shown to operators, as a whole.
func TestTextOfUnusableItemsIsBounded(t *testing.T) {
	const maxLog, maxText = 8 << 10, 4 << 10
	long := strings.Repeat("x", 1<<20)
	var log bytes.Buffer
	d := New(Identity{Name: "r", Address: "10.0.0.1:7", Zone: "a", Incarnation: 1}, emptySource{}, &recordingTransport{}, WithLogger(slog.New(slog.NewTextHandler(&log, nil))))
	s := newState(d)
	updateEvent{Update: catalog.Update{
		AsOf:    4,
		Skipped: []catalog.Skipped{{Key: long, Revision: 3, Unusable: catalog.Unusable{Reason: catalog.Unreadable, Field: long}, Table: true}},
		Servers: []catalog.Server{{Revision: 4, Unusable: catalog.Unusable{Reason: catalog.WrongType, Field: long}, Backend: table.Backend{Name: long}}},
	}}.apply(s)
	s.publishStatus()
	st := d.Status()
	if st.UnusableCount != 1 || len(st.Unusable[0].Backend)+len(st.Unusable[0].Field) > maxText {
		t.Errorf("the status shows %d unusable entries, with %d bytes of text", st.UnusableCount, len(st.Unusable[0].Backend)+len(st.Unusable[0].Field))
	}
	if st.RefusedTable != 3 || len(st.Refusal) > maxText || !strings.Contains(st.Refusal, "xxx... (1048576 bytes)") {
		t.Errorf("the status shows a refusal of %d bytes of revision %d", len(st.Refusal), st.RefusedTable)
	}
	if reason := fmt.Sprint(d.Ready(t.Context())); len(reason) > maxText {
		t.Errorf("the router says in %d bytes why it is not ready", len(reason))
	}
	if log.Len() > maxLog || strings.Count(log.String(), "_unusable") != 2 {
		t.Errorf("the log has %d bytes: %.200s", log.Len(), log.String())
	}
}
