package catalog

// AddRemovals adds to a full update the removals among later changes of items that it does not list. A platform that
// was restored from a backup lists neither what the backup lacks nor what was removed since; its history has the
// removals only.
func (u *Update) AddRemovals(changes *Update) {
	listed := map[string]bool{}
	for i := range u.Servers {
		listed[u.Servers[i].Backend.Name] = true
	}
	for _, s := range changes.Servers {
		if s.Gone && s.Revision <= u.AsOf && !listed[s.Backend.Name] {
			u.Servers = append(u.Servers, s)
		}
	}
	closed := map[string]bool{}
	for _, z := range u.Zones {
		closed[z.Name] = true
	}
	for _, z := range changes.Zones {
		if !z.Closed && z.Revision <= u.AsOf && !closed[z.Name] {
			u.Zones = append(u.Zones, z)
		}
	}
}
