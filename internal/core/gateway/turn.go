package gateway

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// readStep is the time between two readings of the store by any node.
	readStep = 600 * time.Millisecond
	// watchers is how many nodes watch the store; more than one, as it may be
	// cut off from some.
	watchers = 2
	// readLeast is the least time for which a node watches the store.
	readLeast = 300 * time.Millisecond
)

// Turn says how a node is to read the store.
type Turn struct {
	// Wait is the time until the node reads the lists.
	Wait time.Duration
	// Watch says that the node watches the store until then.
	Watch bool
}

// Turn returns how this node reads the store. A few nodes watch it and tell
// the others. A watch may miss changes, so lists are read as well: the nodes
// that hear each other and have the store take turns, so that one of them
// reads in each readStep. Their order does not follow their zones, which fail
// together.
func (g *Gateway) Turn(now time.Time) Turn {
	heard, before := 1, 0
	own := xxhash.Sum64String(g.cfg.Node)
	for _, m := range g.members {
		if !g.heard(m) || m.status.StoreLost {
			continue
		}
		heard++
		if xxhash.Sum64String(m.node) < own {
			before++
		}
	}
	period := time.Duration(heard) * readStep
	turn := time.Duration(before) * readStep
	wait := (turn - time.Duration(now.UnixNano())%period + period) % period
	if wait < readLeast {
		wait += period
	}
	return Turn{Wait: wait, Watch: before < watchers}
}
