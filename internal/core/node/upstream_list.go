package node

import (
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"monsoonlanding/internal/core/peer"
	"monsoonlanding/internal/core/upstream"
)

// upstreamList is the latest known list of upstreams from the platform.
type upstreamList struct {
	hash uint64
	list []upstream.Upstream
	// confirmed is the last time at which the list was known to be current.
	confirmed time.Time
}

// upstreamsListed applies a list read from the platform. The node that reads it
// for its zone sends the zone's other nodes the changes, or a confirmation if
// there are none.
func (n *Node) upstreamsListed(list []upstream.Upstream) {
	n.list.confirmed = n.now
	n.schedule.dispatchFrom = time.Time{}
	before := n.list
	list = slices.Clone(list)
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	n.applyList(list)
	if !n.preferredInZone(dutyList) {
		return
	}
	m := peer.UpstreamList{Hash: n.list.hash}
	if before.hash != n.list.hash && before.hash != 0 {
		m.Base = before.hash
		m.List, m.Removed = difference(before.list, list)
	}
	for _, x := range n.members.All() {
		if x.Zone == n.cfg.Self.Zone && x.State != peer.Dead {
			n.send(x.ID, m)
		}
	}
}

// difference returns the entries that are new or changed in after, and the IDs
// of those that are only in before. Both lists are ordered by ID.
func difference(before, after []upstream.Upstream) (changed []upstream.Upstream, removed []string) {
	old := make(map[string]upstream.Upstream, len(before))
	for _, u := range before {
		old[u.ID] = u
	}
	for _, u := range after {
		if o, ok := old[u.ID]; !ok || o != u {
			changed = append(changed, u)
		}
		delete(old, u.ID)
	}
	for _, u := range before {
		if _, unlisted := old[u.ID]; unlisted {
			removed = append(removed, u.ID)
		}
	}
	return changed, removed
}

// merge applies changed entries and removals to a list.
func merge(list, changed []upstream.Upstream, removed []string) []upstream.Upstream {
	entries := make(map[string]upstream.Upstream, len(list))
	for _, u := range list {
		entries[u.ID] = u
	}
	for _, u := range changed {
		entries[u.ID] = u
	}
	for _, id := range removed {
		delete(entries, id)
	}
	merged := make([]upstream.Upstream, 0, len(entries))
	for _, u := range entries {
		merged = append(merged, u)
	}
	sort.Slice(merged, func(i, j int) bool { return merged[i].ID < merged[j].ID })
	return merged
}

// applyList replaces the list. The new one must be ordered by ID.
func (n *Node) applyList(list []upstream.Upstream) {
	encoded, err := cbor.Marshal(list)
	if err != nil {
		return
	}
	hash := xxhash.Sum64(encoded)
	if hash == n.list.hash {
		return
	}
	n.list.hash, n.list.list = hash, list
	if n.cfg.Faults.IgnoreLeaving {
		list = withoutLeaving(list)
	}
	for _, id := range n.upstreams.Replace(n.now, list) {
		n.log(LevelInfo, "upstreams", "", id, "upstream is leaving or no longer listed")
		u, listed := n.upstreams.Get(id)
		if !listed {
			n.poison.RemoveCrashes(id, n.now.Add(-unlistedReclaimWindow))
		}
		n.broadcast(peer.UpstreamLeaving{Upstream: id, Until: u.Until})
	}
	n.clearReclaimSuspicions(list)
	n.dispatchAllQueued()
}

// unlistedReclaimWindow is the longest time between the reclaim of an upstream
// and its removal from the list.
const unlistedReclaimWindow = 10 * time.Second

// clearReclaimSuspicions clears the suspicions due to crashes that a reclaim
// caused, once the time of the reclaim is known.
func (n *Node) clearReclaimSuspicions(list []upstream.Upstream) {
	for _, u := range list {
		if u.Leaving && !u.Until.IsZero() {
			n.poison.RemoveCrashes(u.ID, u.Until.Add(-upstream.ReclaimMargin))
		}
	}
}

// withoutLeaving returns a copy of the list with no upstream marked as leaving.
func withoutLeaving(list []upstream.Upstream) []upstream.Upstream {
	cleared := slices.Clone(list)
	for i := range cleared {
		cleared[i].Leaving = false
	}
	return cleared
}

// receiveList applies a peer's list or changes, replies with the list, or
// requests the complete list if the changes do not apply to the one here.
func (n *Node) receiveList(from string, m peer.UpstreamList) {
	switch {
	case m.RequestFull:
		if n.list.hash != 0 {
			n.send(from, peer.UpstreamList{Hash: n.list.hash, List: n.list.list})
		}
	case m.Hash == n.list.hash:
	case m.Base != 0 && m.Base == n.list.hash:
		n.applyList(merge(n.list.list, m.List, m.Removed))
	case m.Base == 0 && len(m.List) > 0:
		n.applyList(m.List)
	default:
		n.send(from, peer.UpstreamList{RequestFull: true})
	}
	if !m.RequestFull && m.Hash == n.list.hash {
		n.list.confirmed = n.now
	}
}
