package catalog

// ServiceVersion is a software version that a backend server of a service ran.
type ServiceVersion struct{ Service, Version string }

// ListedVersions returns the software versions in changes of the directory. unknown is the number of entries
// whose version the changes do not state and which are not among the entries that are known: those removed
// after the revision number knownAfter.
func ListedVersions(changes []Server, knownAfter uint64) (versions []ServiceVersion, unknown int) {
	stated, listed := map[string]bool{}, map[ServiceVersion]bool{}
	for i := range changes {
		s := &changes[i]
		if s.Gone || s.Unusable.IsSet() || s.Backend.VersionUnknown {
			continue
		}
		stated[s.Backend.Name] = true
		for _, service := range s.Backend.Models {
			v := ServiceVersion{Service: service, Version: s.Backend.Version}
			if !listed[v] {
				listed[v] = true
				versions = append(versions, v)
			}
		}
	}
	counted := map[string]bool{}
	for i := range changes {
		s := &changes[i]
		name := s.Backend.Name
		if stated[name] || counted[name] || s.Revision > knownAfter {
			continue
		}
		counted[name] = true
		unknown++
	}
	return versions, unknown
}
