package gateway

import (
	"flag"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var (
	storeSeeds = flag.Uint64("store.seeds", 20, "number of seeds to play")
	storeTrace = flag.Bool("store.trace", false, "print the nodes' log lines")
	storeFirst = flag.Uint64("store.first", 1, "first seed to play")
)

// worldLength is the virtual time that a seed plays.
const worldLength = 60 * time.Second

// play plays a seed and returns what was violated, at most five cases.
func (w *storeWorld) play() []string {
	w.scheduleFaults()
	w.run(worldLength)
	return w.violations[:min(len(w.violations), 5)]
}

// listedLateSeeds have failed because a node's own list, read before a change that a peer
// sent, was applied after it.
var listedLateSeeds = []uint64{91, 117, 313}

// TestStoreThatIsNeverRestored is the same without restores.
func TestStoreThatIsNeverRestored(t *testing.T) {
	seeds := listedLateSeeds
	for seed := *storeFirst; seed < *storeFirst+*storeSeeds; seed++ {
		seeds = append(seeds, seed)
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			w := newStoreWorld(seed)
			w.neverRestored = true
			qt.Assert(t, w.play(), qt.HasLen, 0)
		})
	}
}

// TestStoreRestoredAtAnyTime plays all nodes before a store that is restored from copies,
// while upstreams leave and nodes restart: fencing tokens never decrease, no window is
// reported with two counts, no request goes to an upstream that has left, and
// configurations are in force in time.
//
//	go test ./internal/core/gateway -run StoreRestored -store.seeds 500 -store.first 1000
func TestStoreRestoredAtAnyTime(t *testing.T) {
	for seed := *storeFirst; seed < *storeFirst+*storeSeeds; seed++ {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			qt.Assert(t, newStoreWorld(seed).play(), qt.HasLen, 0)
		})
	}
}

// restoredTwiceSeeds have failed because a holder that had taken over after one restore took itself
// for a witness of all reports at the next.
var restoredTwiceSeeds = []uint64{30601, 31454}

// TestWindowIsNotReportedTwiceAfterKillAndRestore: the store lost the usage report of a window with
// the only processes that knew of it, and the next holder reported the window with other counts.
func TestWindowIsNotReportedTwiceAfterKillAndRestore(t *testing.T) {
	seeds := restoredTwiceSeeds
	for seed := *storeFirst; seed < *storeFirst+*storeSeeds; seed++ {
		seeds = append(seeds, seed)
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			w := newStoreWorld(seed)
			w.killsWithRestore = true
			qt.Assert(t, w.play(), qt.HasLen, 0)
		})
	}
}

// TestModelDetectsMissingGeneration: nodes that are not told the store's generation compare
// revisions across restores. The model must find what that breaks.
func TestModelDetectsMissingGeneration(t *testing.T) {
	found := 0
	for seed := uint64(1); seed <= 20; seed++ {
		w := newStoreWorld(seed)
		w.hideGeneration = true
		if len(w.play()) > 0 {
			found++
		}
	}
	qt.Assert(t, found > 0, qt.IsTrue, qt.Commentf("violations in %d of 20 seeds", found))
}
