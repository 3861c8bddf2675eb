package evacuation

import (
	"slices"
	"strings"
	"time"

	"monsoonlanding/internal/core/store"
)

// Retention is the time for which a zone that was taken back is remembered, and for which one
// stays evacuated whose order the store has lost.
const Retention = 10 * time.Minute

// Mark is the state of a zone at a revision of the store.
type Mark struct {
	Zone string `cbor:"1,keyasint"`
	// Back is set if the zone is not evacuated, or no longer.
	Back       bool  `cbor:"2,keyasint,omitempty"`
	Generation int64 `cbor:"3,keyasint,omitempty"`
	Revision   int64 `cbor:"4,keyasint"`
}

// At returns the revision of the store at which the mark is true.
func (m Mark) At() store.Revision {
	return store.Revision{Generation: m.Generation, Number: m.Revision}
}

// Change is a change of a zone's state here.
type Change struct {
	Mark
	// Lost is set if the restored store lacks the order of a zone, which stays evacuated.
	Lost bool
}

// Register holds the marks of zones.
type Register struct {
	marks map[string]*mark
	// known is the revision up to which this node's own reads are complete.
	known store.Revision
	read  bool
}

type mark struct {
	Mark
	// since is when the zone was taken back or its order was lost, zero for a zone whose
	// order is in the store.
	since time.Time
}

// New returns a register that knows no evacuated zone.
func New() *Register { return &Register{marks: make(map[string]*mark)} }

// Read reports whether the orders in the store have been read.
func (r *Register) Read() bool { return r.read }

// Listed processes the complete list of the zones whose orders were in the store at a revision.
// A list that a later read has overtaken changes nothing.
func (r *Register) Listed(now time.Time, at store.Revision, zones []string) []Change {
	if at.Before(r.known) {
		return nil
	}
	r.read = true
	changes := r.put(now, at, zones)
	for _, m := range r.sorted() {
		switch {
		case m.Back || slices.Contains(zones, m.Zone):
		case m.Generation == at.Generation:
			changes = append(changes, r.set(now, newMark(m.Zone, true, at))...)
		case m.since.IsZero() && m.At().Before(at):
			m.since = now
			changes = append(changes, Change{Mark: m.Mark, Lost: true})
		}
	}
	r.complete(at)
	return changes
}

// complete records that all zones are as marked at a revision.
func (r *Register) complete(at store.Revision) {
	r.known = at
	for _, m := range r.marks {
		if m.Generation == at.Generation {
			m.Revision = max(m.Revision, at.Number)
		}
	}
}

// Changed processes the orders that were put or removed up to a revision, after one that this
// node has read.
func (r *Register) Changed(now time.Time, at store.Revision, put, removed []string) []Change {
	if at.Before(r.known) {
		return nil
	}
	changes := r.put(now, at, put)
	for _, zone := range removed {
		if r.marks[zone] != nil {
			changes = append(changes, r.set(now, newMark(zone, true, at))...)
		}
	}
	r.complete(at)
	return changes
}

func (r *Register) put(now time.Time, at store.Revision, zones []string) []Change {
	var changes []Change
	for _, zone := range zones {
		changes = append(changes, r.set(now, newMark(zone, false, at))...)
	}
	return changes
}

// Reported processes a peer's marks. A zone that was evacuated before this node's own latest read of
// the same generation, which has no order for it, has been taken back: the peer learns that from
// this node's mark.
func (r *Register) Reported(now time.Time, marks []Mark) []Change {
	var changes []Change
	for _, m := range marks {
		if m.Zone == "" {
			continue
		}
		if !m.Back && m.Generation == r.known.Generation && m.At().Before(r.known) {
			m = newMark(m.Zone, true, r.known)
		}
		changes = append(changes, r.set(now, m)...)
	}
	return changes
}

func newMark(zone string, back bool, at store.Revision) Mark {
	return Mark{Zone: zone, Back: back, Generation: at.Generation, Revision: at.Number}
}

// set sets a mark unless one at a later revision is known, and returns the change of the zone's
// state, if there is one.
func (r *Register) set(now time.Time, m Mark) []Change {
	own := r.marks[m.Zone]
	if own != nil && m.At().Compare(own.At()) <= 0 {
		return nil
	}
	wasBack := own == nil || own.Back
	next := &mark{Mark: m}
	if m.Back {
		next.since = now
		if own != nil && own.Back {
			next.since = own.since
		}
	}
	r.marks[m.Zone] = next
	if wasBack == m.Back {
		return nil
	}
	return []Change{{Mark: m}}
}

// Expire forgets the zones that were taken back long ago, and returns those whose orders the
// store has lost as long ago as taken back.
func (r *Register) Expire(now time.Time) []Change {
	var changes []Change
	for _, m := range r.sorted() {
		if m.since.IsZero() || now.Sub(m.since) < Retention {
			continue
		}
		if m.Back {
			delete(r.marks, m.Zone)
			continue
		}
		changes = append(changes, r.set(now, newMark(m.Zone, true, r.known))...)
	}
	return changes
}

// Zones returns the evacuated zones in order of name.
func (r *Register) Zones() []string {
	var zones []string
	for _, m := range r.sorted() {
		if !m.Back {
			zones = append(zones, m.Zone)
		}
	}
	return zones
}

// Report returns the marks, for the peers.
func (r *Register) Report() []Mark {
	var marks []Mark
	for _, m := range r.sorted() {
		marks = append(marks, m.Mark)
	}
	return marks
}

func (r *Register) sorted() []*mark {
	list := make([]*mark, 0, len(r.marks))
	for _, m := range r.marks {
		list = append(list, m)
	}
	slices.SortFunc(list, func(a, b *mark) int { return strings.Compare(a.Zone, b.Zone) })
	return list
}
