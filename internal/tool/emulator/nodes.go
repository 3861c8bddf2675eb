package emulator

import (
	"fmt"
	"math/rand/v2"

	"monsoonlanding/internal/core/gateway"
	"monsoonlanding/internal/core/placement"
	"monsoonlanding/internal/core/store"
)

// startNodes starts all nodes without state.
func (s *simulation) startNodes(firstStart bool) {
	s.nodes = make([]*gateway.Gateway, s.setup.Nodes)
	for i := range s.nodes {
		s.nodes[i] = gateway.New(s.nodeConfig(i, firstStart), rand.New(rand.NewPCG(s.setup.Seed, uint64(100+i))))
	}
	var entries []gateway.NodeEntry
	for i := range s.nodes {
		entries = append(entries, gateway.NodeEntry{Node: nodeName(i), PeerAddress: nodeName(i)})
	}
	for i := range s.nodes {
		s.reduce(i, gateway.ConfigRead{Config: s.config(), Body: []byte("1"), Source: "store"})
		s.reduce(i, gateway.RolloutsChanged{})
		s.reduce(i, gateway.NodesListed{Nodes: entries})
		s.sendUpstreamList(i)
	}
}

func nodeName(i int) string { return fmt.Sprint("node-", i) }

func (s *simulation) nodeConfig(i int, firstStart bool) gateway.Config {
	return gateway.Config{
		Node: nodeName(i), Start: s.now.UnixNano(), Zone: zone(i),
		CallerAddress: nodeName(i), PeerAddress: nodeName(i), FirstStart: firstStart,
		Cost:     s.setup.Cost,
		Learning: s.setup.Learning,
		Bounds:   s.setup.Bounds,
	}
}

// sendUpstreamList sends a node the current list of upstreams.
func (s *simulation) sendUpstreamList(node int) {
	s.revision++
	var list []placement.Upstream
	for _, u := range s.upstreams {
		if !u.crashed {
			list = append(list, u.Upstream)
		}
	}
	s.reduce(node, gateway.UpstreamsListed{List: list, Revision: store.Revision{Number: s.revision}})
}

func (s *simulation) sendUpstreamLists() {
	for i := range s.nodes {
		s.sendUpstreamList(i)
	}
}

// restartNodes restarts all nodes without state; callers whose answer has not
// begun submit their request again at once.
func (s *simulation) restartNodes() {
	s.startNodes(false)
	// A new process has not had any answer yet.
	clear(s.oracle.limit.named)
	s.oracle.pause.forget()
	for _, conn := range s.pendingConns() {
		c := s.pending[conn]
		delete(s.pending, conn)
		if c.runsOn != nil {
			c.runsOn.running--
			c.runsOn = nil
		}
		s.submit(c)
	}
}

// reduce passes an event to a node's reducer and executes the effects.
func (s *simulation) reduce(node int, e gateway.Event) {
	for _, effect := range s.nodes[node].Reduce(s.now, e) {
		s.execute(node, effect)
	}
}

func (s *simulation) execute(node int, e gateway.Effect) {
	switch e := e.(type) {
	case gateway.Dispatch:
		s.dispatch(node, e)
	case gateway.Refuse:
		s.handleRefusal(e)
	case gateway.Abort:
		s.handleAbort(e.Conn)
	case gateway.ProbeUpstream:
		s.probe(node, e)
	case gateway.Send:
		s.send(node, e)
	case gateway.ReadQuarantine:
		s.answerStoreCall(node, s.storedQuarantine)
	case gateway.WriteQuarantine:
		s.storedQuarantine = gateway.QuarantineRead{Evidence: e.Evidence, At: e.At, Done: true}
		s.answerStoreCall(node, gateway.QuarantineWritten{Done: true})
	}
}

// answerStoreCall answers a node's call to the store.
func (s *simulation) answerStoreCall(node int, answer gateway.Event) {
	caller := s.nodes[node]
	s.after(storeLatency, func() {
		if s.nodes[node] == caller {
			s.reduce(node, answer)
		}
	})
}

func (s *simulation) send(from int, e gateway.Send) {
	var to int
	if _, err := fmt.Sscanf(e.Node, "node-%d", &to); err != nil {
		panic("emulator: message to unknown node " + e.Node)
	}
	target := s.nodes[to]
	if s.partitioned(from) != s.partitioned(to) {
		return
	}
	s.after(messageLatency, func() {
		if s.nodes[to] == target {
			s.reduce(to, gateway.PeerReceived{From: nodeName(from), Message: e.Message})
		}
	})
}

// partitioned reports whether a node is now partitioned from the others by the
// pattern.
func (s *simulation) partitioned(node int) bool {
	at := s.now.Sub(startTime)
	return node < s.pattern.PartitionedNodes && at >= s.pattern.PartitionAt && at < s.pattern.PartitionAt+s.pattern.PartitionDuration
}
