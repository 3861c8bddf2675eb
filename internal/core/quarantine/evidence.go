package quarantine

import "time"

// Sign is what had arrived of the answer to an attempt when its upstream crashed.
type Sign string

// Signs.
const (
	// SignNothing: the attempt may not have run yet.
	SignNothing Sign = "nothing"
	// SignHead: the upstream had begun to write the answer, and no event was
	// whole.
	SignHead Sign = "head"
	// SignEvent: the answer had begun only just before.
	SignEvent Sign = "event"
)

// Report is what a node tells the others.
type Report struct {
	Evidence []Evidence `cbor:"1,keyasint,omitempty"`
	// Broken holds the processes at which attempts of the node have just broken.
	Broken []uint64 `cbor:"3,keyasint,omitempty"`
	// Alive holds those of the processes in other nodes' Broken that have just
	// answered the node.
	Alive []Life `cbor:"2,keyasint,omitempty"`
}

// Life is the latest answer of an upstream's process.
type Life struct {
	// ID identifies the process, as in Crash.
	ID  uint64        `cbor:"1,keyasint"`
	Age time.Duration `cbor:"2,keyasint"`
}

// Evidence is a node's evidence on one trait, for the other nodes.
type Evidence struct {
	Trait Trait `cbor:"1,keyasint"`
	// Depth is the position of the trait in requests; the most specific trait is
	// the deepest.
	Depth   int     `cbor:"2,keyasint"`
	Crashes []Crash `cbor:"3,keyasint"`
	// Before and Since are the numbers of the node's own sound runs before it
	// learned of the first crash and since then.
	Before float64 `cbor:"4,keyasint,omitempty"`
	Since  int     `cbor:"5,keyasint,omitempty"`
	// Quarantined is set if the sender refuses requests with the trait.
	Quarantined bool `cbor:"6,keyasint,omitempty"`
}

// Crash is evidence against a trait: an attempt at a request with it broke at an
// upstream's process.
type Crash struct {
	// ID identifies the process.
	ID  uint64        `cbor:"1,keyasint"`
	Age time.Duration `cbor:"2,keyasint"`
	// Head is set if an answer to a request with the trait had begun without a
	// whole event.
	Head bool `cbor:"3,keyasint,omitempty"`
	// Refuted is set if the process answered afterwards, so that it had not
	// crashed.
	Refuted bool `cbor:"4,keyasint,omitempty"`
	// Cleared is set if a later request with the quarantined trait was sound.
	Cleared bool `cbor:"5,keyasint,omitempty"`
}

// entry is the evidence of all nodes on a trait.
type entry struct {
	trait Trait
	depth int
	// crashes holds the trait's part in each crash.
	crashes map[uint64]*involvement
	// before and since count this node's sound runs.
	before float64
	since  int
	// peers holds the sound runs that each peer has counted.
	peers map[string]soundRuns
	// quarantined is the verdict, probeSentAt the time of this node's last probe.
	quarantined bool
	probeSentAt time.Time
}

// involvement is the part that a trait's requests had in a crash. The fields are
// those of Crash.
type involvement struct {
	at                     time.Time
	head, refuted, cleared bool
}

// add adds what another observation of a trait at the same process says. One that
// is later by more than sameCrash is of another break, since the process had not
// crashed before, and replaces the earlier one.
func (i *involvement) add(other involvement) {
	switch later := other.at.Sub(i.at); {
	case later > sameCrash:
		*i = other
	case later > -sameCrash:
		i.head = i.head || other.head
		i.refuted = i.refuted || other.refuted
		i.cleared = i.cleared || other.cleared
	}
}

// soundRuns counts sound runs before the first crash and since.
type soundRuns struct {
	before float64
	since  int
}

// lastCrash returns the time of the trait's last crash.
func (e *entry) lastCrash() time.Time {
	var last time.Time
	for _, i := range e.crashes {
		if i.at.After(last) {
			last = i.at
		}
	}
	return last
}

// sound returns the weight of all nodes' sound runs. Those before the first crash
// have a bounded weight, since a trait may have been sound until then.
func (e *entry) sound() float64 {
	before, since := e.before, e.since
	for _, p := range e.peers {
		before += p.before
		since += p.since
	}
	return min(before, maxSoundBefore) + float64(since)
}
