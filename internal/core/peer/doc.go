// Package peer maintains a node's view of the other nodes and defines the
// messages that nodes exchange.
//
// # Membership
//
// Members implements a gossip protocol in the manner of SWIM. It probes one
// member per round, first directly and then through other members, and marks a
// member that does not respond as suspect before it marks it as dead. Every
// state carries an incarnation number; a member refutes a wrong state by
// raising its own incarnation. Probes and acknowledgements carry changes as
// small deltas. Dead members are probed from time to time, so that the two
// sides of a network partition rejoin after it heals.
//
// # Placement of copies
//
// Rank orders members by rendezvous hashing of a key. The first members of
// that order hold the copies of a request, so that any node can locate a
// request by its key alone.
//
// # Usage
//
//	m := peer.New(self, rng, peer.DefaultTiming())
//	out := m.Tick(now)              // probes to send
//	out = m.Receive(now, from, msg) // acknowledgements to send
//	for _, c := range m.Changes() { ... }
package peer
