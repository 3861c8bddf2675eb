package node

import (
	"monsoonlanding/internal/core/peer"
)

func (n *Node) lookup(s *subscription) {
	for _, id := range n.lookupTargets(s.key) {
		n.send(id, peer.Lookup{Key: s.key, Sub: s.id})
	}
}

// lookupTargets returns the nodes most likely to know a key: all nodes in a
// small system, the first ones of the key's ranking per region in a large one.
func (n *Node) lookupTargets(key string) []string {
	var all, first []string
	perRegion := make(map[string]int)
	for _, m := range peer.Rank(key, n.members.All()) {
		if m.ID == n.self() || m.State == peer.Dead {
			continue
		}
		all = append(all, m.ID)
		if perRegion[m.Region]++; perRegion[m.Region] <= lookupFanout {
			first = append(first, m.ID)
		}
	}
	if len(all) > lookupAllLimit {
		return first
	}
	return all
}

// notFound ends the lookups for a key that no node knows. If the submission is
// known, it is started again here: an idempotent one may run twice, and for a
// non-idempotent one the ledger shows whether it was claimed. A leaving node
// continues the lookups until its callers are moved.
func (n *Node) notFound(s *subscription) {
	switch {
	case s.request == nil || s.claimed:
		n.endSubscription(s)
	case n.shutdown.leaving:
		s.misses = 0
		n.renew(s)
	default:
		delete(n.subs, s.id)
		n.startSubmission(*s.request, &follower{conn: s.conn, position: s.position, accepted: s.accepted}, true)
	}
}

// receiveLookup replies with the holder of a key.
func (n *Node) receiveLookup(from string, m peer.Lookup) {
	reply := peer.LookupReply{Key: m.Key, Sub: m.Sub}
	if r := n.records[m.Key]; r != nil {
		reply.Holder, reply.HasCopy = n.knownHolder(r), true
	}
	n.send(from, reply)
}

func (n *Node) knownHolder(r *record) string {
	if r.held() || r.answer.Done() {
		return n.self()
	}
	if n.members.IsDead(r.holder) {
		return ""
	}
	return r.holder
}

func (n *Node) receiveLookupReply(m peer.LookupReply) {
	s := n.subs[m.Sub]
	if s == nil {
		return
	}
	if m.HasCopy {
		s.misses = 0
	}
	if s.holder != "" || m.Holder == "" || m.Holder == n.self() {
		return
	}
	if _, known := n.members.Get(m.Holder); !known || n.members.IsDead(m.Holder) {
		return
	}
	s.holder = m.Holder
	n.renew(s)
}
