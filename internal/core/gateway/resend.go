package gateway

import (
	"slices"
	"time"

	"monsoonlanding/internal/core/peer"
	"monsoonlanding/internal/core/store"
)

// A change of the upstreams that is lost on its way to a node is read from the store by that node,
// as soon as statuses show that it is behind. A node that the store turns away can't: it
// gets the changes once more from a peer.

// changeRetention is the time for which changes of the upstreams are kept for peers that have
// missed them.
const changeRetention = 30 * time.Second

// upstreamChange is the latest change of an upstream.
type upstreamChange struct {
	revision  store.Revision
	removed   bool
	learnedAt time.Time
}

// changeLog holds the latest changes of the upstreams.
type changeLog struct {
	latest map[string]upstreamChange
	// since is the revision after which all changes are in latest.
	since store.Revision
}

// record adds the changes of a read or of a peer.
func (l *changeLog) record(now time.Time, d peer.UpstreamsDelta) {
	for _, u := range d.Put {
		l.latest[u.ID] = upstreamChange{revision: d.At(), learnedAt: now}
	}
	for _, id := range d.Removed {
		l.latest[id] = upstreamChange{revision: d.At(), removed: true, learnedAt: now}
	}
}

// prune removes the changes that are kept no longer.
func (l *changeLog) prune(now time.Time) {
	for id, c := range l.latest {
		if now.Sub(c.learnedAt) > changeRetention {
			l.since = store.Latest(l.since, c.revision)
			delete(l.latest, id)
		}
	}
}

// after returns the upstreams that have changed after a revision, in order of ID. It returns none if
// some of the changes are no longer kept.
func (l *changeLog) after(r store.Revision) []string {
	if r.Before(l.since) {
		return nil
	}
	var ids []string
	for id, c := range l.latest {
		if r.Before(c.revision) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// resendChanges sends a peer that does not reach the store the changes that it has missed, once
// these have had time to arrive. One of the nodes that reach the store does so; with each further
// status that shows the peer behind one more does, since the first may not have kept the changes.
func (g *Gateway) resendChanges(m *member) {
	known := m.status.UpstreamsAt()
	if !m.status.StoreUnavailable || known.Generation != g.changedRevision.Generation || !known.Before(g.changedRevision) {
		m.statusesBehind = 0
		return
	}
	m.statusesBehind++
	ids := g.changes.after(known)
	overdue := func(id string) bool { return g.now.Sub(g.changes.latest[id].learnedAt) >= syncGrace }
	if g.storeDown || !slices.ContainsFunc(ids, overdue) || g.resendRank(m) >= m.statusesBehind {
		return
	}
	delta := peer.UpstreamsDelta{Revision: g.changedRevision.Number, Previous: known.Number, Generation: known.Generation}
	for _, id := range ids {
		if u, listed := g.upstreams.Get(id); listed && !g.changes.latest[id].removed {
			delta.Put = append(delta.Put, u)
		} else {
			delta.Removed = append(delta.Removed, id)
		}
	}
	g.count(CountChange, changeResent)
	g.log("upstream", "sending changes again", "peer", m.node, "put", len(delta.Put), "removed", delta.Removed,
		"revision", delta.Revision, "previous", delta.Previous)
	g.emit(Send{Node: m.node, Address: m.address, Message: delta})
}

// resendRank returns how many of the nodes that reach the store come before this one to send a peer
// what it has missed.
func (g *Gateway) resendRank(m *member) int {
	before, _ := g.orderInContact("changes/"+m.node, func(other *member) bool { return !other.status.StoreUnavailable })
	return before
}
