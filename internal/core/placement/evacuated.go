package placement

// SetEvacuated sets the availability zones to whose upstreams nothing may be sent. They keep their
// load, health and cached prompt parts.
func (s *Set) SetEvacuated(zones []string) {
	s.evacuated = make(map[string]bool, len(zones))
	for _, zone := range zones {
		s.evacuated[zone] = true
	}
}

// IsEvacuated reports whether nothing may be sent to the upstreams of a zone.
func (s *Set) IsEvacuated(zone string) bool { return s.evacuated[zone] }

// CountEvacuated returns the number of upstreams of a service that would accept new requests if
// their zones weren't evacuated.
func (s *Set) CountEvacuated(service string) int {
	n := 0
	for _, m := range s.members {
		if m.Service == service && m.State == StateReady && s.evacuated[m.Zone] {
			n++
		}
	}
	return n
}
