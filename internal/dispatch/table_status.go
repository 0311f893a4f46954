package dispatch

import (
	"fmt"

	"github.com/yarrowmast/yarrowmast/pkg/catalog"
)

// refusedTable is a table that cannot be used.
type refusedTable struct {
	revision catalog.Revision
	reason   string
}

// recordRefusedTable records the newest table of an update that cannot be used.
func (s *state) recordRefusedTable(u *catalog.Update) {
	for _, x := range u.Skipped {
		revision := catalog.Revision{Epoch: u.Epoch, Number: x.Revision}
		if x.Table && s.refusedTable.revision.Before(revision) {
			s.refusedTable = refusedTable{revision, fmt.Sprintf("%s: %s %s", excerpt(x.Key), x.Unusable.Reason, excerpt(x.Unusable.Field))}
		}
	}
}

// setTableStatus adds the table in force, and a refused one of the current epoch.
func (s *state) setTableStatus(st *Status) {
	if r := s.refusedTable; r.revision.Number > 0 && r.revision.Epoch == s.catalog.AsOf().Epoch {
		st.RefusedTable, st.Refusal = r.revision.Number, r.reason
	}
	v := s.catalog.View()
	if v == nil {
		return
	}
	if s.tableSince == 0 || s.tableVersion != v.Version() {
		s.tableVersion, s.tableSince = v.Version(), s.now
	}
	st.Table, st.TableAgeMillis = v.Revision, (s.now - s.tableSince).Milliseconds()
}
