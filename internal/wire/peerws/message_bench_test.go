package peerws

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/rs/zerolog"

	"monsoonlanding/internal/core/peer"
)

// BenchmarkMessage measures a status of a usual size from one pool to the handler of its peer over
// loopback, both ends included, one at a time as among many nodes.
func BenchmarkMessage(b *testing.B) {
	codec, err := NewCodec()
	if err != nil {
		b.Fatal(err)
	}
	arrived := make(chan struct{}, 1)
	mux := http.NewServeMux()
	mux.Handle(Path, NewHandler("b", "token", codec, func(_ string, m peer.Message) {
		if _, ok := m.(peer.Status); ok {
			arrived <- struct{}{}
		}
	}, zerolog.Nop()))
	server := httptest.NewServer(mux)
	defer server.Close()
	pool := New(Config{
		Self: peer.Member{ID: "a"}, Token: "token", Codec: codec, Log: zerolog.Nop(),
		OnFailure: func(string) {}, OnUnreachable: func(string) {}, OnSend: func(int) {},
	})
	defer pool.Close()
	status := peer.Status{Node: "a", Zone: "zone-a", CallerAddress: "10.0.0.1:8221", PeerAddress: "10.0.0.1:8229", Ready: true}
	for range 19 {
		status.QuotaSpent = append(status.QuotaSpent, peer.TeamQuotaSpent{Team: "team-name", Units: 12345, Asked: 23456})
	}
	for range 4 {
		status.Load = append(status.Load, peer.UpstreamLoad{Upstream: "i-f4313c1eac", Running: 1, Prefill: 900, Memory: 2000})
	}
	b.ReportAllocs()
	for b.Loop() {
		status.Seq++
		pool.Send("b", server.Listener.Addr().String(), status)
		<-arrived
	}
}
