package node

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"monsoonlanding/internal/core/caller"
	"monsoonlanding/internal/core/upstream"
)

// recorded is one step of a recorded run.
type recorded struct {
	now     time.Time
	event   Event
	effects []Effect
}

// TestReplay feeds the events of a busy run to new nodes with the same
// configuration and checks that they return the same effects.
func TestReplay(t *testing.T) {
	c := qt.New(t)
	w := newWorld(5, 0, 3, Faults{})
	w.record = true
	for i := range 6 {
		w.addNode(fmt.Sprintf("zone-%d", i%3))
	}
	w.run(2 * time.Second)
	for i, s := range busyPlan(2).steps {
		w.run(s.wait)
		w.act(s, i, modeAny)
	}
	w.run(5 * time.Second)
	events := 0
	for _, n := range w.nodes {
		events += len(n.recorded)
		replay(c, n)
	}
	c.Assert(events > 1000, qt.IsTrue, qt.Commentf("%d events", events))
}

func replay(c *qt.C, n *worldNode) {
	fresh := New(n.config)
	for i, r := range n.recorded {
		got := describeEffects(c, fresh.Reduce(r.now, r.event))
		c.Assert(got, qt.Equals, describeEffects(c, r.effects), qt.Commentf("event %d: %T", i, r.event))
	}
}

func describeEffects(c *qt.C, effects []Effect) string {
	text := ""
	for _, e := range effects {
		fields, err := json.Marshal(e)
		c.Assert(err, qt.IsNil)
		text += fmt.Sprintf("%T %s\n", e, fields)
	}
	return text
}

// benchNode returns a running system with rules and upstreams, and one node of
// it.
func benchNode(b *testing.B) (*world, *worldNode) {
	b.Helper()
	w := newWorld(1, 4, 4, Faults{})
	return w, w.nodes[0]
}

// BenchmarkRequest reduces all events of one answer of 100 tokens at its
// holder: arrival, acknowledgement, tokens and completion.
func BenchmarkRequest(b *testing.B) {
	w, n := benchNode(b)
	body := []byte(`{"prompt": "from the quay to site four", "max_tokens": 100}`)
	now := w.now
	token := []string{"wind "}
	events := 0
	reduce := func(e Event) []Effect {
		events++
		return n.node.Reduce(now, e)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Millisecond)
		key := fmt.Sprintf("crew/%d", i)
		request := caller.Request{Key: key, Instance: key, Team: "crew", Service: "plans", Body: body, Deadline: now.Add(time.Minute)}
		var attempt uint64
		for _, e := range reduce(CallerRequest{Conn: uint64(i), Request: request}) {
			if s, ok := e.(Send); ok {
				if d := w.acknowledge(n, s, reduce); d != 0 {
					attempt = d
				}
			}
		}
		for at := range 100 {
			reduce(UpstreamTokens{Attempt: attempt, Offset: at, Tokens: token})
		}
		reduce(UpstreamDone{Attempt: attempt, Count: 100})
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(events), "ns/event")
}

// BenchmarkTick reduces the periodic work of an idle node.
func BenchmarkTick(b *testing.B) {
	w, n := benchNode(b)
	now := w.now
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(maxTickInterval)
		n.node.Reduce(now, Tick{})
	}
}

// BenchmarkPick picks among the upstreams of a large service.
func BenchmarkPick(b *testing.B) {
	w, n := benchNode(b)
	var list []upstream.Upstream
	for i := range 800 {
		list = append(list, upstream.Upstream{ID: fmt.Sprint(i), Service: "plans", Version: "v1", Slots: 8, Zone: "zone-0"})
	}
	n.node.upstreams.Replace(w.now, list)
	b.ReportAllocs()
	for b.Loop() {
		n.node.upstreams.Pick(w.now, upstream.Query{Service: "plans", Version: "v1"})
	}
}
