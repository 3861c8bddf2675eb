package node

import (
	"slices"
	"sort"
	"time"

	"monsoonlanding/internal/core/caller"
	"monsoonlanding/internal/core/peer"
)

const (
	// followInterval is the interval for renewing an idle subscription.
	followInterval = 500 * time.Millisecond
	// lookupInterval is the interval between two lookups of a key's holder.
	lookupInterval = 200 * time.Millisecond
	// lookupRounds is the number of unsuccessful lookups after which a key
	// counts as unknown.
	lookupRounds = 4
	// lookupFanout is the number of nodes per region that a lookup queries in a
	// large system.
	lookupFanout = 4
	// lookupAllLimit is the number of other nodes up to which a lookup queries
	// all of them.
	lookupAllLimit = 16
	// resumeTimeout bounds a subscription if the request's deadline is not
	// known.
	resumeTimeout = 30 * time.Second
)

// follow adds a follower and sends it all events so far.
func (n *Node) follow(r *record, f *follower) {
	n.unfollow(r, func(o *follower) bool { return o.conn == f.conn && o.node == f.node && o.sub == f.sub })
	r.followers = append(r.followers, f)
	n.sync(r, f)
	n.dropServedFollowers(r)
}

func (n *Node) unfollow(r *record, match func(*follower) bool) {
	r.followers = slices.DeleteFunc(r.followers, match)
}

// publish sends all followers the events that they lack.
func (n *Node) publish(r *record) {
	for _, f := range r.followers {
		n.sync(r, f)
	}
	n.dropServedFollowers(r)
}

func (n *Node) dropServedFollowers(r *record) {
	if r.answer.Done() || r.refusal != nil {
		r.followers = nil
	}
}

// sync sends a follower the events that it lacks.
func (n *Node) sync(r *record, f *follower) {
	if r.accepted && !f.accepted {
		f.accepted = true
		n.sendEvent(f, caller.Accepted{Instance: r.request.Instance})
	}
	n.syncTokens(r, f)
	if r.answer.Done() {
		n.sendEvent(f, caller.Done{Run: r.answer.Run(), Count: r.answer.Count(), Result: r.answer.Result()})
		return
	}
	if r.refusal != nil {
		n.sendEvent(f, caller.Failed{Refusal: *r.refusal})
	}
}

func (n *Node) syncTokens(r *record, f *follower) {
	run := r.answer.Run()
	if run == "" {
		return
	}
	if f.position.Run != run {
		keep := r.answer.CommonTokens(f.position)
		if f.position.Run != "" && !n.cfg.Faults.IgnoreRuns {
			n.sendEvent(f, caller.Restarted{Run: run, Keep: keep})
		}
		f.position = caller.Position{Run: run, Offset: keep}
	}
	f.position.Offset = min(f.position.Offset, r.answer.Count())
	fresh := r.answer.Tokens()[f.position.Offset:]
	if len(fresh) == 0 {
		return
	}
	n.sendEvent(f, caller.Tokens{Run: run, Offset: f.position.Offset, Tokens: fresh})
	f.position.Offset += len(fresh)
}

// sendEvent sends a stream event to a follower.
func (n *Node) sendEvent(f *follower, e caller.StreamEvent) {
	if f.node == "" {
		n.reply(f.conn, e)
		return
	}
	m := peer.FollowEvent{Sub: f.sub}
	switch e := e.(type) {
	case caller.Accepted:
		m.Accepted = &e
	case caller.Tokens:
		m.Tokens = &e
	case caller.Restarted:
		m.Restarted = &e
	case caller.Done:
		m.Done = &e
	case caller.Failed:
		m.Failed = &e
	}
	n.send(f.node, m)
}

// redirect refers a follower to the node that now holds the request.
func (n *Node) redirect(r *record, f *follower, holder string) {
	if f.node != "" {
		n.send(f.node, peer.FollowEvent{Sub: f.sub, Holder: holder})
		return
	}
	request := r.request
	s := n.subscribe(f.conn, r.request.Key, f.position, &request, holder)
	s.accepted = f.accepted
	s.submissionAccepted = r.accepted
}

