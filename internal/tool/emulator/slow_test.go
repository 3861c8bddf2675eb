package emulator

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// slowPattern has machines of a service 2.5 times as slow for 600 ms at a time.
func slowPattern(service string, fraction float64, reported bool, kinds ...Kind) Pattern {
	return Pattern{
		Name: "slow machines", Length: 8 * time.Second, Kinds: kinds,
		Slow: &SlowMachines{Service: service, Fraction: fraction, Factor: 2.5, Period: 600 * time.Millisecond, Reported: reported},
	}
}

// booking is a kind of request for plain services whose goal allows two usual service times.
func booking(rate float64) Kind {
	return Kind{Route: "book", Rate: rate, LatencyGoal: 2 * plainDuration, Value: 1}
}

// p99 returns the latency within which 99 of 100 answers began.
func p99(r *Report) time.Duration {
	slices.Sort(r.Latencies)
	return r.Latencies[len(r.Latencies)*99/100]
}

// TestSlowMachinesAreUsedLess: upstreams share their machines with others, and work takes 2.5
// times as long on some of them for 600 ms at a time. Nodes sent them as much as the others.
func TestSlowMachinesAreUsedLess(t *testing.T) {
	engines, plain := typicalMix(1.1)[:3], []Kind{booking(200)}
	for _, row := range []struct {
		name    string
		nodes   int
		service string
		kinds   []Kind
	}{
		{"engines, one node", 1, modelService, engines},
		{"engines, six nodes", 6, modelService, engines},
		{"plain services, six nodes", 6, plainService, plain},
	} {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			late := make(map[bool]int)
			for seed := range uint64(4) {
				for _, reported := range []bool{false, true} {
					setup := DefaultSetup(seed + 1)
					setup.Nodes, setup.PlainUpstreams = row.nodes, 4
					r := Run(setup, slowPattern(row.service, 0.25, reported, row.kinds...))
					total := r.Total()
					late[reported] += total.Callers - total.InTime
					t.Logf("seed %d, reported %v: %.3f in time, p99 %v", seed+1, reported, total.InTimeFraction(), p99(r))
					qt.Check(t, r.Violations, qt.HasLen, 0)
				}
			}
			qt.Check(t, late[true] < late[false], qt.IsTrue, qt.Commentf("late or refused: %d with reports, %d without", late[true], late[false]))
		})
	}
}

// TestFewSlotsOfManyNodes: 90 nodes share the slots of four plain upstreams. Each saw the same
// picture, up to a second old, of requests that last 60 ms, and all sent theirs to the upstream
// with one request less: they waited there while other slots were free.
func TestFewSlotsOfManyNodes(t *testing.T) {
	const rate = 280 // seven of ten slots are used
	for seed := range uint64(2) {
		t.Run(fmt.Sprint("seed ", seed+1), func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			setup := DefaultSetup(seed + 1)
			setup.Nodes, setup.Engines, setup.PlainUpstreams = 90, 1, 4
			p := slowPattern(plainService, 0, false, booking(rate))
			p.Length = 15 * time.Second
			r := Run(setup, p)
			total := r.Total()
			t.Logf("%.3f in time, p99 %v", total.InTimeFraction(), p99(r))
			c.Check(total.InTimeFraction() >= 0.95, qt.IsTrue, qt.Commentf("%.3f", total.InTimeFraction()))
			c.Check(total.Refused+total.Failed, qt.Equals, 0)
			c.Check(r.Violations, qt.HasLen, 0)
		})
	}
}
