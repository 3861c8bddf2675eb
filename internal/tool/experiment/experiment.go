// Package experiment compares the system with baselines. [Overhead] and
// [Acceptance] measure a small cluster on loopback; [Placement] and [Moves]
// simulate policies in virtual time.
//
// # Usage
//
//	report, err := experiment.Overhead(ctx, 300)
//	report, err := experiment.Acceptance(ctx, 300)
//	err := experiment.WritePlacement(w, experiment.Placement(5))
//	err := experiment.WriteMoves(w, experiment.Moves(200, 0))
package experiment

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-faster/errors"
	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"monsoonlanding/internal/core/caller"
	"monsoonlanding/internal/core/node"
	"monsoonlanding/internal/core/upstream"
	"monsoonlanding/internal/run/clock"
	"monsoonlanding/internal/standin/engine"
	"monsoonlanding/internal/standin/service"
	"monsoonlanding/internal/tool/cluster"
	"monsoonlanding/internal/wire/callerhttp"
	"monsoonlanding/internal/wire/upstreamhttp"
)

const (
	team = "crew"
	// engineFirstToken is the stand-in engine's time to the first token.
	engineFirstToken = 20 * time.Millisecond
	// peerDelay is the one-way latency between nodes.
	peerDelay = time.Millisecond
	// maxTokens is the length of each answer in tokens.
	maxTokens   = 4
	callTimeout = 10 * time.Second
	// maxLatencyMicros bounds the recorded latencies; longer ones are left out.
	maxLatencyMicros = int64(time.Minute / time.Microsecond)
)

// Side is one of the two sides of a comparison, with percentiles of its time to
// the first token in milliseconds.
type Side struct {
	Name string  `json:"name"`
	P50  float64 `json:"p50_ms"`
	P95  float64 `json:"p95_ms"`
}

// Report compares the times to the first token of two sides that received
// requests of the same form in turn.
type Report struct {
	Requests int     `json:"requests"`
	Baseline Side    `json:"baseline"`
	Measured Side    `json:"measured"`
	AddedP50 float64 `json:"added_p50_ms"`
	AddedP95 float64 `json:"added_p95_ms"`
}

// sender sends requests to one side of a comparison; send returns the time to
// the first token.
type sender struct {
	name string
	send func(ctx context.Context) (time.Duration, error)
}

// compare sends requests to both sides in turn.
func compare(ctx context.Context, requests int, baseline, measured sender) (Report, error) {
	histograms := [2]*hdrhistogram.Histogram{hdrhistogram.New(1, maxLatencyMicros, 3), hdrhistogram.New(1, maxLatencyMicros, 3)}
	for range requests {
		for i, s := range []sender{baseline, measured} {
			d, err := s.send(ctx)
			if err != nil {
				return Report{}, errors.Wrap(err, s.name)
			}
			_ = histograms[i].RecordValue(d.Microseconds())
		}
	}
	r := Report{Requests: requests, Baseline: side(baseline.name, histograms[0]), Measured: side(measured.name, histograms[1])}
	r.AddedP50 = r.Measured.P50 - r.Baseline.P50
	r.AddedP95 = r.Measured.P95 - r.Baseline.P95
	return r, nil
}

func side(name string, h *hdrhistogram.Histogram) Side {
	return Side{Name: name, P50: float64(h.ValueAtQuantile(50)) / 1000, P95: float64(h.ValueAtQuantile(95)) / 1000}
}

func startCluster(nodes int, alone node.AlonePolicy) (*cluster.Cluster, error) {
	return cluster.Start(cluster.Config{
		Nodes: nodes, Zones: []string{"a", "b"}, Teams: []string{team}, Engines: 1, Services: 1,
		Engine:      engine.Config{Slots: 64, FirstTokenLatency: engineFirstToken, EventInterval: time.Millisecond},
		Service:     service.Config{Slots: 64},
		AlonePolicy: alone, PeerDelay: peerDelay, Log: zerolog.Nop(),
	})
}

// Overhead compares calls through one of two nodes, whose peer is 1 ms away,
// with direct calls to the same engine.
func Overhead(ctx context.Context, requests int) (Report, error) {
	c, err := startCluster(2, node.AloneRefuse)
	if err != nil {
		return Report{}, err
	}
	defer c.Close()
	return compare(ctx, requests, direct(c), throughNode("through a node with a backup", c))
}

// Acceptance compares a system that stores requests on two nodes, 1 ms apart,
// before it accepts them with a single node that has no backup.
func Acceptance(ctx context.Context, requests int) (Report, error) {
	single, err := startCluster(1, node.AloneAccept)
	if err != nil {
		return Report{}, err
	}
	defer single.Close()
	replicated, err := startCluster(2, node.AloneRefuse)
	if err != nil {
		return Report{}, err
	}
	defer replicated.Close()
	return compare(ctx, requests, throughNode("one node, no backup", single), throughNode("two nodes, with backup", replicated))
}

func body() []byte {
	return fmt.Appendf(nil, `{"prompt": "%s", "max_tokens": %d}`, uuid.NewString(), maxTokens)
}

// throughNode returns a sender that calls the nodes as a caller does.
func throughNode(name string, c *cluster.Cluster) sender {
	client := callerhttp.NewClient(c.CallerAddresses(), cluster.TeamKey(team), &http.Client{Transport: &http.Transport{}}, clock.System{})
	return sender{name: name, send: func(ctx context.Context) (time.Duration, error) {
		call := callerhttp.Call{Service: "plans", Key: uuid.NewString(), Body: body(), Timeout: callTimeout}
		result, err := client.Do(ctx, call, nil)
		if err == nil && result.Refusal != nil {
			err = errors.Errorf("request refused: %s", result.Refusal.Reason)
		}
		return result.FirstTokenLatency, err
	}}
}

// direct returns a sender that calls the engine without a node.
func direct(c *cluster.Cluster) sender {
	client := upstreamhttp.New(&http.Client{Transport: &http.Transport{}})
	u := upstream.Upstream{ID: c.Engine(0).ID, Address: c.Engine(0).Address, Kind: upstream.Engine}
	return sender{name: "direct to the engine", send: func(ctx context.Context) (time.Duration, error) {
		var first time.Duration
		var err error
		started := time.Now()
		d := node.Dispatch{Upstream: u, Request: caller.Request{Body: body()}, ProgressTimeout: callTimeout}
		client.Run(ctx, d, func(e node.Event) {
			switch e := e.(type) {
			case node.UpstreamTokens:
				if first == 0 {
					first = time.Since(started)
				}
			case node.UpstreamFailed:
				err = errors.Errorf("engine call failed: %s: %s", e.Cause, e.Detail)
			}
		})
		return first, err
	}}
}
