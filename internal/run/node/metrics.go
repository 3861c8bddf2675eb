package node

import (
	"expvar"

	"monsoonlanding/internal/core/caller"
	"monsoonlanding/internal/core/node"
)

// Counters of this process, published under /debug/vars.
var (
	counters = map[node.Counter]*expvar.Map{}

	peerBytes    = expvar.NewInt("peer_bytes_sent")
	peerMessages = expvar.NewInt("peer_messages_sent")
	slowCallers  = expvar.NewInt("slow_callers_disconnected")
)

func init() {
	for _, c := range []node.Counter{
		node.CountRefusal, node.CountRetry, node.CountAnswer, node.CountAccepted,
		node.CountTakeover, node.CountDropped, node.CountTokens, node.CountStore,
	} {
		counters[c] = expvar.NewMap(string(c))
	}
	for _, reason := range caller.Reasons() {
		counters[node.CountRefusal].Add(string(reason), 0)
	}
	for _, cause := range node.Causes() {
		counters[node.CountRetry].Add(string(cause), 0)
	}
}

func countEffect(e node.Count) { counters[e.Counter].Add(e.Label, int64(e.N)) }

func countRefusal(reason caller.Reason) { counters[node.CountRefusal].Add(string(reason), 1) }

func countPeerMessage(bytes int) {
	peerBytes.Add(int64(bytes))
	peerMessages.Add(1)
}

func countSlowCaller() { slowCallers.Add(1) }
