package node

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"monsoonlanding/internal/core/average"
	"monsoonlanding/internal/core/caller"
	"monsoonlanding/internal/core/operator"
	"monsoonlanding/internal/core/peer"
	"monsoonlanding/internal/core/platform"
	"monsoonlanding/internal/core/team"
	"monsoonlanding/internal/core/upstream"
)

// AlonePolicy is the policy for new requests while the node knows no usable
// node in another availability zone.
type AlonePolicy string

// Policies of a node that has no possible backup.
const (
	AloneRefuse AlonePolicy = "refuse"
	AloneAccept AlonePolicy = "accept"
)

// Config configures a node.
type Config struct {
	Self peer.Member
	// Seed is the seed of the random numbers.
	Seed  uint64
	Alone AlonePolicy
	// MemoryBytes bounds the memory for requests and answers.
	MemoryBytes int
	// Retention is the period for which an ended request is kept for callers
	// that reconnect.
	Retention time.Duration
	// ProgressTokens is the maximum number of tokens not yet sent to backups.
	ProgressTokens int
	// QueueCount and QueueBytes bound each service's queue.
	QueueCount int
	QueueBytes int
	Timing     peer.Timing
	Ledger     platform.Limits
	// Seeds are the peer addresses contacted while no other node is known.
	Seeds []string
	// Faults enables deliberate defects, to verify the test oracle.
	Faults Faults
}

// Faults are deliberate defects that tests enable to verify that the test
// oracle detects them. The zero value has none.
type Faults struct {
	SkipClaim          bool
	SkipBackup         bool
	DispatchRefused    bool
	IgnoreRuns         bool
	IgnoreLeaving      bool
	RetryNonIdempotent bool
}

// DefaultConfig returns the default configuration of an entry VM.
func DefaultConfig(self peer.Member, seed uint64) Config {
	return Config{
		Self:           self,
		Seed:           seed,
		Alone:          AloneRefuse,
		MemoryBytes:    128 << 20,
		Retention:      time.Minute,
		ProgressTokens: 32,
		QueueCount:     2000,
		QueueBytes:     64 << 20,
		Timing:         peer.DefaultTiming(),
		Ledger:         platform.DefaultLimits(),
	}
}

const (
	// maxTickInterval is the longest interval between two Ticks.
	maxTickInterval = 100 * time.Millisecond
	// ledgerTickInterval is the interval between two Ticks while the ledger has
	// operations to write.
	ledgerTickInterval = 5 * time.Millisecond
)

// NextTick returns the time of the next Tick that Reduce needs. After any other
// event it must be called again.
func (n *Node) NextTick() time.Time {
	next := n.now.Add(maxTickInterval)
	for _, q := range n.queues {
		if q.Len() > 0 {
			next = n.now.Add(dispatchInterval)
		}
	}
	if n.ledger.HasQueued() {
		next = n.now.Add(ledgerTickInterval)
	}
	if at, ok := n.timers.next(); ok && at.Before(next) {
		next = at
	}
	return next
}

// teamQueueShare is the fraction of a queue's maximum length that one team
// may occupy while the queue is at least half full.
const teamQueueShare = 0.5

// Node is the state of one node. It is not safe for concurrent use.
type Node struct {
	cfg     Config
	now     time.Time
	rng     *rand.Rand
	effects []Effect
	timers  timers

	members    *peer.Members
	ledger     *platform.Ledger
	upstreams  *upstream.Set
	poison     *upstream.PoisonDetector
	budgets    map[string]*upstream.RetryBudget
	queues     map[string]*team.Queue
	runTimes   map[string]*average.Duration
	records    map[string]*record
	attempts   map[uint64]*attempt
	subs       map[uint64]*subscription
	conns      map[uint64]string
	claims     map[uint64]*claim
	tombstones map[string]time.Time
	grants     map[string]grant
	moves      map[string]*move
	inFlight   map[string]int
	bytes      int
	nextID     uint64
	ended      []ended
	storeCalls map[uint64]storeCall

	inForce  rulesInForce
	list     upstreamList
	schedule schedule
	shutdown shutdownState
}

// schedule holds the times at which periodic work was last done, and the times
// of events that it depends on.
type schedule struct {
	list      time.Time
	loads     time.Time
	gossip    time.Time
	prune     time.Time
	dispatch  time.Time
	moves     time.Time
	evidence  time.Time
	lastEvent time.Time
	started   bool
	// lastRequest is the time of the last request per service.
	lastRequest map[string]time.Time
	// dispatchFrom is the earliest time of the next dispatch after a pause of
	// the process.
	dispatchFrom time.Time
}

// New returns a node that knows no other node.
func New(cfg Config) *Node {
	rng := rand.New(rand.NewPCG(cfg.Seed, cfg.Seed))
	return &Node{
		cfg:        cfg,
		rng:        rng,
		members:    peer.New(cfg.Self, rng, cfg.Timing),
		ledger:     platform.New(cfg.Ledger),
		upstreams:  upstream.New(cfg.Self.ID, rng),
		poison:     upstream.NewPoisonDetector(),
		budgets:    make(map[string]*upstream.RetryBudget),
		queues:     make(map[string]*team.Queue),
		runTimes:   make(map[string]*average.Duration),
		records:    make(map[string]*record),
		attempts:   make(map[uint64]*attempt),
		subs:       make(map[uint64]*subscription),
		conns:      make(map[uint64]string),
		claims:     make(map[uint64]*claim),
		tombstones: make(map[string]time.Time),
		grants:     make(map[string]grant),
		moves:      make(map[string]*move),
		inFlight:   make(map[string]int),
		storeCalls: make(map[uint64]storeCall),
		schedule:   schedule{lastRequest: make(map[string]time.Time)},
		inForce:    newRulesInForce(),
	}
}

