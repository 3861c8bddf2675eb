package node

import (
	"time"

	"monsoonlanding/internal/core/peer"
	"monsoonlanding/internal/core/upstream"
)

const (
	// listInterval is the interval between two reads of the upstream list.
	listInterval = time.Second
	// loadInterval is the interval between two load reports of an upstream.
	loadInterval = time.Second
	// loadPollPeriod is the time after a service's last request during which its
	// upstreams are polled for load reports.
	loadPollPeriod = 10 * time.Second
	// listConfirmTimeout is the time without a confirmation of the list by the
	// preferred node of the zone, after which a node reads the list itself.
	listConfirmTimeout = 2 * time.Second
	// pauseThreshold is the gap between two events above which the process
	// counts as paused in between.
	pauseThreshold = 500 * time.Millisecond
	// pauseDispatchDelay is the maximum time that a node waits for a current
	// list of upstreams after a pause, before it dispatches again.
	pauseDispatchDelay = 300 * time.Millisecond
	// gossipInterval is the interval between two exchanges of state with a
	// random peer.
	gossipInterval = 2 * time.Second
	// pruneInterval is the interval for pruning expired state.
	pruneInterval = 5 * time.Second
	// dispatchInterval is the maximum delay of a dispatch after capacity became
	// free without an event.
	dispatchInterval = 50 * time.Millisecond
)

// tick does the periodic work.
func (n *Node) tick() {
	n.sendAll(n.members.Tick(n.now))
	if !n.schedule.started {
		n.schedule.started = true
		n.readRules()
	}
	if n.due(&n.schedule.list, listInterval) && (n.preferredInZone(dutyList) || n.now.Sub(n.list.confirmed) > listConfirmTimeout) {
		n.emit(ListUpstreams{})
	}
	if n.due(&n.schedule.loads, loadInterval) {
		n.pollLoads()
	}
	if n.due(&n.schedule.gossip, gossipInterval) {
		n.gossip()
	}
	if n.due(&n.schedule.prune, pruneInterval) {
		n.prune()
	}
	if n.due(&n.schedule.dispatch, dispatchInterval) {
		n.dispatchAllQueued()
	}
	n.watchRules()
	n.moveCallers()
	n.driveMoves()
}

// dutyNodes is the duty of removing dead nodes' records from the platform.
const dutyNodes = "nodes"

// dutyList is the duty of reading the list of upstreams for a zone.
const dutyList = "upstreams"

// detectPause reads the list of upstreams again after the process was paused,
// because it may have missed that some are leaving.
func (n *Node) detectPause() {
	gap := n.now.Sub(n.schedule.lastEvent)
	n.schedule.lastEvent = n.now
	if gap < pauseThreshold || n.list.hash == 0 {
		return
	}
	n.log(LevelWarn, "pause", "", "", "process was paused for %s; reading the list of upstreams", gap)
	n.schedule.dispatchFrom = n.now.Add(pauseDispatchDelay)
	n.emit(ListUpstreams{})
}

// due reports whether an interval has passed since last, and restarts it if so.
func (n *Node) due(last *time.Time, interval time.Duration) bool {
	if n.now.Sub(*last) < interval {
		return false
	}
	*last = n.now
	return true
}

// preferredInZone reports whether this node is the preferred one of its zone
// for a duty. While nodes differ in the members that they know, two may perform
// it, which only costs additional calls.
func (n *Node) preferredInZone(duty string) bool {
	own := peer.Score(duty, n.self())
	noneUsable := true
	for _, m := range n.members.Usable() {
		if m.Zone != n.cfg.Self.Zone {
			continue
		}
		noneUsable = false
		if peer.Score(duty, m.ID) > own {
			return false
		}
	}
	return noneUsable || n.members.Self().Usable()
}

// preferred reports whether this node is the preferred one of all nodes for a
// duty.
func (n *Node) preferred(duty string) bool {
	best, ok := peer.Preferred(duty, n.members.Usable())
	return ok && best.ID == n.self()
}

// pollLoads requests load reports from the upstreams that requests may be sent
// to.
func (n *Node) pollLoads() {
	var polled []upstream.Upstream
	for _, u := range n.upstreams.Subset() {
		if at, ok := n.schedule.lastRequest[u.Service]; ok && n.now.Sub(at) < loadPollPeriod {
			polled = append(polled, u)
		}
	}
	if len(polled) > 0 {
		n.emit(PollLoads{Upstreams: polled})
	}
}

// membersListed adds the nodes registered with the platform. The node preferred
// for dutyNodes removes the records of dead ones from the platform.
func (n *Node) membersListed(list []peer.Member) {
	removesDead := n.preferred(dutyNodes)
	for _, m := range list {
		if _, known := n.members.Get(m.ID); !known {
			n.members.Merge(n.now, m)
		}
		if removesDead && n.members.IsDead(m.ID) {
			n.emit(RemoveMember{ID: m.ID})
		}
	}
}

