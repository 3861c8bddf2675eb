package gateway

import (
	"cmp"
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"monsoonlanding/internal/core/leader"
	"monsoonlanding/internal/core/peer"
	"monsoonlanding/internal/core/placement"
	"monsoonlanding/internal/core/store"
)

// worldNodes is the number of nodes of a storeWorld.
const worldNodes = 5

// storeWorld plays all nodes' reducers on virtual time before a store that is restored
// from copies, with upstreams that write their entries there, leave and are replaced.
// Calls to the store take time, are lost or are carried out late.
type storeWorld struct {
	rng   *rand.Rand
	now   time.Time
	queue worldQueue
	seq   int

	objects storeObjects
	// copies holds the store's earlier states, oldest first.
	copies []storeCopy
	// generation is the store's own; hideGeneration is a defect of the nodes: they are not
	// told of it.
	generation     int64
	hideGeneration bool
	neverRestored  bool
	// killsWithRestore is set if each restore of the store comes with kills of nodes, mostly all.
	killsWithRestore bool
	down             bool
	// turnedAway holds until when the store turns a node away, by name.
	turnedAway map[string]time.Time
	// lossy is set if some messages between nodes are lost.
	lossy bool
	// answerTime is how long a request takes at an upstream.
	answerTime time.Duration
	// unstableAt holds the times at which the store was down or was restored.
	unstableAt []time.Time

	upstreams map[string]*worldUpstream
	nextID    int
	nodes     []*worldNode
	conn      uint64

	// token and holder are those of the latest call to the platform.
	token  int64
	holder string
	usage  map[int64]map[string]int64
	// version is the operator's latest configuration, acknowledged at versionAt.
	version    int64
	versionAt  time.Time
	violations []string
}

// storeObjects is the content of the store.
type storeObjects struct {
	rev     int64
	config  int64
	lease   *leader.Stored
	entries map[string]placement.Upstream
	// changes holds the changes of the entries.
	changes []entryChange
}

type entryChange struct {
	rev     int64
	id      string
	put     placement.Upstream
	removed bool
}

type storeCopy struct {
	at      time.Time
	objects storeObjects
}

func (o storeObjects) clone() storeObjects {
	o.entries = maps.Clone(o.entries)
	o.changes = slices.Clone(o.changes)
	return o
}

// worldUpstream is a process of an upstream.
type worldUpstream struct {
	entry   placement.Upstream
	written time.Time
	// leftAt are the times at which the store has acknowledged its leave.
	leftAt []time.Time
	exited bool
}

// worldNode is a node's process.
type worldNode struct {
	name  string
	g     *Gateway
	start time.Time
	// known is the revision up to which its feed of the upstreams has been read, nextRead
	// the time of its next turn to list and watches whether it watches until then.
	known    store.Revision
	nextRead time.Time
	watches  bool
	// reading is set while a call for the feed is open.
	reading bool
}

type worldEvent struct {
	at  time.Time
	seq int
	do  func()
}

type worldQueue []worldEvent

func (q worldQueue) Len() int { return len(q) }
func (q worldQueue) Less(i, j int) bool {
	return cmp.Or(q[i].at.Compare(q[j].at), cmp.Compare(q[i].seq, q[j].seq)) < 0
}
func (q worldQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *worldQueue) Push(x any)   { *q = append(*q, x.(worldEvent)) }
func (q *worldQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func newStoreWorld(seed uint64) *storeWorld {
	w := &storeWorld{
		rng: rand.New(rand.NewPCG(seed, 1)), now: epoch, generation: 1,
		turnedAway: make(map[string]time.Time), answerTime: 10 * time.Millisecond,
		upstreams: make(map[string]*worldUpstream), usage: make(map[int64]map[string]int64),
	}
	w.objects.entries = make(map[string]placement.Upstream)
	w.writeConfig()
	for range 4 {
		w.addUpstream()
	}
	for i := range worldNodes {
		w.nodes = append(w.nodes, &worldNode{name: fmt.Sprint("node-", i)})
		w.startNode(w.nodes[i], true)
	}
	return w
}

func (w *storeWorld) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.queue, worldEvent{at: w.now.Add(d), seq: w.seq, do: do})
}

// every repeats an action with a mean interval for as long as it returns true.
func (w *storeWorld) every(mean time.Duration, do func() bool) {
	w.after(mean/2+time.Duration(w.rng.Int64N(int64(mean))), func() {
		if do() {
			w.every(mean, do)
		}
	})
}

