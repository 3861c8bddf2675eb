package fleet

import (
	"math"
	"time"
)

const (
	// needMemory is how long the greatest need of late holds; load swings
	// within tens of seconds, and reclaimable upstreams are cheap.
	needMemory = 30 * time.Second
	// learnTime is how long the work is watched before it is taken for all the
	// work there is.
	learnTime = 10 * time.Second
	// leastWork is the work, in engines, that counts as load.
	leastWork = 0.5
)

// need is how many upstreams the load takes. Its zero value knows nothing.
type need struct {
	// count is the greatest need since countAt, or the present one.
	count   int
	countAt time.Time
	// startAt is when the planner started; found counts the upstreams that were
	// there then, or have appeared since without an order.
	startAt time.Time
	found   int
	// reclaimable counts those of found that were reclaimable.
	reclaimable int
	// loadAt is when load was first seen.
	loadAt time.Time
}

// find notes the upstreams that were there before any order. On-demand ones
// appear one after the other at the start of a deployment.
func (n *need) find(now time.Time, alive counts) {
	if n.startAt.IsZero() {
		n.startAt, n.reclaimable = now, alive.total(true)
	}
	if n.loadAt.IsZero() {
		n.found = max(n.found, n.reclaimable+alive.total(false))
	}
}

// update returns the upstreams that the work of late takes with room for
// bursts. Until the load is known, what was found is taken as needed.
func (n *need) update(now time.Time, work float64, zones int) int {
	if n.loadAt.IsZero() && work >= leastWork {
		n.loadAt = now
	}
	present := max(int(math.Ceil(work/targetUse)), leastPerZone*(zones-1), 1)
	if !n.learnt(now) {
		present = max(present, n.found*(zones-1)/zones)
	}
	if present >= n.count || now.Sub(n.countAt) > needMemory {
		n.count, n.countAt = present, now
	}
	return n.count
}

// learnt reports whether the load has been watched for long, or none has come
// for long.
func (n *need) learnt(now time.Time) bool {
	if n.loadAt.IsZero() {
		return now.Sub(n.startAt) > needMemory
	}
	return now.Sub(n.loadAt) > learnTime
}
