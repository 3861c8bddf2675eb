package store

import "cmp"

// Revision identifies a state of the store. The zero value comes before all states.
type Revision struct {
	// Generation is the number of times that the store has been restored from a copy.
	Generation int64
	// Number grows with each change within a generation.
	Number int64
}

// Compare returns -1, 0 or 1 if r is earlier than, equal to or later than other.
func (r Revision) Compare(other Revision) int {
	return cmp.Or(cmp.Compare(r.Generation, other.Generation), cmp.Compare(r.Number, other.Number))
}

// Before reports whether r is earlier than other.
func (r Revision) Before(other Revision) bool { return r.Compare(other) < 0 }

// IsZero reports whether r is the zero value.
func (r Revision) IsZero() bool { return r == Revision{} }

// Latest returns the later of two revisions.
func Latest(a, b Revision) Revision {
	if a.Before(b) {
		return b
	}
	return a
}
