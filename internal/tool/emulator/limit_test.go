package emulator

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// limitedPattern lets upstreams name a limit in the middle of a run.
func limitedPattern(upstreams []string, perSecond float64) Pattern {
	p := Steady()
	p.Name = "limits"
	p.Limits = &UpstreamLimits{Upstreams: upstreams, PerSecond: perSecond, From: 8 * time.Second, To: 24 * time.Second}
	return p
}

func engineIDs(n int) []string {
	var ids []string
	for i := range n {
		ids = append(ids, fmt.Sprint("engine-", i))
	}
	return ids
}

// TestLimitOfUpstream: an upstream that names a limit got requests as before, from
// all nodes (LIMIT).
func TestLimitOfUpstream(t *testing.T) {
	for _, row := range []struct {
		name      string
		nodes     int
		upstreams []string
		perSecond float64
		change    func(*Pattern)
	}{
		{"one engine", 6, engineIDs(1), 1.2, nil},
		{"three engines", 6, engineIDs(3), 1, nil},
		{"almost none", 6, engineIDs(1), 0.2, nil},
		{"all engines", 6, engineIDs(9), 2, nil},
		{"higher limit", 6, engineIDs(2), 6, nil},
		{"plain services", 6, []string{"plain-0", "plain-1"}, 1.5, nil},
		{"many nodes", 40, engineIDs(3), 1.2, nil},
		{"one node", 1, engineIDs(3), 1.2, nil},
		{"refusals and resets", 6, engineIDs(3), 1.2, func(p *Pattern) { p.RefusedFraction, p.ResetFraction = 0.1, 0.1 }},
		{"eager retries", 6, engineIDs(3), 1.2, func(p *Pattern) { p.CallerRetries, p.RateFactor = 3, burst(2) }},
		{"callers at few nodes", 6, engineIDs(3), 1.2, func(p *Pattern) { p.PickNode = Shift().PickNode }},
		{"restart", 6, engineIDs(3), 1.2, func(p *Pattern) { p.RestartAt = 14 * time.Second }},
		{"partition", 6, engineIDs(3), 1.2, func(p *Pattern) {
			p.PartitionedNodes, p.PartitionAt, p.PartitionDuration = 2, 12*time.Second, 5*time.Second
		}},
		{"engines crash", 6, engineIDs(5), 1.2, func(p *Pattern) { p.CrashedEngines, p.CrashAt = 2, 13*time.Second }},
	} {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			for seed := range *plays {
				setup, p := DefaultSetup(seed+1), limitedPattern(row.upstreams, row.perSecond)
				setup.Nodes = row.nodes
				if row.change != nil {
					row.change(&p)
				}
				c.Check(Run(setup, p).Violations, qt.HasLen, 0, qt.Commentf("seed %d", seed+1))
			}
		})
	}
}

// TestLimitedUpstreamIsUsed: an upstream that names a limit gets about what it
// takes, the others serve the rest in time, and all is as before when it names none.
func TestLimitedUpstreamIsUsed(t *testing.T) {
	c := qt.New(t)
	s := newSimulation(DefaultSetup(1), limitedPattern(engineIDs(2), 2))
	r := s.run()
	total := r.Total()
	c.Check(total.InTimeFraction() >= 0.99, qt.IsTrue, qt.Commentf("%.3f", total.InTimeFraction()))
	between := func(from, to time.Duration) int {
		n := 0
		for _, a := range s.oracle.limit.arrivals["engine-0"] {
			if at := a.at.Sub(startTime); at >= from && at < to {
				n++
			}
		}
		return n
	}
	c.Check(between(12*time.Second, 24*time.Second) >= 12, qt.IsTrue, qt.Commentf("half of the limit is used at least"))
	c.Check(between(26*time.Second, 30*time.Second) >= 20, qt.IsTrue, qt.Commentf("%d after the limit", between(26*time.Second, 30*time.Second)))
}
