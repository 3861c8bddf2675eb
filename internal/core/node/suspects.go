package node

import (
	"slices"
	"time"

	"monsoonlanding/internal/core/peer"
	"monsoonlanding/internal/core/upstream"
)

const (
	// grantRequestInterval is the minimum interval between two SuspectRequests
	// for the same request.
	grantRequestInterval = 300 * time.Millisecond
	// grantTimeout bounds a grant whose end is never reported.
	grantTimeout = time.Minute
)

// grant reserves an upstream for one suspected content.
type grant struct {
	content uint64
	until   time.Time
}

// A request with a suspected content runs on an upstream that runs no other
// suspect of any node: if two suspects ran there, one crash would count against
// both. One preferred node per service, the arbiter, grants upstreams for
// suspects. While nodes differ in the members that they know there may be two
// arbiters. Then a harmless content can be quarantined, but no request runs that
// would not also run with a single arbiter.

// arbiter returns the node that grants upstreams to a service's suspects.
func (n *Node) arbiter(service string) string {
	best, ok := peer.Preferred("suspects/"+service, n.members.Usable())
	if !ok {
		return n.self()
	}
	return best.ID
}

// dispatchSuspect sends a suspected request to the upstream granted to it, or
// requests a grant.
func (n *Node) dispatchSuspect(r *record) bool {
	if r.grant == "" {
		n.requestGrant(r)
	}
	if r.grant == "" {
		return false
	}
	u, ok := n.upstreams.Get(r.grant)
	if !ok || n.upstreams.IsLeaving(r.grant) {
		n.endGrant(r)
		return false
	}
	r.version = u.Version
	n.startAttempt(r, u)
	return true
}

func (n *Node) requestGrant(r *record) {
	if n.now.Sub(r.grantRequestedAt) < grantRequestInterval {
		return
	}
	r.grantRequestedAt = n.now
	m := peer.SuspectRequest{
		Key: r.request.Key, Content: r.content, Service: r.request.Service, Version: r.version, Exclude: r.failedOn,
	}
	if to := n.arbiter(r.request.Service); to != n.self() {
		n.send(to, m)
		return
	}
	r.grant = n.grantSuspect(m)
}

// receiveSuspectRequest grants an upstream to a peer's suspect, if one is free.
func (n *Node) receiveSuspectRequest(from string, m peer.SuspectRequest) {
	if id := n.grantSuspect(m); id != "" {
		n.send(from, peer.SuspectGrant{Key: m.Key, Content: m.Content, Upstream: id})
	}
}

// grantSuspect reserves an upstream that is granted to no other suspect. A
// content that already has one gets no second.
func (n *Node) grantSuspect(m peer.SuspectRequest) string {
	exclude := append([]string{}, m.Exclude...)
	if n.allTried(m) {
		exclude = nil
	}
	for _, u := range n.upstreams.All() {
		g, ok := n.grants[u.ID]
		switch {
		case !ok || !n.now.Before(g.until):
			delete(n.grants, u.ID)
		case g.content == m.Content:
			return ""
		default:
			exclude = append(exclude, u.ID)
		}
	}
	u, ok := n.upstreams.Pick(n.now, upstream.Query{
		Service: m.Service, Version: m.Version, Zone: n.cfg.Self.Zone, Exclude: exclude, Strict: true,
	})
	if !ok {
		return ""
	}
	n.grants[u.ID] = grant{content: m.Content, until: n.now.Add(grantTimeout)}
	return u.ID
}

// allTried reports whether the suspect has failed on all upstreams that it can
// run on. Until then it waits for one on which it has not failed.
func (n *Node) allTried(m peer.SuspectRequest) bool {
	for _, u := range n.upstreams.Subset() {
		fits := u.Service == m.Service && (m.Version == "" || u.Version == m.Version)
		if fits && !slices.Contains(m.Exclude, u.ID) {
			return false
		}
	}
	return true
}

func (n *Node) receiveSuspectGrant(from string, m peer.SuspectGrant) {
	r := n.records[m.Key]
	if r == nil || r.content != m.Content || r.phase != phaseQueued || r.grant != "" {
		n.send(from, peer.SuspectRelease{Upstream: m.Upstream, Content: m.Content})
		return
	}
	r.grant, r.grantedBy = m.Upstream, from
	n.dispatchQueued(r.request.Service)
}

// endGrant releases a granted upstream.
func (n *Node) endGrant(r *record) {
	if r.grant == "" {
		return
	}
	m := peer.SuspectRelease{Upstream: r.grant, Content: r.content}
	if r.grantedBy == "" {
		n.receiveSuspectRelease(m)
	} else {
		n.send(r.grantedBy, m)
	}
	r.grant, r.grantedBy = "", ""
}

func (n *Node) receiveSuspectRelease(m peer.SuspectRelease) {
	if n.grants[m.Upstream].content == m.Content {
		delete(n.grants, m.Upstream)
	}
}
