package gateway

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	core "monsoonlanding/internal/core/gateway"
	"monsoonlanding/internal/core/peer"
	"monsoonlanding/internal/core/placement"
	"monsoonlanding/internal/core/quarantine"
	"monsoonlanding/internal/wire/peerws"
)

// BenchmarkStatus measures the cost of receiving a status message among n
// nodes with n upstreams: decoding and reducing it.
func BenchmarkStatus(b *testing.B) {
	for _, n := range []int{7, 64, 340} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			codec, err := peerws.NewCodec()
			if err != nil {
				b.Fatal(err)
			}
			now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
			g := core.New(core.Config{Node: "self", Bounds: core.Bounds{UsageWindow: 5 * time.Second, RetryWindow: 10 * time.Second, QuotaWindow: 8 * time.Second}}, rand.New(rand.NewPCG(1, 1)))
			var list core.UpstreamsListed
			for i := range n {
				list.List = append(list.List, placement.Upstream{ID: fmt.Sprintf("i-%010d", i), Service: "s", State: placement.StateReady})
			}
			g.Reduce(now, list)
			frames := make([][]byte, n)
			for i := range frames {
				frames[i], err = codec.Encode(busyStatus(i, now))
				if err != nil {
					b.Fatal(err)
				}
			}
			b.SetBytes(int64(len(frames[0])))
			for i := 0; b.Loop(); i++ {
				m, err := codec.Decode(frames[i%n])
				if err != nil {
					b.Fatal(err)
				}
				g.Reduce(now, core.PeerReceived{From: "x", Message: m})
			}
		})
	}
}

// BenchmarkEncodeStatus measures the cost of encoding a status message, with
// and without the usage counts that are sent to some nodes only, and with the
// evidence while engines crash and name limits.
func BenchmarkEncodeStatus(b *testing.B) {
	codec, err := peerws.NewCodec()
	if err != nil {
		b.Fatal(err)
	}
	full := busyStatus(1, time.Now())
	withoutUsage := full
	withoutUsage.Usage = nil
	troubled := withoutUsage
	addTroubles(&troubled)
	for name, s := range map[string]peer.Status{"full": full, "without usage": withoutUsage, "troubled": troubled} {
		b.Run(name, func(b *testing.B) {
			size := 0
			for b.Loop() {
				frame, err := codec.Encode(s)
				if err != nil {
					b.Fatal(err)
				}
				size = len(frame)
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}

// busyStatus returns a status message of node i with 10 upstreams and 16 teams.
func busyStatus(i int, now time.Time) peer.Status {
	s := peer.Status{Node: fmt.Sprintf("edge-zone-a-%d", i), Start: 1, PeerAddress: "10.0.0.1:80", CallerAddress: "10.0.0.1:81", Ready: true, ConfigVersion: 1, Time: now}
	for k := range 10 {
		s.Load = append(s.Load, peer.UpstreamLoad{Upstream: fmt.Sprintf("i-%010d", k*3+i%3), Running: 2, Prefill: 1000, Memory: 9000})
	}
	counts := make(map[string]int64)
	for k := range 16 {
		name := fmt.Sprintf("team%d", k)
		s.QuotaSpent = append(s.QuotaSpent, peer.TeamQuotaSpent{Team: name, Units: 12345})
		counts[name] = 100
	}
	for w := range int64(2) {
		s.Usage = append(s.Usage, peer.UsageWindow{Window: w, Counts: counts})
	}
	for k := range 3 {
		s.KnownNodes = append(s.KnownNodes, peer.KnownNode{Node: fmt.Sprintf("edge-zone-a-%d", k), PeerAddress: "10.0.0.1:80"})
	}
	return s
}

// addTroubles adds the evidence of 40 crashes and the limits of 10 upstreams to a
// status.
func addTroubles(s *peer.Status) {
	now := time.Now()
	r := quarantine.New()
	for id := range uint64(40) {
		for neighbour := range uint64(4) {
			parts := []string{"5c1e07a2", fmt.Sprintf("%08x", (id*4+neighbour)%30)}
			r.RecordCrash(now, id<<40, quarantine.Traits(parts, id*4+neighbour), quarantine.SignNothing)
		}
	}
	s.Quarantine = r.Report(now)
	for _, load := range s.Load {
		limit := placement.RateLimit{Named: true, PerSecond: 1.2}
		s.Limits = append(s.Limits, placement.ObservedLimit{Upstream: load.Upstream, Limit: limit, Age: time.Second})
	}
}