// Reduce applies an event at the given time and returns the effects to execute.
func (n *Node) Reduce(now time.Time, e Event) []Effect {
	n.now = now
	n.effects = nil
	n.detectPause()
	n.apply(e)
	n.runTimers()
	n.runLedger()
	n.applyMemberChanges()
	n.checkDrained()
	return n.effects
}

func (n *Node) apply(e Event) {
	switch e := e.(type) {
	case Tick:
		n.tick()
	case CallerRequest:
		n.callerRequest(e)
	case CallerResume:
		n.callerResume(e)
	case CallerDisconnected:
		n.callerDisconnected(e.Conn)
	case CallerCancel:
		n.callerCancel(e.Key)
	case UpstreamTokens:
		n.upstreamTokens(e)
	case UpstreamDone:
		n.upstreamDone(e)
	case UpstreamFailed:
		n.upstreamFailed(e)
	case UpstreamLoad:
		n.upstreams.RecordLoad(e.Upstream, e.Load)
	case UpstreamsListed:
		n.upstreamsListed(e.List)
	case UpstreamReclaimNotice:
		n.upstreamLeaving(e.Upstream, e.Until)
	case PeerReceived:
		n.peerReceived(e.From, e.Message)
	case PeerUnreachable:
		n.members.MarkUnreachable(n.now, e.Peer)
	case MembersListed:
		n.membersListed(e.Members)
	case ObjectRead:
		n.objectRead(e)
	case ObjectWritten:
		n.objectWritten(e)
	case ObjectChanged:
		n.objectChanged(e)
	case ApplyRules:
		n.applyRules(e)
	case RequestRevisions:
		n.requestRevisions()
	case Stop:
		n.leave(time.Time{})
	case NodeReclaimNotice:
		n.leave(e.Until)
	}
}

func (n *Node) emit(e Effect) { n.effects = append(n.effects, e) }

func (n *Node) count(c Counter, label string) { n.emit(Count{Counter: c, Label: label, N: 1}) }

func (n *Node) log(level Level, step, key, peer, format string, args ...any) {
	n.emit(Log{Level: level, Step: step, Key: key, Peer: peer, Message: fmt.Sprintf(format, args...)})
}

func (n *Node) id() uint64 {
	n.nextID++
	return n.nextID
}

func (n *Node) self() string { return n.cfg.Self.ID }

// send sends a message to a member. A message to an unknown member or to this
// node itself is dropped.
func (n *Node) send(to string, m peer.Message) {
	member, ok := n.members.Get(to)
	if !ok || to == n.self() {
		return
	}
	n.emit(Send{To: to, Address: member.PeerAddress, Message: m})
}

// broadcast sends a message to all members that are not dead.
func (n *Node) broadcast(m peer.Message) {
	for _, x := range n.members.All() {
		if x.State != peer.Dead {
			n.send(x.ID, m)
		}
	}
}

func (n *Node) sendAll(out []peer.Outgoing) {
	for _, o := range out {
		n.send(o.To, o.Message)
	}
}

// Members returns the known nodes.
func (n *Node) Members() []peer.Member { return n.members.All() }

// Upstreams returns the known upstreams.
func (n *Node) Upstreams() []upstream.Upstream { return n.upstreams.All() }

// Rules returns the rules in force and their revision.
func (n *Node) Rules() (*operator.Rules, uint64) { return n.inForce.rules, n.inForce.revision }

// Leaving reports whether the node is shutting down.
func (n *Node) Leaving() bool { return n.shutdown.leaving }

// Usage is the amount of work and data that a node holds.
type Usage struct {
	Records int `json:"records"`
	Held    int `json:"held"`
	Bytes   int `json:"bytes"`
	Queued  int `json:"queued"`
	Running int `json:"running"`
}

// Usage returns the current usage.
func (n *Node) Usage() Usage {
	u := Usage{Records: len(n.records), Bytes: n.bytes, Running: len(n.attempts)}
	for _, r := range n.records {
		if r.active() {
			u.Held++
		}
	}
	for _, q := range n.queues {
		u.Queued += q.Len()
	}
	return u
}

// sortedKeys returns the keys of the records that match, sorted, so that
// effects do not depend on the order of map iteration.
func (n *Node) sortedKeys(match func(*record) bool) []string {
	var keys []string
	for key, r := range n.records {
		if match(r) {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	return keys
}

// put stores a record under its key and replaces any other record of the key.
func (n *Node) put(r *record) {
	n.remove(r.request.Key)
	n.records[r.request.Key] = r
	n.bytes += r.size()
}

func (n *Node) remove(key string) {
	if old, ok := n.records[key]; ok {
		n.bytes -= old.size()
		delete(n.records, key)
	}
}

func (n *Node) reply(conn uint64, e caller.StreamEvent) {
	n.emit(Reply{Conn: conn, Event: e})
	if caller.IsTerminal(e) {
		delete(n.conns, conn)
	}
}
