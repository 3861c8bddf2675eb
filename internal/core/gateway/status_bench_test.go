package gateway

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"monsoonlanding/internal/core/peer"
	"monsoonlanding/internal/core/placement"
	"monsoonlanding/internal/core/store"
)

// BenchmarkSecondOfStatuses measures what the statuses of all peers and its own cost the reducer of
// a node in a second of virtual time, by the number of nodes.
func BenchmarkSecondOfStatuses(b *testing.B) {
	for _, nodes := range []int{7, 60, 195, 340} {
		b.Run(fmt.Sprint(nodes), func(b *testing.B) {
			g, now := benchNode(nodes)
			b.ReportAllocs()
			for b.Loop() {
				now = playSecond(g, now, nodes)
			}
		})
	}
}

// benchEngines is the number of upstreams; benchUsed is the number that each node uses at once.
const (
	benchEngines = 120
	benchUsed    = 4
)

func benchNode(nodes int) (*Gateway, time.Time) {
	g := New(Config{Node: "n0", Start: 1, Zone: "z0", CallerAddress: "n0:1", PeerAddress: "n0:2", Bounds: testBounds()}, rand.New(rand.NewPCG(1, 2)))
	var list []placement.Upstream
	for i := range benchEngines {
		list = append(list, up(fmt.Sprint("u", i), "model"))
	}
	var entries []NodeEntry
	for i := range nodes {
		entries = append(entries, NodeEntry{Node: fmt.Sprint("n", i), PeerAddress: fmt.Sprintf("n%d:2", i)})
	}
	g.Reduce(epoch, ConfigRead{Config: testConfig(1), Body: []byte("1")})
	g.Reduce(epoch, RolloutsChanged{})
	g.Reduce(epoch, UpstreamsListed{List: list, Revision: store.Revision{Number: 1}})
	g.Reduce(epoch, NodesListed{Nodes: entries})
	return g, epoch
}

// playSecond plays a second of ticks and of the peers' statuses.
func playSecond(g *Gateway, now time.Time, nodes int) time.Time {
	ticks := int(time.Second / TickInterval)
	perTick := max(int(float64(nodes)*float64(TickInterval)/float64(g.interval())), 1)
	for tick := range ticks {
		now = now.Add(TickInterval)
		for i := range perTick {
			n := 1 + (tick*perTick+i)%(nodes-1)
			g.Reduce(now, PeerReceived{From: fmt.Sprint("n", n), Message: benchStatus(n, now)})
		}
		g.Reduce(now, Tick{})
	}
	return now
}

func benchStatus(n int, now time.Time) peer.Status {
	s := status(fmt.Sprint("n", n))
	s.Seq = uint64(now.UnixNano())
	s.Time = now
	for i := range benchUsed {
		s.Load = append(s.Load, peer.UpstreamLoad{Upstream: fmt.Sprint("u", (n*7+i)%benchEngines), Running: 1, Prefill: 900, Memory: 2000})
	}
	for i := range 19 {
		s.QuotaSpent = append(s.QuotaSpent, peer.TeamQuotaSpent{Team: fmt.Sprint("team", i), Units: float64(i)})
	}
	return s
}
