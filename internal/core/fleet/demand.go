package fleet

import (
	"math"
	"time"
)

const (
	// demandRetention is the retention period of the peak demand. It is this long
	// because load varies within tens of seconds and reclaimable upstreams are
	// cheap.
	demandRetention = 30 * time.Second
	// minObservation is the time from the first load until the observed work is
	// assumed to be the whole load.
	minObservation = 10 * time.Second
	// minWork is the minimum work, in engines, that counts as load.
	minWork = 0.5
)

// demand tracks the number of upstreams that the load requires. Its zero value
// is ready to use.
type demand struct {
	// peak is the highest demand of the retention period, reached at peakAt.
	peak   int
	peakAt time.Time
	// startedAt is when the planner started.
	startedAt time.Time
	// initial is the number of upstreams that existed when the planner started,
	// or appeared without an order before the first load.
	initial int
	// initialReclaimable is the number of reclaimable ones among them.
	initialReclaimable int
	// firstLoadAt is when load was first observed.
	firstLoadAt time.Time
}

// recordInitial updates the number of initial upstreams until there is load. At
// the start of a deployment on-demand upstreams appear one after the other.
func (d *demand) recordInitial(now time.Time, ready counts) {
	if d.startedAt.IsZero() {
		d.startedAt, d.initialReclaimable = now, ready.total(true)
	}
	if d.firstLoadAt.IsZero() {
		d.initial = max(d.initial, d.initialReclaimable+ready.total(false))
	}
}

// update returns the number of upstreams required by the recent work, with
// spare capacity for bursts. Until the load is known, the initial upstreams are
// assumed to be required, less one zone's part.
func (d *demand) update(now time.Time, work float64, zones int) int {
	if d.firstLoadAt.IsZero() && work >= minWork {
		d.firstLoadAt = now
	}
	current := max(int(math.Ceil(work/targetUtilization)), minPerZone*(zones-1), 1)
	if !d.loadKnown(now) {
		current = max(current, d.initial*(zones-1)/zones)
	}
	if current >= d.peak || now.Sub(d.peakAt) > demandRetention {
		d.peak, d.peakAt = current, now
	}
	return d.peak
}

// loadKnown reports whether the load has been observed for minObservation, or
// there has been none for demandRetention since the start.
func (d *demand) loadKnown(now time.Time) bool {
	if d.firstLoadAt.IsZero() {
		return now.Sub(d.startedAt) > demandRetention
	}
	return now.Sub(d.firstLoadAt) > minObservation
}
