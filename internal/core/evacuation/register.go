package evacuation

import (
	"maps"
	"slices"
	"strings"
	"time"

	"monsoonlanding/internal/core/store"
)

// Retention is the time for which the end of an evacuation is remembered, and for which a zone
// stays evacuated whose order the store has lost.
const Retention = 10 * time.Minute

// maxListAge is the maximum time between the begin of a list and its processing.
const maxListAge = 10 * time.Second

// Mark is the state of a zone at a revision of the store.
type Mark struct {
	Zone string `cbor:"1,keyasint"`
	// Ended is set if the zone is not evacuated, or no longer.
	Ended      bool  `cbor:"2,keyasint,omitempty"`
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
	// generationAt is when this node first read the store in the generation of known.
	generationAt time.Time
	// refused holds, by zone, a revision of a peer's mark that the store has not reached.
	refused map[string]store.Revision
}

type mark struct {
	Mark
	// setAt is when the mark was set.
	setAt time.Time
	// since is when the evacuation has ended or its order was lost, zero for a zone whose
	// order is in the store.
	since time.Time
}

// New returns a register that knows no evacuated zone.
func New() *Register {
	return &Register{marks: make(map[string]*mark), refused: make(map[string]store.Revision)}
}

// Read reports whether the orders in the store have been read.
func (r *Register) Read() bool { return r.read }

// Listed processes the complete list of the zones whose orders were in the store at a revision.
// A list that a later read has overtaken changes nothing.
func (r *Register) Listed(now time.Time, at store.Revision, zones []string) []Change {
	if at.Before(r.known) {
		return nil
	}
	r.refuseOdd(now, at)
	changes := r.put(now, at, zones)
	for _, m := range r.sorted() {
		switch {
		case m.Ended || slices.Contains(zones, m.Zone):
		case m.Generation == at.Generation:
			changes = append(changes, r.set(now, newMark(m.Zone, true, at))...)
		case m.since.IsZero() && m.At().Before(at):
			m.since = now
			changes = append(changes, Change{Mark: m.Mark, Lost: true})
		}
	}
	r.complete(now, at)
	r.read = true
	return changes
}

// refuseOdd makes way for the list of a revision where a mark names a later one that was set
// longer ago than the list can have taken: the store has not reached that revision.
func (r *Register) refuseOdd(now time.Time, at store.Revision) {
	maps.DeleteFunc(r.refused, func(_ string, odd store.Revision) bool { return odd.Compare(at) <= 0 || odd.Generation < at.Generation })
	for _, m := range r.marks {
		if m.Generation == at.Generation && m.Revision > at.Number && now.Sub(m.setAt) >= maxListAge {
			r.refused[m.Zone] = m.At()
			m.Revision = at.Number - 1
		}
	}
}

// complete records that all zones are as marked at a revision. Marks of zones whose evacuation
// has ended keep theirs: peers that have read a later one need not remember the zone.
func (r *Register) complete(now time.Time, at store.Revision) {
	if !r.read || at.Generation > r.known.Generation {
		r.generationAt = now
	}
	r.known = at
	for _, m := range r.marks {
		if m.Generation == at.Generation && !m.Ended {
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
	r.complete(now, at)
	return changes
}

func (r *Register) put(now time.Time, at store.Revision, zones []string) []Change {
	var changes []Change
	for _, zone := range zones {
		changes = append(changes, r.set(now, newMark(zone, false, at))...)
	}
	return changes
}

// Reported processes the marks of a peer that knows a generation of the store. A zone that was
// evacuated before this node's own latest read of the same generation, which has no order for it,
// is no longer: the peer learns that from this node's mark.
func (r *Register) Reported(now time.Time, generation int64, marks []Mark) []Change {
	var changes []Change
	for _, m := range marks {
		if m.Zone == "" || m.Generation > generation || r.isOld(now, m) || m.At() == r.refused[m.Zone] {
			continue
		}
		if !m.Ended && m.Generation == r.known.Generation && m.At().Before(r.known) {
			m = newMark(m.Zone, true, r.known)
		}
		changes = append(changes, r.set(now, m)...)
	}
	return changes
}

// isOld reports whether a peer's mark says nothing to a node that has read the store: the end of an
// evacuation that its own reads include, or one of a generation that is long past.
func (r *Register) isOld(now time.Time, m Mark) bool {
	switch {
	case !r.read:
		return false
	case m.Generation < r.known.Generation:
		return now.Sub(r.generationAt) > Retention
	default:
		return m.Ended && r.marks[m.Zone] == nil && !r.known.Before(m.At())
	}
}

func newMark(zone string, ended bool, at store.Revision) Mark {
	return Mark{Zone: zone, Ended: ended, Generation: at.Generation, Revision: at.Number}
}

// set sets a mark unless one at a later revision is known, and returns the change of the zone's
// state, if there is one.
func (r *Register) set(now time.Time, m Mark) []Change {
	own := r.marks[m.Zone]
	if own != nil && m.At().Compare(own.At()) <= 0 {
		return nil
	}
	hadEnded := own == nil || own.Ended
	next := &mark{Mark: m, setAt: now}
	if m.Ended {
		next.since = now
		if own != nil && own.Ended {
			next.since = own.since
		}
	}
	r.marks[m.Zone] = next
	if hadEnded == m.Ended {
		return nil
	}
	return []Change{{Mark: m}}
}

// Expire forgets the evacuations that have ended long ago, and ends those whose orders the store has
// lost as long ago.
func (r *Register) Expire(now time.Time) []Change {
	var changes []Change
	for _, m := range r.sorted() {
		if m.since.IsZero() || now.Sub(m.since) < Retention {
			continue
		}
		if m.Ended {
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
		if !m.Ended {
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
