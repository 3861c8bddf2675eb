package peer

// State is the state of a member as seen by the other members.
type State string

// States of a member. Within one incarnation, a later state in this list
// overrides an earlier one.
const (
	Alive   State = "alive"
	Suspect State = "suspect"
	Leaving State = "leaving"
	Dead    State = "dead"
)

// Member is one process of the system.
type Member struct {
	// ID identifies the process; a restarted process has a new ID.
	ID string `cbor:"1,keyasint"`
	// PeerAddress is the address for connections from other nodes, as IP:port.
	PeerAddress string `cbor:"2,keyasint"`
	// CallerAddress is the address for connections from callers, as IP:port.
	CallerAddress string `cbor:"3,keyasint"`
	Zone          string `cbor:"4,keyasint"`
	Incarnation   uint64 `cbor:"5,keyasint"`
	State         State  `cbor:"6,keyasint"`
	// Region is a group of zones that are near each other; it may be empty.
	Region string `cbor:"7,keyasint,omitempty"`
}

// Usable reports whether the member may receive new work and copies.
func (m Member) Usable() bool { return m.State == Alive }

// Overrides reports whether m supersedes old, an earlier record of the same
// member. Leaving and dead are never reverted within an incarnation. A leaving
// member that raises its incarnation stays leaving.
func (m Member) Overrides(old Member) bool {
	if m.Incarnation != old.Incarnation {
		return m.Incarnation > old.Incarnation
	}
	return precedence(m.State) > precedence(old.State)
}

func precedence(s State) int {
	switch s {
	case Alive:
		return 0
	case Suspect:
		return 1
	case Leaving:
		return 2
	case Dead:
		return 3
	}
	return -1
}
