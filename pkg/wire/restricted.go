package wire

import (
	"github.com/yarrowmast/yarrowmast/pkg/catalog"
	"github.com/yarrowmast/yarrowmast/pkg/table"
)

// RestrictedUpdate is a PlatformUpdate whose tables restrict requests to some regions. Routers that
// do not know this type skip it, and read such a table themselves.
type RestrictedUpdate struct {
	Update catalog.Update
	// Table and Retained are the restrictions of the update's table and of its retained table.
	Table, Retained table.Restrictions
}

// NewPlatformUpdate returns the message that carries an update. The message must not be modified.
func NewPlatformUpdate(u catalog.Update) any {
	retained := retainedTable(&u)
	if !limitsRegions(u.Table) && !limitsRegions(retained) {
		return &PlatformUpdate{Update: u}
	}
	m := &RestrictedUpdate{Update: u}
	if u.Table != nil {
		m.Table = u.Table.Restrictions()
	}
	if retained != nil {
		m.Retained = retained.Restrictions()
	}
	return m
}

// Restore applies the restrictions to the tables of a received update and returns it.
func (m *RestrictedUpdate) Restore() catalog.Update {
	if m.Update.Table != nil {
		m.Update.Table.Restrict(m.Table)
	}
	if t := retainedTable(&m.Update); t != nil {
		t.Restrict(m.Retained)
	}
	return m.Update
}

func limitsRegions(t *table.Table) bool { return t != nil && t.LimitsRegions() }

func retainedTable(u *catalog.Update) *table.Table {
	if u.Retained == nil {
		return nil
	}
	return u.Retained.Table
}