// run plays the world for a duration.
func (w *storeWorld) run(d time.Duration) {
	for end := w.now.Add(d); w.queue.Len() > 0; {
		e := heap.Pop(&w.queue).(worldEvent)
		if e.at.After(end) {
			return
		}
		w.now = e.at
		e.do()
	}
}

func (w *storeWorld) addViolation(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf("%v: ", w.now.Sub(epoch))+fmt.Sprintf(format, args...))
}

// startNode starts a process of a node without state.
func (w *storeWorld) startNode(n *worldNode, first bool) {
	n.start, n.known, n.watches, n.reading, n.nextRead = w.now, store.Revision{}, false, false, w.now
	n.g = New(Config{
		Node: n.name, Start: w.now.UnixNano(), Zone: "z1", CallerAddress: n.name, PeerAddress: n.name,
		FirstStart: first, Bounds: testBounds(),
	}, rand.New(rand.NewPCG(w.rng.Uint64(), 1)))
	var entries []NodeEntry
	for i := range worldNodes {
		entries = append(entries, NodeEntry{Node: fmt.Sprint("node-", i), PeerAddress: fmt.Sprint("node-", i)})
	}
	g := n.g
	w.reduce(n, g, NodesListed{Nodes: entries})
	w.reduce(n, g, RolloutsChanged{})
	w.reduce(n, g, QuarantineRead{Done: true})
	w.every(TickInterval, func() bool { w.reduce(n, g, Tick{}); return n.g == g })
	w.every(200*time.Millisecond, func() bool { w.sendRequest(n, g); return n.g == g })
	w.every(20*time.Millisecond, func() bool { w.followStore(n, g); return n.g == g })
	w.every(500*time.Millisecond, func() bool { w.checkTurn(n, g); return n.g == g })
}

// reduce passes an event to a process if it still runs.
func (w *storeWorld) reduce(n *worldNode, g *Gateway, e Event) {
	if g == nil || n.g != g {
		return
	}
	for _, effect := range g.Reduce(w.now, e) {
		w.execute(n, g, effect)
	}
}

func (w *storeWorld) execute(n *worldNode, g *Gateway, e Effect) {
	switch e := e.(type) {
	case Log:
		if *storeTrace && e.Request == "" {
			fmt.Println(w.now.Sub(epoch), n.name, e.Step, e.Message, e.Inputs)
		}
	case Dispatch:
		w.dispatch(n, g, e)
	case Send:
		w.send(n, e)
	case ListFeed:
		n.nextRead = w.now
	case PackConfig:
		w.after(time.Millisecond, func() { w.reduce(n, g, ConfigPacked{Version: e.Version, Packed: e.Body}) })
	case UnpackConfig:
		w.after(time.Millisecond, func() {
			w.reduce(n, g, ConfigRead{Config: testConfig(e.Version), Body: e.Packed, Packed: e.Packed, Source: e.Node})
		})
	case ReadLease:
		w.call(n, g, func() Event { return w.readLease() }, LeaseRead{Result: leader.ResultUnknown})
	case WriteLease:
		w.call(n, g, func() Event { return w.writeLease(e) }, LeaseWritten{Result: leader.ResultUnknown})
	case ReportUsage:
		w.after(w.latency(), func() { w.reportUsage(n, e) })
		w.after(100*time.Millisecond, func() { w.reduce(n, g, UsageReported{Window: e.Report.Window, Accepted: true}) })
	case WriteQuarantine:
		w.call(n, g, func() Event { return QuarantineWritten{Done: true} }, QuarantineWritten{})
	}
}

func (w *storeWorld) send(from *worldNode, e Send) {
	if w.lossy && w.rng.IntN(lossOneIn) == 0 {
		return
	}
	i := slices.IndexFunc(w.nodes, func(n *worldNode) bool { return n.name == e.Address })
	to := w.nodes[i]
	g := to.g
	event := Event(PeerReceived{From: from.name, Message: e.Message})
	if update, ok := e.Message.(peer.ConfigUpdate); ok {
		event = ConfigRead{Config: testConfig(update.Version), Body: update.Body, Source: from.name}
	}
	w.after(2*time.Millisecond, func() { w.reduce(to, g, event) })
}

func (w *storeWorld) latency() time.Duration {
	return time.Millisecond + time.Duration(w.rng.Int64N(int64(40*time.Millisecond)))
}