// subscription is a caller's connection that receives an answer held by another
// node.
type subscription struct {
	id       uint64
	conn     uint64
	key      string
	position caller.Position
	accepted bool
	// request is the caller's submission, nil for a CallerResume.
	request *caller.Request
	// submissionAccepted is set once the holder has accepted the submission.
	submissionAccepted bool
	// claimed is set if the holder is known from the ledger.
	claimed bool
	holder  string
	// misses is the number of consecutive lookups that found no copy.
	misses int
	// until is the time after which the subscription is ended.
	until   time.Time
	renewed time.Time
}

// subscribe connects a caller to a key's answer at holder. With an empty holder
// it looks the holder up.
func (n *Node) subscribe(conn uint64, key string, at caller.Position, request *caller.Request, holder string) *subscription {
	s := &subscription{id: n.id(), conn: conn, key: key, position: at, request: request, holder: holder}
	s.until = n.now.Add(resumeTimeout)
	if request != nil {
		s.until = request.Deadline
	}
	n.subs[s.id] = s
	n.renew(s)
	return s
}

func (n *Node) unsubscribeConn(conn uint64) {
	for id, s := range n.subs {
		if s.conn == conn {
			n.send(s.holder, peer.Unfollow{Key: s.key, Sub: id})
			delete(n.subs, id)
		}
	}
}

// renew requests the answer from the holder, or looks the holder up if it is
// unknown or dead.
func (n *Node) renew(s *subscription) {
	wait := followInterval
	if s.holder == "" || n.members.IsDead(s.holder) {
		s.holder = ""
		n.lookup(s)
		wait = lookupInterval
	} else {
		n.send(s.holder, peer.Follow{Key: s.key, Sub: s.id, Position: s.position})
	}
	s.renewed = n.now
	n.timers.add(timer{at: n.now.Add(wait), kind: timerFollow, number: s.id})
}

// followTimer renews a subscription that was not renewed within lookupInterval,
// or ends it once its time limit or the number of lookups is exceeded.
func (n *Node) followTimer(id uint64) {
	s := n.subs[id]
	if s == nil || n.now.Sub(s.renewed) < lookupInterval {
		return
	}
	if r := n.records[s.key]; r != nil && (r.held() || r.answer.Done()) {
		n.followLocally(s, r)
		return
	}
	if n.now.After(s.until) {
		n.endSubscription(s)
		return
	}
	if s.holder == "" {
		s.misses++
	}
	if s.misses >= lookupRounds {
		n.notFound(s)
		return
	}
	n.renew(s)
}

// followLocally turns a subscription into a local follower after this node has
// become the holder itself.
func (n *Node) followLocally(s *subscription, r *record) {
	delete(n.subs, s.id)
	n.follow(r, &follower{conn: s.conn, position: s.position, accepted: s.accepted})
}

func (n *Node) endSubscription(s *subscription) {
	delete(n.subs, s.id)
	refusal := caller.Refusal{Outcome: caller.Unknown, Reason: caller.ReasonNotFound, Step: "resume", Detail: "no node holds an answer for this key"}
	switch {
	case s.claimed:
		refusal.Reason = caller.ReasonClaimedElsewhere
		refusal.Detail = "the request was claimed by a node that is gone"
	case s.request != nil:
		refusal.Reason = caller.ReasonHolderLost
		refusal.Detail = "the node that held the request is gone"
	}
	refusal.Peer = s.holder
	n.refuseConn(s.conn, refusal)
}

// receiveFollow adds a subscription of another node.
func (n *Node) receiveFollow(from string, m peer.Follow) {
	r := n.records[m.Key]
	if r == nil {
		n.send(from, peer.FollowEvent{Sub: m.Sub})
		return
	}
	if !r.held() && !r.answer.Done() {
		n.send(from, peer.FollowEvent{Sub: m.Sub, Holder: r.holder})
		return
	}
	n.follow(r, &follower{node: from, sub: m.Sub, position: m.Position})
}

func (n *Node) receiveUnfollow(from string, m peer.Unfollow) {
	if r := n.records[m.Key]; r != nil {
		n.unfollow(r, func(f *follower) bool { return f.node == from && f.sub == m.Sub })
	}
}

