package node

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"monsoonlanding/internal/core/caller"
	"monsoonlanding/internal/core/peer"
	"monsoonlanding/internal/core/upstream"
	"monsoonlanding/internal/wire/peerws"
)

// meter measures the control cost of the nodes of a world.
type meter struct {
	codec      *peerws.Codec
	bytes      map[string]int
	messages   map[string]int
	reduceTime time.Duration
	events     int
}

// frameOverheadBytes is the size in bytes of a masked WebSocket header and of a
// share of the TCP and IP headers.
const frameOverheadBytes = 6 + 40

func newMeter(b *testing.B) *meter {
	codec, err := peerws.NewCodec()
	if err != nil {
		b.Fatal(err)
	}
	return &meter{codec: codec, bytes: make(map[string]int), messages: make(map[string]int)}
}

func (m *meter) sent(msg peer.Message) {
	frame, err := m.codec.Encode(msg)
	if err != nil {
		panic(err)
	}
	kind := fmt.Sprintf("%T", msg)
	m.bytes[kind] += len(frame) + frameOverheadBytes
	m.messages[kind]++
}

func (m *meter) total() (bytes, messages int) {
	for kind := range m.bytes {
		bytes += m.bytes[kind]
		messages += m.messages[kind]
	}
	return bytes, messages
}

func (m *meter) reset() {
	clear(m.bytes)
	clear(m.messages)
	m.reduceTime, m.events = 0, 0
}

// largeWorld starts a system of the given size, without announcing each node
// separately, and runs it until it is stable.
func largeWorld(b *testing.B, nodes, upstreams int) (*world, *meter) {
	b.Helper()
	w := newWorld(1, 0, 6, Faults{})
	for i := range upstreams {
		u := &fakeUpstream{entry: upstream.Upstream{
			ID: fmt.Sprintf("vm-%04d", i), Address: "10.0.0.1:8000", Zone: fmt.Sprintf("zone-%d", i%6),
			Service: fmt.Sprintf("service-%d", i%8), Version: "v1", Kind: upstream.Engine, Slots: 16,
		}}
		w.upstreams[u.entry.ID] = u
	}
	w.bulkStart = true
	for i := range nodes {
		w.addNode(fmt.Sprintf("zone-%d", i%6))
	}
	w.bulkStart = false
	w.announceAll()
	w.run(20 * time.Second)
	w.meter = newMeter(b)
	return w, w.meter
}

// BenchmarkControl measures the control cost of a node while nothing is served:
// the messages and bytes that it sends, the time in the reducer and the heap.
func BenchmarkControl(b *testing.B) {
	for _, size := range []struct{ nodes, upstreams int }{{7, 24}, {50, 118}, {100, 235}, {200, 470}, {340, 800}} {
		b.Run(fmt.Sprintf("nodes=%d", size.nodes), func(b *testing.B) {
			for b.Loop() {
				before := heapBytes()
				w, m := largeWorld(b, size.nodes, size.upstreams)
				heap := heapBytes() - before
				const period = 30 * time.Second
				w.run(period)
				bytes, messages := m.total()
				perNode := float64(size.nodes) * period.Seconds()
				b.ReportMetric(float64(bytes)/perNode, "bytes/s/node")
				b.ReportMetric(float64(messages)/perNode, "messages/s/node")
				b.ReportMetric(100*m.reduceTime.Seconds()/perNode, "%core/node")
				b.ReportMetric(float64(heap)/float64(size.nodes)/1024, "KiB/node")
				reportKinds(b, m, perNode)
				runtime.KeepAlive(w)
			}
		})
	}
}

// reportKinds logs the cost of each kind of message.
func reportKinds(b *testing.B, m *meter, perNode float64) {
	for kind, bytes := range m.bytes {
		b.Logf("%s: %.1f bytes/s/node, %.2f messages/s/node", kind, float64(bytes)/perNode, float64(m.messages[kind])/perNode)
	}
}

func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return int64(s.HeapAlloc)
}

// BenchmarkRules measures the time from an accepted change of the rules until
// it is in force on the last node, with one node paused for two seconds, and
// the bytes sent for it.
func BenchmarkRules(b *testing.B) {
	for _, size := range []struct{ nodes, upstreams int }{{7, 24}, {340, 800}} {
		b.Run(fmt.Sprintf("nodes=%d", size.nodes), func(b *testing.B) {
			for b.Loop() {
				w, m := largeWorld(b, size.nodes, size.upstreams)
				w.run(time.Second)
				m.reset()
				times := w.changeRules(20)
				b.ReportMetric(times[len(times)/2], "p50-s")
				b.ReportMetric(times[len(times)-1], "max-s")
				b.ReportMetric(float64(m.bytes["peer.RulesUpdate"])/20/float64(size.nodes), "bytes/change/node")
				b.ReportMetric(float64(w.store.watches), "watches")
			}
		})
	}
}

// BenchmarkHeld measures the heap that a held request takes at its holder and
// at a backup, with a body of 2 KB and an answer of 230 tokens.
func BenchmarkHeld(b *testing.B) {
	const requests = 2000
	for b.Loop() {
		w := newWorld(1, 4, 4, Faults{})
		before := heapBytes()
		records := make([]*record, 0, requests)
		for i := range requests {
			c := peer.Copy{Request: caller.Request{
				Key: fmt.Sprintf("crew/%d", i), Instance: fmt.Sprintf("instance-%d", i), Team: "crew", Service: "plans",
				Body: make([]byte, 2048),
			}}
			for t := range 230 {
				c.Tokens = append(c.Tokens, fmt.Sprintf("tok%d ", t))
			}
			records = append(records, recordFromCopy(c))
		}
		b.ReportMetric(float64(heapBytes()-before)/requests, "bytes/request")
		b.ReportMetric(float64(records[0].size()), "counted-bytes")
		runtime.KeepAlive(records)
		runtime.KeepAlive(w)
	}
}
