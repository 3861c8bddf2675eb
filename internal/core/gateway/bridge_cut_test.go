package gateway

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"monsoonlanding/internal/core/placement"
)

// bridgeCut has nodes in three zones, of which z0 and z1 can't reach each other while z2 reaches both.
type bridgeCut struct {
	names []string
	nodes map[string]*bench
}

func newBridgeCut(t *testing.T, perZone int) *bridgeCut {
	w := &bridgeCut{nodes: make(map[string]*bench)}
	for i := range 3 * perZone {
		name := fmt.Sprintf("n%03d", i)
		b := newBench(t, name)
		b.g.cfg.Zone = fmt.Sprint("z", i%3)
		b.g.rng = rand.New(rand.NewPCG(uint64(i), 9))
		w.names, w.nodes[name] = append(w.names, name), b
	}
	for _, b := range w.nodes {
		for i, name := range w.names {
			s := status(name)
			s.Zone = fmt.Sprint("z", i%3)
			b.receive(s)
		}
	}
	return w
}

// reaches reports whether messages pass between two nodes.
func (w *bridgeCut) reaches(a, b string) bool {
	za, zb := w.nodes[a].g.cfg.Zone, w.nodes[b].g.cfg.Zone
	return za == zb || za == "z2" || zb == "z2"
}

// deliver passes on what a node sends to the nodes that it reaches.
func (w *bridgeCut) deliver(from string, effects []Effect) {
	for _, e := range effects {
		if s, ok := e.(Send); ok && w.nodes[s.Node] != nil && w.reaches(from, s.Node) {
			w.nodes[s.Node].now = w.nodes[from].now
			w.deliver(s.Node, w.nodes[s.Node].reduce(PeerReceived{From: from, Message: s.Message}))
		}
	}
}

// play lets time pass.
func (w *bridgeCut) play(from, to time.Time, step func(now time.Time)) {
	for now := from; now.Before(to); now = now.Add(TickInterval) {
		step(now)
		for _, name := range w.names {
			b := w.nodes[name]
			b.now = now
			w.deliver(name, b.reduce(Tick{}))
		}
	}
}

// TestQuotaDuringBridgeCut guards against a team that is served in two zones which can't reach each
// other: the nodes of each count the third zone's part of the quota as theirs.
func TestQuotaDuringBridgeCut(t *testing.T) {
	const window, over = 8, 0.1
	for _, callers := range []string{"z0 z1 z2", "z0 z1"} {
		t.Run(callers, func(t *testing.T) {
			w := newBridgeCut(t, 5)
			config := testConfig(1)
			config.Teams[0].Rate, config.Teams[0].Burst = manyQuotaRate, manyQuotaRate
			var engines []placement.Upstream
			for i := range 100 {
				engines = append(engines, up(fmt.Sprint("m", i), "model"))
			}
			var serving []string
			for _, name := range w.names {
				b := w.nodes[name]
				b.g.cfg.Bounds.QuotaOver, b.g.cfg.Bounds.QuotaSlack = over, manyQuotaSlack
				b.reduce(ConfigRead{Config: config, Body: []byte("1")})
				b.reduce(RolloutsChanged{})
				b.list(engines...)
				if callers != "z0 z1" || b.g.cfg.Zone != "z2" {
					serving = append(serving, name)
				}
			}
			rng := rand.New(rand.NewPCG(5, 6))
			mean := time.Duration(float64(time.Second) * manyRequestUnits / (4 * manyQuotaRate))
			next := epoch.Add(mean)
			var admitted []time.Time
			w.play(epoch, epoch.Add(3*manyQuotaLength), func(now time.Time) {
				for ; next.Before(now); next = next.Add(time.Duration(rng.ExpFloat64() * float64(mean))) {
					name := serving[rng.IntN(len(serving))]
					b := w.nodes[name]
					b.now = next
					conn, effects := b.submit(Request{Path: "/ask/1", Key: "k", Prompt: placement.Prompt{InputTokens: manyRequestUnits - 100, MaxOutputTokens: 100}})
					if has(Dispatch{}, effects) {
						admitted = append(admitted, next)
						b.reduce(Ended{Conn: conn, Attempt: 1, Result: ResultComplete})
					}
					w.deliver(name, effects)
				}
			})
			greatest := 0.0
			for i, first := range admitted {
				units := 0.0
				for _, at := range admitted[i:] {
					if at.Sub(first) < window*time.Second {
						units += manyRequestUnits
					}
				}
				greatest = max(greatest, units)
			}
			bound := (manyQuotaRate*window+manyQuotaRate)*(1+over) + manyQuotaSlack
			qt.Assert(t, greatest <= bound, qt.IsTrue, qt.Commentf("%.0f units, bound %.0f", greatest, bound))
		})
	}
}

// TestPartsDuringBridgeCut: the parts of what an upstream takes, of all nodes, add up to no more than
// the whole while two zones can't reach each other.
func TestPartsDuringBridgeCut(t *testing.T) {
	w := newBridgeCut(t, 8)
	for _, b := range w.nodes {
		b.ready(up("m1", "model"))
	}
	w.play(epoch, epoch.Add(5*time.Second), func(time.Time) {})
	for i := range 100 {
		upstream := fmt.Sprint("m", i)
		for _, perSecond := range []float64{0.1, 2, 10, 50} {
			sum := 0.0
			for _, b := range w.nodes {
				sum += b.g.limitShare(upstream, perSecond)
			}
			qt.Check(t, sum <= perSecond*1.0001, qt.IsTrue, qt.Commentf("limit %v of %s: parts of %.2f", perSecond, upstream, sum))
		}
		for _, slots := range []int{6, 48} {
			sum := 0
			for _, b := range w.nodes {
				sum += b.g.slotPart(upstream, slots)
			}
			qt.Check(t, sum <= slots, qt.IsTrue, qt.Commentf("slots %d of %s: parts of %d", slots, upstream, sum))
		}
	}
}
