package node

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"monsoonlanding/internal/core/caller"
	"monsoonlanding/internal/core/peer"
	"monsoonlanding/internal/core/platform"
	"monsoonlanding/internal/core/upstream"
)

// world connects several nodes by fake links, a fake store, fake upstreams and
// fake callers on a virtual clock.
type world struct {
	rng         *rand.Rand
	now         time.Time
	queue       eventQueue
	nodes       []*worldNode
	byID        map[string]*worldNode
	store       fakeStore
	upstreams   map[string]*fakeUpstream
	callers     map[string]*fakeCaller
	conns       map[uint64]*fakeConn
	nextConn    uint64
	loss        float64
	partitioned map[[2]string]bool
	faults      Faults
	oracle      oracle
	record      bool
	meter       *meter
	// bulkStart keeps new nodes from being announced one by one.
	bulkStart bool
	// acceptWhileLeaving makes upstreams accept new requests although they are
	// leaving.
	acceptWhileLeaving bool
	// region is the region of the nodes started next.
	region string
	// failDispatch decides whether a dispatch fails, if it is set.
	failDispatch func(u *fakeUpstream) bool
	lastKill     time.Time
}

type worldNode struct {
	node    *Node
	member  peer.Member
	dead    bool
	paused  bool
	waiting []Event
	active  map[uint64]*fakeRun

	nextTick time.Time
	config   Config
	recorded []recorded
}

type fakeStore struct {
	objects     map[string]platform.Object
	next        uint64
	down        bool
	loseReplies bool
	slow        bool
	// reads and writes count the calls on ledger objects.
	reads   int
	writes  int
	watches int
}

type fakeUpstream struct {
	entry upstream.Upstream
	dead  bool
	// leaving is the time at which its reclaim was announced.
	leaving    time.Time
	until      time.Time
	stalled    bool
	failing    bool
	reordering bool
	crashing   bool
	slow       bool
	poisoned   string
	runs       []*fakeRun
}

type fakeRun struct {
	attempt   uint64
	owner     *worldNode
	upstream  *fakeUpstream
	cancelled bool
	ended     bool
	silent    bool
	key       string
}

type fakeConn struct {
	id       uint64
	caller   *fakeCaller
	instance string
	owner    *worldNode
	open     bool
	run      string
	tokens   []string
}

type scheduledCall struct {
	at    time.Time
	order int
	do    func()
}

type eventQueue struct {
	list []scheduledCall
	next int
}

func (h *eventQueue) Len() int { return len(h.list) }

func (h *eventQueue) Less(i, j int) bool {
	if !h.list[i].at.Equal(h.list[j].at) {
		return h.list[i].at.Before(h.list[j].at)
	}
	return h.list[i].order < h.list[j].order
}
func (h *eventQueue) Swap(i, j int) { h.list[i], h.list[j] = h.list[j], h.list[i] }
func (h *eventQueue) Push(x any)    { h.list = append(h.list, x.(scheduledCall)) }
func (h *eventQueue) Pop() any {
	last := len(h.list) - 1
	x := h.list[last]
	h.list = h.list[:last]
	return x
}

var worldStart = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

const worldRules = `service.plans = { kind = "engine", timeout = "400ms" }  # test
service.bookings = { kind = "plain", timeout = "400ms" }  # test
team.crew = { key_sha256 = "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b" }  # test
`

// newWorld starts nodes spread over zones, with four upstreams per service.
func newWorld(seed uint64, nodes, zones int, faults Faults) *world {
	w := &world{
		rng:         rand.New(rand.NewPCG(seed, 7)),
		now:         worldStart,
		store:       fakeStore{objects: make(map[string]platform.Object)},
		upstreams:   make(map[string]*fakeUpstream),
		callers:     make(map[string]*fakeCaller),
		conns:       make(map[uint64]*fakeConn),
		byID:        make(map[string]*worldNode),
		partitioned: make(map[[2]string]bool),
		faults:      faults,
	}
	w.oracle.init()
	for _, service := range []string{"plans", "bookings"} {
		for i := range 4 {
			w.addUpstream(service, i)
		}
	}
	value, err := encodeRules(1, worldRules)
	if err != nil {
		panic(err)
	}
	w.store.next = 1
	w.store.objects[RulesPath] = platform.Object{Revision: 1, Value: value}
	for i := range nodes {
		w.addNode(fmt.Sprintf("zone-%d", i%zones))
	}
	w.run(2 * time.Second)
	return w
}

func (w *world) addUpstream(service string, i int) {
	u := &fakeUpstream{entry: upstream.Upstream{
		ID: fmt.Sprintf("%s-%d", service, i), Address: "x", Zone: fmt.Sprintf("zone-%d", i%3),
		Service: service, Version: "v1", Kind: upstream.Engine, Slots: 8,
	}}
	if service == "bookings" {
		u.entry.Kind = upstream.Plain
	}
	w.upstreams[u.entry.ID] = u
}