// receiveFollowEvent forwards an event of a followed answer to the caller. An
// event that does not fit the caller's position is dropped, and the answer is
// requested again from that position.
func (n *Node) receiveFollowEvent(from string, m peer.FollowEvent) {
	s := n.subs[m.Sub]
	if s == nil || from != s.holder {
		n.count(CountDropped, "followed")
		return
	}
	s.misses = 0
	switch {
	case m.Accepted != nil:
		n.subAccepted(s, *m.Accepted)
	case m.Restarted != nil:
		n.subRestarted(s, *m.Restarted)
	case m.Tokens != nil:
		n.subTokens(s, *m.Tokens)
	case m.Done != nil:
		n.subDone(s, *m.Done)
	case m.Failed != nil:
		delete(n.subs, s.id)
		n.reply(s.conn, *m.Failed)
	default:
		n.subMoved(s, m.Holder)
	}
}

func (n *Node) subAccepted(s *subscription, e caller.Accepted) {
	s.submissionAccepted = true
	if s.accepted {
		return
	}
	s.accepted = true
	n.reply(s.conn, e)
}

func (n *Node) subRestarted(s *subscription, e caller.Restarted) {
	if e.Keep > s.position.Offset {
		n.renewSoon(s)
		return
	}
	s.position = caller.Position{Run: e.Run, Offset: e.Keep}
	n.reply(s.conn, e)
}

func (n *Node) subTokens(s *subscription, e caller.Tokens) {
	if s.position.Run == "" && e.Offset == 0 {
		s.position.Run = e.Run
	}
	end := e.Offset + len(e.Tokens)
	if e.Run != s.position.Run || e.Offset > s.position.Offset {
		n.renewSoon(s)
		return
	}
	if end <= s.position.Offset {
		return
	}
	fresh := e.Tokens[s.position.Offset-e.Offset:]
	n.reply(s.conn, caller.Tokens{Run: e.Run, Offset: s.position.Offset, Tokens: fresh})
	s.position.Offset = end
}

func (n *Node) subDone(s *subscription, e caller.Done) {
	matches := e.Run == s.position.Run || s.position.Run == "" && e.Count == 0
	if !matches || e.Count != s.position.Offset {
		n.renewSoon(s)
		return
	}
	delete(n.subs, s.id)
	n.reply(s.conn, e)
}

// subMoved follows the answer to another node, or looks its holder up.
func (n *Node) subMoved(s *subscription, holder string) {
	s.holder = holder
	if holder == n.self() {
		s.holder = ""
	}
	n.renewSoon(s)
}

// renewSoon renews a subscription, with a delay if the last renewal was less
// than minRenewInterval ago.
func (n *Node) renewSoon(s *subscription) {
	if n.now.Sub(s.renewed) >= minRenewInterval {
		n.renew(s)
		return
	}
	n.timers.add(timer{at: n.now.Add(lookupInterval), kind: timerFollow, number: s.id})
}

// minRenewInterval is the minimum interval between two renewals of a
// subscription that are caused by received events.
const minRenewInterval = 20 * time.Millisecond

// forwardCancel forwards a cancellation to the nodes that may hold the key.
func (n *Node) forwardCancel(key string, r *record) {
	if r != nil {
		n.send(r.holder, peer.Cancel{Key: key})
		return
	}
	for _, id := range n.lookupTargets(key) {
		n.send(id, peer.Cancel{Key: key})
	}
}

// receiveCancel handles a cancellation forwarded by another node. Only the
// holder acts on it, so that it is not forwarded again.
func (n *Node) receiveCancel(key string) {
	if r := n.records[key]; r != nil && r.held() {
		n.callerCancel(key)
	}
}

// subsSorted returns the subscriptions ordered by ID, so that effects do not
// depend on the order of map iteration.
func (n *Node) subsSorted() []*subscription {
	var subs []*subscription
	for _, s := range n.subs {
		subs = append(subs, s)
	}
	sort.Slice(subs, func(i, j int) bool { return subs[i].id < subs[j].id })
	return subs
}
