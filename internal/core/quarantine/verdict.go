package quarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// soundWeight is the number of crashes that a sound run outweighs. It is below
	// 1, because a request with a trait that crashes upstreams may survive by
	// chance.
	soundWeight = 0.5
	// minUnexplained is the number of crashes that no other quarantined trait
	// explains and that a trait needs to be quarantined.
	minUnexplained = 2
	// releaseMargin is the number of crashes by which the evidence against a
	// quarantined trait may fall before it is released.
	releaseMargin = 1
)

// candidate is a trait that the evidence suffices for.
type candidate struct {
	entry *entry
	// crashes holds the IDs of those that count against the trait.
	crashes []uint64
	sound   float64
}

// Judge decides which traits are quarantined, and returns those for which this has
// changed, in order. A crash counts against a part once settle has passed, in
// which other nodes report sound runs and answers of the upstream.
func (r *Register) Judge(now time.Time, settle time.Duration) []Trait {
	verdict := r.verdict(r.candidates(now, settle))
	var changed []Trait
	for t, e := range r.entries {
		if e.quarantined != verdict[t] {
			e.quarantined = verdict[t]
			changed = append(changed, t)
		}
	}
	slices.Sort(changed)
	return changed
}

func (r *Register) candidates(now time.Time, settle time.Duration) []candidate {
	var list []candidate
	for _, e := range r.entries {
		needed := e.trait.crashesNeeded()
		if e.quarantined {
			needed -= releaseMargin
		}
		if len(e.crashes) < needed {
			continue
		}
		c := candidate{entry: e, crashes: r.counting(now, e, settle), sound: e.sound()}
		if float64(len(c.crashes))-soundWeight*c.sound >= float64(needed) {
			list = append(list, c)
		}
	}
	return list
}

// counting returns the crashes that count against a trait. Where an attempt had
// begun to answer, its neighbours don't count.
func (r *Register) counting(now time.Time, e *entry, settle time.Duration) []uint64 {
	var ids []uint64
	for id, i := range e.crashes {
		switch {
		case i.refuted || i.cleared || !i.head && r.hasHead(id, i.at):
		case !e.trait.IsContent() && now.Sub(i.at) < settle:
		default:
			ids = append(ids, id)
		}
	}
	return ids
}

// hasHead reports whether some attempt had SignHead in the crash at a time.
func (r *Register) hasHead(id uint64, at time.Time) bool {
	for _, i := range r.crashes[id] {
		if apart := i.at.Sub(at); i.head && apart < sameCrash && apart > -sameCrash {
			return true
		}
	}
	return false
}

// verdict quarantines the candidates one after the other, each time the one that
// explains the most crashes that are not explained yet.
func (r *Register) verdict(candidates []candidate) map[Trait]bool {
	quarantined := make(map[Trait]bool)
	explained := make(map[uint64]bool)
	for len(candidates) > 0 {
		best := slices.MaxFunc(candidates, func(a, b candidate) int {
			return cmp.Or(
				cmp.Compare(a.unexplained(explained), b.unexplained(explained)),
				cmp.Compare(b.sound, a.sound),
				cmp.Compare(a.entry.depth, b.entry.depth),
				cmp.Compare(b.entry.trait, a.entry.trait),
			)
		})
		if best.unexplained(explained) < minUnexplained {
			break
		}
		quarantined[best.entry.trait] = true
		for _, id := range best.crashes {
			explained[id] = true
		}
		candidates = slices.DeleteFunc(candidates, func(c candidate) bool { return c.entry == best.entry })
	}
	return quarantined
}

func (c candidate) unexplained(explained map[uint64]bool) int {
	n := 0
	for _, id := range c.crashes {
		if !explained[id] {
			n++
		}
	}
	return n
}
