package capacity

import (
	"slices"
	"time"
)

// refreshInterval is the time after which the estimates of a group are computed again.
const refreshInterval = 100 * time.Millisecond

// Group holds the estimators of a service's upstreams. Its zero value is empty.
type Group struct {
	members []*Estimator
	// usual is the median of the members' stretches, as a logarithm.
	usual float64
	// overloaded is set while more than half of the members miss their goals: that is a load, and no
	// upstream's room is to blame.
	overloaded  bool
	hasSlow     bool
	refreshedAt time.Time
	// buffer is reused between two refreshes.
	buffer []float64
}

// Add adds the estimator of an upstream.
func (g *Group) Add() *Estimator {
	e := &Estimator{group: g, room: newRoom(), factor: 1, available: 1}
	g.members = append(g.members, e)
	return e
}

// Remove removes the estimator of an upstream that is gone.
func (g *Group) Remove(e *Estimator) {
	g.members = slices.DeleteFunc(g.members, func(other *Estimator) bool { return other == e })
}

// Refresh computes the estimates of all members, unless that was done just before.
func (g *Group) Refresh(now time.Time) {
	if age := now.Sub(g.refreshedAt); age >= 0 && age < refreshInterval {
		return
	}
	g.refreshedAt = now
	g.usual = g.median(now)
	g.overloaded = g.isOverloaded(now)
	g.hasSlow = false
	for _, e := range g.members {
		e.refresh(now)
		g.hasSlow = g.hasSlow || e.IsSlow()
	}
}

// HasSlow reports whether a member is slow.
func (g *Group) HasSlow() bool { return g.hasSlow }

func (g *Group) isOverloaded(now time.Time) bool {
	missing := 0
	for _, e := range g.members {
		if e.isMissing(now) {
			missing++
		}
	}
	return 2*missing > len(g.members)
}

// median returns the median of the members' stretches. An upstream without samples counts as
// usual, so that a few slow ones are not the measure of a service whose other upstreams nobody
// reports.
func (g *Group) median(now time.Time) float64 {
	if len(g.members) == 0 {
		return 0
	}
	g.buffer = g.buffer[:0]
	for _, e := range g.members {
		g.buffer = append(g.buffer, e.stretch(now))
	}
	slices.Sort(g.buffer)
	return g.buffer[(len(g.buffer)-1)/2]
}
