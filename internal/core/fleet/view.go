package fleet

import (
	"slices"

	"monsoonlanding/internal/core/placement"
)

// View is the state of a service for which its fleet is planned.
type View struct {
	Upstreams []placement.Upstream
	// BusyEngines is the engine time that the requests take per unit of time, as a
	// number of fully used engines.
	BusyEngines float64
	// Surge is the same during a surge that the mean does not show yet, 0 without one.
	Surge float64
	// Evacuated holds the zones whose upstreams get no requests. They are no capacity, and none
	// are ordered or released there.
	Evacuated []string
	// KeepAll reports whether no upstream may be released, because a rollout runs
	// two versions side by side.
	KeepAll bool
}

// segment is one kind of upstream in one zone.
type segment struct {
	zone        string
	reclaimable bool
}

// counts holds a number of upstreams by segment.
type counts map[segment]int

// count returns the number of the service's ready upstreams by segment, outside evacuated zones.
func (p *Planner) count(v View) counts {
	c := make(counts)
	for _, u := range v.Upstreams {
		if u.Service == p.service && u.State == placement.StateReady && !slices.Contains(v.Evacuated, u.Zone) {
			c[segment{zone: u.Zone, reclaimable: u.Reclaimable}]++
		}
	}
	return c
}

// largestZone returns the highest number of reclaimable upstreams in any zone.
func (c counts) largestZone() int {
	largest := 0
	for s, count := range c {
		if s.reclaimable {
			largest = max(largest, count)
		}
	}
	return largest
}

// total returns the number of upstreams of one kind in all zones.
func (c counts) total(reclaimable bool) int {
	n := 0
	for s, count := range c {
		if s.reclaimable == reclaimable {
			n += count
		}
	}
	return n
}