func (w *world) addNode(zone string) *worldNode {
	id := fmt.Sprintf("node-%d", len(w.nodes))
	m := peer.Member{ID: id, PeerAddress: id, CallerAddress: id, Zone: zone, Region: w.region, State: peer.Alive}
	cfg := DefaultConfig(m, w.rng.Uint64())
	cfg.ProgressTokens = 4
	cfg.Faults = w.faults
	n := &worldNode{node: New(cfg), member: m, active: make(map[uint64]*fakeRun), config: cfg}
	w.nodes = append(w.nodes, n)
	w.byID[id] = n
	for _, o := range w.nodes {
		if w.bulkStart {
			break
		}
		var members []peer.Member
		for _, x := range w.nodes {
			if !x.dead {
				members = append(members, x.member)
			}
		}
		w.deliver(o, MembersListed{Members: members})
	}
	w.after(time.Millisecond, func() { w.deliver(n, Tick{}) })
	return n
}

// schedule ensures that the node gets its next Tick in time.
func (w *world) schedule(n *worldNode) {
	at := n.node.NextTick()
	if n.nextTick.After(w.now) && !at.Before(n.nextTick) {
		return
	}
	n.nextTick = at
	w.after(max(at.Sub(w.now), time.Millisecond), func() {
		if n.nextTick.Equal(at) {
			n.nextTick = time.Time{}
			w.deliver(n, Tick{})
		}
	})
}

func (w *world) after(d time.Duration, do func()) {
	w.queue.next++
	heap.Push(&w.queue, scheduledCall{at: w.now.Add(d), order: w.queue.next, do: do})
}

// run advances the virtual time by d.
func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.queue.list) > 0 && !w.queue.list[0].at.After(end) {
		h := heap.Pop(&w.queue).(scheduledCall)
		w.now = h.at
		h.do()
	}
	w.now = end
}

func (w *world) delay() time.Duration {
	return 200*time.Microsecond + time.Duration(w.rng.Int64N(int64(2*time.Millisecond)))
}

func (w *world) deliver(n *worldNode, e Event) {
	if n.dead {
		return
	}
	if n.paused {
		if _, tick := e.(Tick); !tick {
			n.waiting = append(n.waiting, e)
		}
		return
	}
	w.trace(n, "event", e)
	started := time.Now()
	effects := n.node.Reduce(w.now, e)
	if w.meter != nil {
		w.meter.reduceTime += time.Since(started)
		w.meter.events++
	}
	if w.record {
		n.recorded = append(n.recorded, recorded{now: w.now, event: e, effects: effects})
	}
	w.schedule(n)
	for _, effect := range effects {
		w.trace(n, "effect", effect)
		w.execute(n, effect)
	}
}

func (w *world) execute(n *worldNode, e Effect) {
	switch e := e.(type) {
	case Send:
		w.send(n, e)
	case Reply:
		w.reply(n, e)
	case Dispatch:
		w.dispatch(n, e)
	case CancelDispatch:
		if r := n.active[e.Attempt]; r != nil {
			r.cancelled = true
		}
	case ReadObject:
		w.storeAfter(func() { w.deliver(n, w.read(e)) })
	case WriteObject:
		w.storeAfter(func() { w.deliver(n, w.write(e)) })
	case WatchObject:
		w.store.watches++
		w.after(w.delay(), func() { w.watch(n, e, w.now.Add(20*time.Second)) })
	case ListUpstreams:
		w.after(w.delay(), func() { w.deliver(n, UpstreamsListed{List: w.list()}) })
	case Drained:
		w.after(5*time.Millisecond, func() { w.kill(n) })
	}
}

func (w *world) send(n *worldNode, e Send) {
	to := w.resolve(e.To)
	if to == nil {
		return
	}
	if w.meter != nil {
		w.meter.sent(e.Message)
	}
	if to.dead || w.partitioned[[2]string{n.member.ID, e.To}] || w.rng.Float64() < w.loss {
		if to.dead {
			w.after(w.delay(), func() { w.deliver(n, PeerUnreachable{Peer: e.To}) })
		}
		return
	}
	w.after(w.delay(), func() { w.deliver(to, PeerReceived{From: n.member.ID, Message: e.Message}) })
}

func (w *world) resolve(id string) *worldNode { return w.byID[id] }

// acknowledge acknowledges a copy for its receiver and returns the attempt that
// follows from it, if any.
func (w *world) acknowledge(n *worldNode, s Send, reduce func(Event) []Effect) uint64 {
	m, ok := s.Message.(peer.Copy)
	if !ok {
		return 0
	}
	ack := peer.CopyAck{Key: m.Request.Key, Instance: m.Request.Instance, Epoch: m.Epoch, Status: peer.CopyStored}
	for _, e := range reduce(PeerReceived{From: s.To, Message: ack}) {
		if d, ok := e.(Dispatch); ok {
			return d.Attempt
		}
	}
	return 0
}

// living returns the nodes that callers can connect to.
func (w *world) living() []*worldNode {
	var living []*worldNode
	for _, n := range w.nodes {
		if !n.dead {
			living = append(living, n)
		}
	}
	return living
}

func (w *world) reply(n *worldNode, e Reply) {
	c := w.conns[e.Conn]
	if c == nil || !c.open || c.owner != n {
		return
	}
	c.caller.receive(c, e.Event)
	if caller.IsTerminal(e.Event) {
		c.open = false
	}
}
