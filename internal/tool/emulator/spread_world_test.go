package emulator

import (
	"bytes"
	"compress/gzip"
	"container/heap"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"monsoonlanding/internal/core/gateway"
	"monsoonlanding/internal/core/peer"
	"monsoonlanding/internal/core/placement"
	"monsoonlanding/internal/core/route"
	"monsoonlanding/internal/core/store"
	"monsoonlanding/internal/wire/peerws"
)

const (
	// spreadLatency is the one-way latency between nodes.
	spreadLatency = 1400 * time.Microsecond
	// frameOverhead is what the headers of a message add to its size, in bytes.
	frameOverhead = 90
)

// linkRates are the rates of the nodes' links in bits a second; nodes have them by turns.
var linkRates = []float64{10e6, 200e6, 50e6, 100e6, 20e6, 200e6}

// spreadWorld plays how a configuration reaches all nodes. Their links have a rate, and a
// message waits for those before it. Two nodes watch the store, and one after the other
// lists it.
type spreadWorld struct {
	rng      *rand.Rand
	now      time.Time
	events   eventQueue
	sequence int
	codec    *peerws.Codec
	size     int
	nodes    []*spreadNode
	// storeDelay is the time until the store answers.
	storeDelay time.Duration
	// body is the latest configuration, of a version, and acked the time at which the store
	// has acknowledged it.
	body    []byte
	version int64
	acked   time.Time
	// cut holds the nodes that are partitioned from the others and from the store.
	cut map[int]bool
	// statusDelay is the greatest delay of a status.
	statusDelay time.Duration
}

type spreadNode struct {
	index int
	g     *gateway.Gateway
	rate  float64
	// up and down are the times at which the link is free in each direction.
	up, down time.Time
	sent     int
	// inForce is the time at which the node has had each version.
	inForce map[int64]time.Time
}

func newSpreadWorld(nodes int, seed uint64) *spreadWorld {
	codec, err := peerws.NewCodec()
	if err != nil {
		panic(err)
	}
	w := &spreadWorld{size: nodes, rng: rand.New(rand.NewPCG(seed, 7)), now: startTime, codec: codec, storeDelay: 4 * time.Millisecond, cut: make(map[int]bool)}
	w.version, w.body = 1, configBody(20)
	for i := range nodes {
		w.nodes = append(w.nodes, &spreadNode{index: i, rate: linkRates[i%len(linkRates)]})
		w.start(w.nodes[i])
	}
	return w
}

// configBody returns a configuration with a number of routes as the store has it.
func configBody(routes int) []byte {
	rng := rand.New(rand.NewPCG(uint64(routes), 3))
	word := func() string {
		return fmt.Sprintf("%c%c%c%c%d", 'a'+rng.IntN(26), 'a'+rng.IntN(26), 'a'+rng.IntN(26), 'a'+rng.IntN(26), rng.IntN(1000))
	}
	var list []map[string]any
	for range routes {
		list = append(list, map[string]any{
			"name": "r-" + word(), "hostname": word() + ".example", "path_prefix": "/" + word() + "/", "type": "safe",
			"timeout_ms": 1500, "goal_ms": 150, "priority": 2, "service": "desk-" + word(), "attempts": 2, "public": true,
			"can_resume": false, "gap_aim_ms": 0, "sticky": false,
		})
	}
	body, err := json.Marshal(map[string]any{"routes": list})
	if err != nil {
		panic(err)
	}
	return body
}

func (w *spreadWorld) after(d time.Duration, do func()) {
	w.sequence++
	heap.Push(&w.events, event{at: w.now.Add(d), sequence: w.sequence, do: do})
}

