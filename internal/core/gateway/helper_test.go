package gateway

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"monsoonlanding/internal/core/peer"
	"monsoonlanding/internal/core/placement"
	"monsoonlanding/internal/core/route"
	"monsoonlanding/internal/core/store"
)

// epoch is the time at which the tests start.
var epoch = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// bench drives one node on virtual time.
type bench struct {
	*qt.C
	g    *Gateway
	now  time.Time
	conn uint64
	// revision is the store's revision; it grows with each change of the list.
	revision store.Revision
	// zones holds the zones of upstreams that are in another one than up gives them.
	zones map[string]string
}

func testBounds() Bounds {
	return Bounds{
		LeaseTerm: 3 * time.Second, UsageWindow: 5 * time.Second,
		RetryRatio: 0.2, RetrySlack: 54, RetryWindow: 10 * time.Second, QuotaWindow: 8 * time.Second,
		ReportsUsage: true,
	}
}

func newBench(t *testing.T, node string) *bench {
	return &bench{
		C:   qt.New(t),
		now: epoch,
		g: New(Config{
			Node: node, Start: 1, Zone: "z1", CallerAddress: node + ":1", PeerAddress: node + ":2",
			FirstStart: true,
			Bounds:     testBounds(),
		}, rand.New(rand.NewPCG(1, 2))),
	}
}

// testConfig has a plain service "desk" and a model service "model".
func testConfig(version int64) route.Config {
	engine := &route.Engine{Slots: 64, MemoryTokens: 700_000}
	return route.Config{
		Version: version,
		Routes: []route.Route{
			{Name: "book", Host: "h", PathPrefix: "/book/", Kind: route.KindUnsafe, Timeout: 800 * time.Millisecond, LatencyGoal: 150 * time.Millisecond, Attempts: 1, Priority: 2, Targets: []route.Target{{Service: "desk"}}},
			{Name: "read", Host: "h", PathPrefix: "/read/", Kind: route.KindSafe, Timeout: 800 * time.Millisecond, LatencyGoal: 150 * time.Millisecond, Attempts: 2, Priority: 2, Targets: []route.Target{{Service: "desk"}}},
			{Name: "plan", Host: "h", PathPrefix: "/plan/", Kind: route.KindStreaming, Timeout: 15 * time.Second, LatencyGoal: time.Second, Attempts: 1, Priority: 1, Targets: []route.Target{{Service: "model"}}},
			{Name: "ask", Host: "h", PathPrefix: "/ask/", Kind: route.KindStreaming, Resumable: true, Timeout: 15 * time.Second, LatencyGoal: 500 * time.Millisecond, Attempts: 2, Targets: []route.Target{{Service: "model"}}},
			{Name: "open", Host: "h", PathPrefix: "/book/open/", Kind: route.KindSafe, Public: true, Timeout: time.Second, Attempts: 2, Targets: []route.Target{{Service: "desk"}}},
		},
		Services: []route.Service{{Name: "desk"}, {Name: "model", Engine: engine}},
		Teams:    []route.Team{{Name: "blue", Keys: []string{"k"}, Unit: route.UnitTokens, DefaultTokens: 100, Rate: 10_000, Burst: 20_000}},
	}
}

// ready gives the node a configuration and upstreams.
func (b *bench) ready(upstreams ...placement.Upstream) {
	b.reduce(ConfigRead{Config: testConfig(1), Body: []byte("1"), Source: "store"})
	b.reduce(RolloutsChanged{})
	b.list(upstreams...)
}

func (b *bench) list(upstreams ...placement.Upstream) []Effect {
	b.revision.Number++
	for i, u := range upstreams {
		upstreams[i] = b.placed(u)
	}
	return b.reduce(UpstreamsListed{List: upstreams, Revision: b.revision})
}

// placed returns an upstream in its zone of the bench.
func (b *bench) placed(u placement.Upstream) placement.Upstream {
	if zone, ok := b.zones[u.ID]; ok {
		u.Zone = zone
	}
	return u
}

func up(id, service string) placement.Upstream {
	return placement.Upstream{ID: id, Service: service, Address: id + ":80", Zone: "z1", Slots: 6, State: placement.StateReady}
}

func (b *bench) reduce(e Event) []Effect { return b.g.Reduce(b.now, e) }

func (b *bench) wait(d time.Duration) []Effect {
	var effects []Effect
	for end := b.now.Add(d); b.now.Before(end); {
		b.now = b.now.Add(TickInterval)
		effects = append(effects, b.reduce(Tick{})...)
	}
	return effects
}

// arrive submits a request of team blue to a path.
func (b *bench) arrive(path string) (uint64, []Effect) {
	return b.submit(Request{Path: path, Key: "k"})
}

func (b *bench) submit(r Request) (uint64, []Effect) {
	b.conn++
	r.Host = "h"
	r.ID = fmt.Sprint("r", b.conn)
	if r.Fingerprint == 0 {
		r.Fingerprint = b.conn
	}
	return b.conn, b.reduce(Arrived{Conn: b.conn, Request: r})
}

// dispatch returns the first Dispatch among the effects.
func (b *bench) dispatch(effects []Effect) Dispatch {
	b.Helper()
	d, ok := findDispatch(effects)
	if !ok {
		b.Fatalf("no dispatch in %v", effects)
	}
	return d
}

// refusal returns the reason of the Refuse or Abort among the effects, with the
// prefix "cut " if it is an Abort.
func refusal(effects []Effect) Reason {
	for _, e := range effects {
		switch e := e.(type) {
		case Refuse:
			return e.Reason
		case Abort:
			return "cut " + e.Reason
		}
	}
	return ""
}

// has reports whether the effects include one of the same type as kind.
func has(kind Effect, effects []Effect) bool {
	for _, e := range effects {
		if reflect.TypeOf(e) == reflect.TypeOf(kind) {
			return true
		}
	}
	return false
}

// lists reports whether the effects include a list of the feed.
func lists(feed FeedName, effects []Effect) bool {
	return slices.Contains(effects, Effect(ListFeed{Feed: feed}))
}

// status returns a ready peer's status.
func status(node string) peer.Status {
	return peer.Status{Node: node, Start: 1, PeerAddress: node + ":2", CallerAddress: node + ":1", Ready: true, ConfigVersion: 1, Time: epoch}
}

func (b *bench) receive(s peer.Status) []Effect {
	return b.reduce(PeerReceived{From: s.Node, Message: s})
}

// endRunning ends all running attempts with a result.
func (b *bench) endRunning(result Result) []Effect {
	var all []Effect
	for _, r := range b.running() {
		all = append(all, b.reduce(Ended{Conn: r.conn, Attempt: r.attempt, Result: result, Framing: FramingLength})...)
	}
	return all
}