// applyMemberChanges handles changes in the states of members.
func (n *Node) applyMemberChanges() {
	for _, m := range n.members.Changes() {
		n.log(LevelInfo, "membership", "", m.ID, "member is %s", m.State)
		switch m.State {
		case peer.Dead:
			n.memberDied(m.ID)
		case peer.Leaving:
			n.backupLost(m.ID)
		case peer.Alive:
			n.sendInitialState(m.ID)
		}
	}
}

// sendInitialState sends a new node the state that it cannot get from the
// platform.
func (n *Node) sendInitialState(id string) {
	n.send(id, peer.Ping{Members: []peer.Member{n.members.Self()}})
	for _, content := range n.poison.SuspectedContents() {
		n.send(id, peer.ContentSuspect{Content: content, Crashes: n.poison.Crashes(content)})
	}
}

// upstreamLeaving excludes an upstream from new requests and notifies the other
// nodes.
func (n *Node) upstreamLeaving(id string, until time.Time) {
	if n.cfg.Faults.IgnoreLeaving || !n.upstreams.MarkLeaving(n.now, id, until) {
		return
	}
	n.log(LevelInfo, "upstreams", "", id, "upstream is leaving")
	n.broadcast(peer.UpstreamLeaving{Upstream: id, Until: until})
}

// gossip exchanges slowly changing state with one random peer, so that it
// arrives even if the message that first carried it was lost.
func (n *Node) gossip() {
	var others []peer.Member
	for _, m := range n.members.All() {
		if m.ID != n.self() && m.State != peer.Dead {
			others = append(others, m)
		}
	}
	if len(others) == 0 {
		n.pingSeeds()
		return
	}
	to := others[n.rng.IntN(len(others))].ID
	n.send(to, peer.RulesUpdate{Revision: n.inForce.revision})
	n.gossipMoves(to)
	if n.list.hash == 0 {
		n.send(to, peer.UpstreamList{RequestFull: true})
	}
}

// pingSeeds announces this node to the configured seeds.
func (n *Node) pingSeeds() {
	for _, address := range n.cfg.Seeds {
		n.emit(Send{Address: address, Message: peer.Ping{Members: []peer.Member{n.members.Self()}}})
	}
}

// prune removes expired tombstones and the entries of ended requests that are
// no longer retained.
func (n *Node) prune() {
	for instance, at := range n.tombstones {
		if n.now.Sub(at) > tombstoneRetention {
			delete(n.tombstones, instance)
		}
	}
	for len(n.ended) > 0 && !n.retains(n.ended[0]) {
		n.ended = n.ended[1:]
	}
}

// peerReceived handles a message from another node.
func (n *Node) peerReceived(from string, m peer.Message) {
	switch m := m.(type) {
	case peer.Ping, peer.Ack, peer.PingRequest:
		n.sendAll(n.members.Receive(n.now, from, m))
	case peer.Copy:
		n.receiveCopy(from, m)
	case peer.CopyAck:
		n.receiveCopyAck(from, m)
	case peer.Progress:
		n.receiveProgress(from, m)
	case peer.Drop:
		n.receiveDrop(from, m)
	case peer.DropAck:
		n.receiveDropAck(from, m)
	case peer.HandOver:
		n.receiveHandOver(from, m)
	case peer.HandOverAck:
		n.receiveHandOverAck(from, m)
	default:
		n.peerReceivedOther(from, m)
	}
}

func (n *Node) peerReceivedOther(from string, m peer.Message) {
	switch m := m.(type) {
	case peer.Lookup:
		n.receiveLookup(from, m)
	case peer.LookupReply:
		n.receiveLookupReply(m)
	case peer.Follow:
		n.receiveFollow(from, m)
	case peer.FollowEvent:
		n.receiveFollowEvent(from, m)
	case peer.Unfollow:
		n.receiveUnfollow(from, m)
	case peer.Cancel:
		n.receiveCancel(m.Key)
	case peer.LedgerRequest:
		n.receiveClaim(from, m)
	case peer.LedgerReply:
		n.receiveLedgerReply(m)
	case peer.UpstreamLeaving:
		n.upstreamLeaving(m.Upstream, m.Until)
	case peer.UpstreamList:
		n.receiveList(from, m)
	case peer.ContentSuspect:
		n.poison.MergeCrashes(n.now, m.Content, m.Crashes)
	case peer.SuspectRequest:
		n.receiveSuspectRequest(from, m)
	case peer.SuspectGrant:
		n.receiveSuspectGrant(from, m)
	case peer.SuspectRelease:
		n.receiveSuspectRelease(m)
	case peer.RulesUpdate:
		n.receiveRules(from, m)
	case peer.VersionStopped:
		n.receiveVersionStopped(m)
	case peer.Evidence:
		n.receiveEvidence(m)
	case peer.MoveUpdate:
		n.applyMove(m.Move, m.Document)
	}
}