// call makes a call to the store. The generation that its answer names reaches the node
// before the answer.
func (w *storeWorld) call(n *worldNode, g *Gateway, do func() Event, unanswered Event) {
	lost, late := w.rng.IntN(30) == 0, time.Duration(0)
	if w.rng.IntN(60) == 0 {
		lost, late = true, time.Duration(w.rng.Int64N(int64(3*time.Second)))
	}
	w.after(w.latency()+late, func() {
		if w.down || w.isTurnedAway(n) {
			lost = true
		}
		var answer Event
		if !lost || !w.down && !w.isTurnedAway(n) {
			answer = do()
		}
		generation := w.generation
		if lost {
			w.after(2*time.Second, func() { w.reduce(n, g, unanswered) })
			return
		}
		w.after(w.latency(), func() {
			w.reportGeneration(n, g, generation)
			w.reduce(n, g, answer)
		})
	})
}

func (w *storeWorld) reportGeneration(n *worldNode, g *Gateway, generation int64) {
	if !w.hideGeneration {
		w.reduce(n, g, StoreGeneration{Generation: generation})
	}
}

// at returns a revision as nodes learn it.
func (w *storeWorld) at(number int64) store.Revision {
	if w.hideGeneration {
		return store.Revision{Number: number}
	}
	return store.Revision{Generation: w.generation, Number: number}
}

// reportUsage checks what the platform receives: fencing tokens don't decrease, two
// holders don't use one, and a window is reported with the same counts only.
func (w *storeWorld) reportUsage(n *worldNode, e ReportUsage) {
	w.log(n.name, "reports usage of", e.Report.Window, e.Report.Counts, "token", e.Token)
	switch {
	case e.Token < w.token:
		w.addViolation("fencing token %d of %s after %d of %s", e.Token, n.name, w.token, w.holder)
	case e.Token == w.token && w.holder != n.name:
		w.addViolation("fencing token %d of %s and %s", e.Token, n.name, w.holder)
	}
	w.token, w.holder = max(w.token, e.Token), n.name
	if before, ok := w.usage[e.Report.Window]; ok && !maps.Equal(before, e.Report.Counts) {
		w.addViolation("usage of window %d: %v and %v", e.Report.Window, before, e.Report.Counts)
	}
	w.usage[e.Report.Window] = e.Report.Counts
}

// followStore reads the store as a node's feeds do.
func (w *storeWorld) followStore(n *worldNode, g *Gateway) {
	switch {
	case n.g != g || n.reading:
	case !w.now.Before(n.nextRead):
		n.nextRead = w.now.Add(time.Hour)
		w.callFeeds(n, g, true)
	case n.watches && w.rng.IntN(2) == 0:
		w.callFeeds(n, g, false)
	}
}

// checkTurn lets a node that has become one of those that watch list the feeds now.
func (w *storeWorld) checkTurn(n *worldNode, g *Gateway) {
	if n.g == g && !n.watches && !n.known.IsZero() && g.Turn(w.now).Watch {
		n.nextRead = w.now
	}
}

// callFeeds lists the feeds or reads their changes.
func (w *storeWorld) callFeeds(n *worldNode, g *Gateway, list bool) {
	n.reading = true
	w.after(w.latency(), func() {
		if n.g != g {
			return
		}
		if w.down || w.isTurnedAway(n) {
			w.reduce(n, g, StoreLost{})
			n.reading, n.watches, n.nextRead = false, false, w.now.Add(300*time.Millisecond)
			return
		}
		known := n.known
		gone := known.Generation != w.at(0).Generation || known.Number > w.objects.rev
		if !list && gone {
			n.reading, n.nextRead = false, w.now
			return
		}
		var events []Event
		if list {
			events = append(events, w.listed(), ConfigRead{Config: testConfig(w.objects.config), Body: []byte("1"), Source: "store"})
		} else if changed, any := w.changedSince(known); any {
			events = append(events, changed)
		}
		generation, revision := w.generation, w.at(w.objects.rev)
		w.after(w.latency(), func() {
			if n.g != g {
				return
			}
			w.reportGeneration(n, g, generation)
			n.reading, n.known = false, revision
			w.reduce(n, g, StoreRegained{})
			for _, e := range events {
				w.reduce(n, g, e)
			}
			if list {
				turn := n.g.Turn(w.now)
				n.watches, n.nextRead = turn.Watch, w.now.Add(turn.Wait)
			}
		})
	})
}
