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
	// usual is the median of the usable members' stretches, as a logarithm.
	usual float64
	// overloaded is set while more than half of the usable members miss their goals: that is a load, and no
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

// NeedsRefresh reports whether the estimates were not computed just before.
func (g *Group) NeedsRefresh(now time.Time) bool {
	age := now.Sub(g.refreshedAt)
	return age < 0 || age >= refreshInterval
}

// Refresh computes the estimates of all members, unless that was done just before.
func (g *Group) Refresh(now time.Time) {
	if !g.NeedsRefresh(now) {
		return
	}
	g.refreshedAt = now
	g.usual = g.median(now)
	g.overloaded = g.isOverloaded(now)
	g.hasSlow = false
	for _, e := range g.members {
		e.refresh(now)
		g.hasSlow = g.hasSlow || !e.unusable && e.IsSlow()
	}
}

// HasSlow reports whether a usable member is slow.
func (g *Group) HasSlow() bool { return g.hasSlow }

func (g *Group) isOverloaded(now time.Time) bool {
	missing, usable := 0, 0
	for _, e := range g.members {
		if e.unusable {
			continue
		}
		usable++
		if e.isMissing(now) {
			missing++
		}
	}
	return 2*missing > usable
}

// median returns the median of the usable members' stretches. An upstream without samples counts as
// usual, so that a few slow ones are not the measure of a service whose other upstreams nobody
// reports.
func (g *Group) median(now time.Time) float64 {
	g.buffer = g.buffer[:0]
	for _, e := range g.members {
		if !e.unusable {
			g.buffer = append(g.buffer, e.stretch(now))
		}
	}
	if len(g.buffer) == 0 {
		return 0
	}
	slices.Sort(g.buffer)
	return g.buffer[(len(g.buffer)-1)/2]
}
