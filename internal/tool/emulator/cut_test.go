package emulator

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// cutPattern partitions nodes from all upstreams for twelve seconds.
func cutPattern(mode CutMode, nodes func(int) bool) Pattern {
	return Pattern{
		Name: "upstreams cut off", Length: 30 * time.Second, Kinds: typicalMix(0.7),
		UpstreamCut: &UpstreamCut{Nodes: nodes, From: 8 * time.Second, To: 20 * time.Second, Mode: mode},
	}
}

// firstNodes selects the first n nodes.
func firstNodes(n int) func(int) bool { return func(node int) bool { return node < n } }

// checkCut checks what callers of the nodes that are cut off are owed: they are served at the
// first attempt at least two thirds as often as those of the other nodes, and no more than 10
// and one in 50 of them are not.
func checkCut(c *qt.C, r *Report, seed uint64) {
	cut, others := r.Cut.Cut, r.Cut.Others
	comment := qt.Commentf("seed %d: %d of %d served at the first attempt, others %d of %d", seed, cut.Served, cut.Sent, others.Served, others.Sent)
	c.Check(cut.Sent > 0, qt.IsTrue, comment)
	failed := cut.Sent - cut.Served
	served := float64(cut.Served) / float64(max(cut.Sent, 1))
	othersServed := float64(others.Served) / float64(max(others.Sent, 1))
	c.Check(served >= 2*othersServed/3 || failed <= 10+cut.Sent/50, qt.IsTrue, comment)
	c.Check(r.Violations, qt.HasLen, 0, comment)
	c.Check(r.WronglySuspected, qt.Equals, 0, comment)
}

// TestCallersOfCutOffNodesAreServed: nodes that had lost their paths to all upstreams took
// requests as before and refused nearly all of them after a connect timeout (RECOVER).
func TestCallersOfCutOffNodesAreServed(t *testing.T) {
	for _, mode := range []CutMode{CutHangs, CutResets, CutRefusesNew} {
		for _, row := range []struct {
			name  string
			setup func(*Setup, *Pattern)
		}{
			{"one node", func(_ *Setup, p *Pattern) { p.UpstreamCut.Nodes = firstNodes(1) }},
			{"two nodes", func(_ *Setup, p *Pattern) {}},
			{"all but one", func(s *Setup, p *Pattern) { p.UpstreamCut.Nodes = firstNodes(s.Nodes - 1) }},
			{"a zone", func(_ *Setup, p *Pattern) { p.UpstreamCut.Nodes = func(node int) bool { return node%zoneCount == 0 } }},
			{"little traffic", func(_ *Setup, p *Pattern) { p.Kinds = typicalMix(0.15) }},
			{"a burst", func(_ *Setup, p *Pattern) { p.RateFactor = burst(1.5) }},
			{"30 nodes, a zone", func(s *Setup, p *Pattern) {
				s.Nodes, s.Engines, s.PlainUpstreams = 30, 20, 4
				p.Kinds = typicalMix(1.2)
				p.UpstreamCut.Nodes = func(node int) bool { return node%zoneCount == 0 }
			}},
		} {
			t.Run(fmt.Sprintf("%s/%s", mode, row.name), func(t *testing.T) {
				t.Parallel()
				c := qt.New(t)
				for seed := range *plays {
					setup, p := DefaultSetup(seed+1), cutPattern(mode, firstNodes(2))
					row.setup(&setup, &p)
					checkCut(c, Run(setup, p), seed+1)
				}
			})
		}
	}
}
