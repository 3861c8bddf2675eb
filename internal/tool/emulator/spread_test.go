package emulator

import (
	"flag"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var (
	spreadNodes  = flag.Int("spread.nodes", 60, "number of nodes before which a configuration is spread")
	spreadRoutes = flag.Int("spread.routes", 2000, "number of its routes")
)

const (
	// spreadBound is the time from the acknowledgement of a configuration within which it
	// must be in force on all nodes, as the users set it for 60 nodes.
	spreadBound = 3 * time.Second
	// spreadStatusBound is the greatest delay of a status: one interval among 60 nodes, of
	// four after which a node counts as out of contact.
	spreadStatusBound = 600 * time.Millisecond
)

// TestLargeConfigurationIsInForceInTime: with many nodes a large configuration was in force
// seconds late. Each node asked one peer after the other for it every 200 ms, while the
// answers were on their way, and the links filled. One row for each disturbance.
func TestLargeConfigurationIsInForceInTime(t *testing.T) {
	for _, row := range []struct {
		name string
		play func(w *spreadWorld)
	}{
		{"alone", func(w *spreadWorld) { w.write(*spreadRoutes) }},
		{"with a slow store", func(w *spreadWorld) {
			w.storeDelay = 120 * time.Millisecond
			w.write(*spreadRoutes)
		}},
		{"ten changes in a row", func(w *spreadWorld) {
			for i := range 10 {
				w.write(*spreadRoutes + i)
				w.run(500 * time.Millisecond)
			}
		}},
		{"a tenth of the nodes partitioned meanwhile", func(w *spreadWorld) {
			for i := range len(w.nodes) / 10 {
				w.cut[i*7%len(w.nodes)] = true
			}
			w.write(*spreadRoutes)
			w.run(4 * time.Second)
			clear(w.cut)
			// The bound counts from the end of the partition.
			w.acked = w.now
		}},
		{"a third of the nodes restarted meanwhile", func(w *spreadWorld) {
			w.write(*spreadRoutes)
			for i := 0; i < len(w.nodes); i += 3 {
				w.run(30 * time.Millisecond)
				w.start(w.nodes[i])
			}
			w.acked = w.now
		}},
	} {
		t.Run(row.name, func(t *testing.T) {
			c := qt.New(t)
			w := newSpreadWorld(*spreadNodes, 1)
			w.run(5 * time.Second)
			w.resetCounts()
			row.play(w)
			w.run(2 * spreadBound)
			last, lacking := w.lastInForce(w.acked)
			t.Logf("last in force after %v, not on %d nodes; the busiest node has sent %d KB, the greatest delay of a status is %v",
				last, lacking, w.maxSent()>>10, w.statusDelay)
			c.Check(lacking, qt.Equals, 0)
			c.Check(last <= spreadBound, qt.IsTrue, qt.Commentf("%v", last))
			c.Check(w.statusDelay <= spreadStatusBound, qt.IsTrue, qt.Commentf("%v", w.statusDelay))
		})
	}
}
