package gateway

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"monsoonlanding/internal/core/peer"
	"monsoonlanding/internal/core/placement"
	"monsoonlanding/internal/core/route"
)

const (
	// coldArrivals is the number of requests that arrive every coldStep, at the nodes in turn.
	coldStep     = 20 * time.Millisecond
	coldArrivals = 16
	// coldPerSecond is what a cold upstream tolerates, coldBound what it may get in a second.
	coldPerSecond = 11
	coldBound     = 21
)

// coldWorld is a number of nodes, all of which have more requests than cold upstreams take. It
// records what reaches each upstream.
type coldWorld struct {
	*qt.C
	now      time.Time
	nodes    []*Gateway
	entries  []NodeEntry
	list     []placement.Upstream
	revision int64
	conn     uint64
	sent     map[string][]coldSend
	// ends holds the attempts that end with the next step.
	ends []func()
	// linked reports whether two nodes can exchange messages.
	linked func(a, b int) bool
}

type coldSend struct {
	at   time.Time
	node int
}

func coldConfig() route.Config {
	config := testConfig(1)
	config.Teams[0].Rate = 0
	for i := range config.Services {
		config.Services[i].Cold = &route.Cold{Duration: 3 * time.Second, PerSecond: coldPerSecond}
	}
	return config
}

func newColdWorld(t *testing.T, nodes int) *coldWorld {
	w := &coldWorld{C: qt.New(t), now: epoch, sent: make(map[string][]coldSend), linked: func(int, int) bool { return true }}
	for i := range nodes {
		w.entries = append(w.entries, NodeEntry{Node: coldNode(i), PeerAddress: coldNode(i) + ":2"})
	}
	w.nodes = make([]*Gateway, nodes)
	for i := range nodes {
		w.start(i)
	}
	return w
}

func coldNode(i int) string { return fmt.Sprintf("n%03d", i) }

// start starts a node, which has read the store.
func (w *coldWorld) start(i int) {
	bounds := testBounds()
	bounds.ColdOver, bounds.ColdSlack = 1.5, 5
	w.nodes[i] = New(Config{
		Node: coldNode(i), Start: w.now.UnixNano(), Zone: "z1", CallerAddress: coldNode(i) + ":1", PeerAddress: coldNode(i) + ":2", Bounds: bounds,
	}, rand.New(rand.NewPCG(uint64(i), 3)))
	w.reduce(i, ConfigRead{Config: coldConfig(), Body: []byte("1"), Source: "store"})
	w.reduce(i, RolloutsChanged{})
	w.reduce(i, NodesListed{Nodes: w.entries})
	w.reduce(i, UpstreamsListed{List: w.list})
}

// put changes the store's entries and lets the selected nodes read them.
func (w *coldWorld) put(selected func(node int) bool, list ...placement.Upstream) {
	w.revision++
	w.list = list
	for i := range list {
		w.list[i].Revision = w.revision
	}
	w.read(selected)
}

// read lets the selected nodes read the store's entries.
func (w *coldWorld) read(selected func(node int) bool) {
	for i := range w.nodes {
		if selected(i) {
			w.reduce(i, UpstreamsListed{List: w.list})
		}
	}
}

func everyNode(int) bool { return true }

// reduce passes an event to a node, and carries out its effects.
func (w *coldWorld) reduce(i int, e Event) {
	for _, effect := range w.nodes[i].Reduce(w.now, e) {
		switch effect := effect.(type) {
		case Dispatch:
			w.dispatched(i, effect)
		case Move:
			w.Fatal("no engine leaves")
		}
	}
}

func (w *coldWorld) dispatched(i int, d Dispatch) {
	if d.Relay.Node == "" {
		w.sent[d.Upstream.ID] = append(w.sent[d.Upstream.ID], coldSend{w.now, i})
		w.ends = append(w.ends, func() {
			w.reduce(i, Ended{Conn: d.Conn, Attempt: d.Attempt, Result: ResultComplete, Framing: FramingLength})
		})
		return
	}
	var to int
	fmt.Sscanf(d.Relay.Node, "n%d", &to)
	w.ends = append(w.ends, func() {
		w.reduce(i, HandlerEnded{Conn: d.Conn})
		if w.linked(i, to) {
			w.arrive(to, &Relayed{From: coldNode(i), Attempts: 1})
		}
	})
}

func (w *coldWorld) arrive(i int, relayed *Relayed) {
	w.conn++
	w.reduce(i, Arrived{Conn: w.conn, Request: Request{ID: fmt.Sprint("r", w.conn), Host: "h", Path: "/plan/1", Key: "k", Fingerprint: w.conn}, Relayed: relayed})
}

// exchangeStatuses lets all linked nodes hear of each other.
func (w *coldWorld) exchangeStatuses() {
	for i := range w.nodes {
		for j := range w.nodes {
			if i != j && w.linked(i, j) {
				w.reduce(i, PeerReceived{From: coldNode(j), Message: peer.Status{
					Node: coldNode(j), Start: w.nodes[j].cfg.Start, Zone: "z1", CallerAddress: coldNode(j) + ":1", PeerAddress: coldNode(j) + ":2",
					Ready: true, ConfigVersion: 1, Time: w.now, TakesRelays: true, Reaches: true,
				}})
			}
		}
	}
}

// play lets each node's callers send requests for a time; each acts before each step.
func (w *coldWorld) play(d time.Duration, acts ...func(since time.Duration)) {
	began := w.now
	for step := 0; w.now.Before(began.Add(d)); step++ {
		w.now = w.now.Add(coldStep)
		for _, act := range acts {
			act(w.now.Sub(began))
		}
		ends := w.ends
		w.ends = nil
		for _, end := range ends {
			end()
		}
		for i := range w.nodes {
			if step%10 == i%10 {
				w.reduce(i, Tick{})
			}
		}
		for i := range coldArrivals {
			w.arrive((step*coldArrivals+i)%len(w.nodes), nil)
		}
	}
}

// mostIn returns the largest number of requests that an upstream got in a second from a time on.
func (w *coldWorld) mostIn(id string, from time.Time) int {
	most, first := 0, 0
	var list []coldSend
	for _, s := range w.sent[id] {
		if !s.at.Before(from) {
			list = append(list, s)
		}
	}
	for i, s := range list {
		for s.at.Sub(list[first].at) > time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// sentIn returns the number of requests that an upstream got in a time.
func (w *coldWorld) sentIn(id string, from, to time.Time) (n int) {
	for _, s := range w.sent[id] {
		if !s.at.Before(from) && s.at.Before(to) {
			n++
		}
	}
	return n
}

// coldUpstreams returns engines that stay cold for a time.
func coldUpstreams(n int, left time.Duration) []placement.Upstream {
	var list []placement.Upstream
	for i := range n {
		u := up(fmt.Sprint("m", i), "model")
		u.ColdLeft = left
		list = append(list, u)
	}
	return list
}

// checkCold checks each upstream from a time on: never more than the bound in a second, and over a
// period at least a fraction of what it tolerates.
func (w *coldWorld) checkCold(from time.Time, used float64) {
	w.Helper()
	seconds := w.now.Sub(from).Seconds()
	for _, u := range w.list {
		most, total := w.mostIn(u.ID, from), w.sentIn(u.ID, from, w.now)
		w.Check(most <= coldBound, qt.IsTrue, qt.Commentf("%s: %d in a second", u.ID, most))
		w.Check(float64(total) >= used*coldPerSecond*seconds, qt.IsTrue, qt.Commentf("%s: %d in %.1f s", u.ID, total, seconds))
	}
}