func (w *spreadWorld) run(d time.Duration) {
	for end := w.now.Add(d); w.events.Len() > 0 && !w.events[0].at.After(end); {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
}

// start starts a process of the node without state, which knows the other nodes.
func (w *spreadWorld) start(n *spreadNode) {
	n.inForce = make(map[int64]time.Time)
	n.g = gateway.New(gateway.Config{
		Node: nodeName(n.index), Start: w.now.UnixNano(), Zone: zone(n.index), CallerAddress: nodeName(n.index), PeerAddress: nodeName(n.index),
		Bounds: defaultBounds,
	}, rand.New(rand.NewPCG(w.rng.Uint64(), 1)))
	g := n.g
	var entries []gateway.NodeEntry
	for i := range w.size {
		entries = append(entries, gateway.NodeEntry{Node: nodeName(i), PeerAddress: nodeName(i)})
	}
	w.reduce(n, g, gateway.NodesListed{Nodes: entries})
	w.reduce(n, g, gateway.RolloutsChanged{})
	w.reduce(n, g, gateway.QuarantineRead{Done: true})
	list := []placement.Upstream{{ID: "d1", Service: "desk", State: placement.StateReady}}
	w.reduce(n, g, gateway.UpstreamsListed{List: list, Revision: store.Revision{Number: 1}})
	w.listStore(n, g)
	w.tick(n, g, time.Duration(w.rng.Int64N(int64(gateway.TickInterval))))
}

func (w *spreadWorld) tick(n *spreadNode, g *gateway.Gateway, in time.Duration) {
	w.after(in, func() {
		if n.g == g {
			w.reduce(n, g, gateway.Tick{})
			w.tick(n, g, gateway.TickInterval)
		}
	})
}

// listStore reads the configuration from the store and then at the node's turns.
func (w *spreadWorld) listStore(n *spreadNode, g *gateway.Gateway) {
	w.readStore(n, g)
	w.after(max(g.Turn(w.now).Wait, 10*time.Millisecond), func() {
		if n.g == g {
			w.listStore(n, g)
		}
	})
}

// readStore lets the node read the configuration over its link.
func (w *spreadWorld) readStore(n *spreadNode, g *gateway.Gateway) {
	if w.cut[n.index] {
		return
	}
	body, version := w.body, w.version
	w.after(w.storeDelay, func() {
		w.arrive(n, len(body), func() {
			w.reduce(n, g, gateway.ConfigRead{Config: spreadConfig(version), Body: body, Source: "store"})
		})
	})
}

// arrive passes bytes over the node's link to it.
func (w *spreadWorld) arrive(n *spreadNode, size int, do func()) {
	n.down = latest(n.down, w.now).Add(n.transfer(size))
	w.after(n.down.Sub(w.now), do)
}

func (n *spreadNode) transfer(size int) time.Duration {
	return time.Duration(float64(8*(size+frameOverhead)) / n.rate * float64(time.Second))
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// write writes a configuration with a number of routes. The nodes that watch the store
// receive it.
func (w *spreadWorld) write(routes int) {
	w.version++
	w.body, w.acked = configBody(routes), w.now
	for _, n := range w.nodes {
		if n.g.Turn(w.now).Watch {
			w.readStore(n, n.g)
		}
	}
}

// spreadConfig returns the decoded configuration of a version.
func spreadConfig(version int64) route.Config {
	return route.Config{Version: version, Services: []route.Service{{Name: "desk"}}}
}

func (w *spreadWorld) reduce(n *spreadNode, g *gateway.Gateway, e gateway.Event) {
	if n.g != g {
		return
	}
	for _, effect := range g.Reduce(w.now, e) {
		switch effect := effect.(type) {
		case gateway.Send:
			w.send(n, effect)
		case gateway.PackConfig:
			// Virtual time does not pass while the body is compressed, so it is added.
			w.after(packTime(len(effect.Body)), func() {
				w.reduce(n, g, gateway.ConfigPacked{Version: effect.Version, Packed: pack(effect.Body)})
			})
		case gateway.UnpackConfig:
			body := unpack(effect.Packed)
			w.after(packTime(len(body)), func() {
				w.reduce(n, g, gateway.ConfigRead{
					Config: spreadConfig(effect.Version), Body: body, Packed: effect.Packed, Source: effect.Node,
				})
			})
		case gateway.Log:
			if effect.Message == "configuration in force" {
				n.inForce[g.State().ConfigVersion] = w.now
			}
		}
	}
}

// packTime is the time in which a small VM compresses or decodes a number of bytes.
func packTime(size int) time.Duration { return time.Duration(size) * 100 * time.Nanosecond }

func pack(body []byte) []byte {
	var packed bytes.Buffer
	w := gzip.NewWriter(&packed)
	if _, err := w.Write(body); err != nil {
		panic(err)
	}
	if err := w.Close(); err != nil {
		panic(err)
	}
	return packed.Bytes()
}

func unpack(packed []byte) []byte {
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		panic(err)
	}
	body, err := io.ReadAll(r)
	if err != nil {
		panic(err)
	}
	return body
}

func (w *spreadWorld) send(from *spreadNode, e gateway.Send) {
	var index int
	if _, err := fmt.Sscanf(e.Address, "node-%d", &index); err != nil {
		panic("emulator: message to unknown node " + e.Address)
	}
	if w.cut[from.index] != w.cut[index] || index >= len(w.nodes) {
		return
	}
	frame, err := w.codec.Encode(e.Message)
	if err != nil {
		panic(err)
	}
	to, sentAt := w.nodes[index], w.now
	from.sent += len(frame) + frameOverhead
	from.up = latest(from.up, w.now).Add(from.transfer(len(frame)))
	w.after(from.up.Sub(w.now)+spreadLatency, func() {
		g := to.g
		w.arrive(to, len(frame), func() {
			if _, ok := e.Message.(peer.Status); ok {
				w.statusDelay = max(w.statusDelay, w.now.Sub(sentAt))
			}
			w.reduce(to, g, w.received(from, e.Message))
		})
	})
}

// received returns the event for a message. A configuration is decoded first, as outside of
// the reducer.
func (w *spreadWorld) received(from *spreadNode, m peer.Message) gateway.Event {
	if update, ok := m.(peer.ConfigUpdate); ok {
		return gateway.ConfigRead{Config: spreadConfig(update.Version), Body: update.Body, Source: nodeName(from.index)}
	}
	return gateway.PeerReceived{From: nodeName(from.index), Message: m}
}

// lastInForce returns the time from the acknowledgement of the latest version until the
// last of the nodes selected has it or a later one in force, and how many lack it.
func (w *spreadWorld) lastInForce(since time.Time) (last time.Duration, lacking int) {
	for _, n := range w.nodes {
		at, ok := n.inForce[w.version]
		if !ok {
			lacking++
			continue
		}
		last = max(last, at.Sub(since))
	}
	return last, lacking
}

// maxSent returns the bytes that the busiest node has sent since the count was reset.
func (w *spreadWorld) maxSent() int {
	sent := 0
	for _, n := range w.nodes {
		sent = max(sent, n.sent)
	}
	return sent
}

func (w *spreadWorld) resetCounts() {
	w.statusDelay = 0
	for _, n := range w.nodes {
		n.sent = 0
	}
}
