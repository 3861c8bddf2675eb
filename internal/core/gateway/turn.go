package gateway

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// readInterval is the interval between two reads of the store by any nodes.
	readInterval = 600 * time.Millisecond
	// evacuationsInterval is the same for the evacuations. Watches bring changes at once; the
	// lists find those that a watch has missed, with time for some that fail before an
	// evacuation must be in force.
	evacuationsInterval = 1200 * time.Millisecond
	// watchers is the number of nodes that watch the store; more than one,
	// because a node may be cut off from the store.
	watchers = 2
	// minReadWait is the minimum wait until a node's next read, and thus the
	// minimum duration of a watch.
	minReadWait = 300 * time.Millisecond
)

// Turn is a node's next turn to read the store.
type Turn struct {
	// Wait is the time until the node reads the lists.
	Wait time.Duration
	// Watch is set if the node also watches the store until then.
	Watch bool
}

// Turn returns this node's next turn to read the store. A few nodes watch the
// store and notify the others. A watch may miss changes, so the lists are read
// as well: the nodes that are in contact and reach the store take turns, so
// that one of them reads per readInterval. Their order is by hash of their
// names and not by zone, because the nodes of a zone fail together.
func (g *Gateway) Turn(now time.Time) Turn { return g.turnEvery(now, readInterval) }

// FeedTurn returns this node's next turn to read a feed.
func (g *Gateway) FeedTurn(now time.Time, feed FeedName) Turn {
	if feed == FeedEvacuations {
		return g.turnEvery(now, evacuationsInterval)
	}
	return g.Turn(now)
}

func (g *Gateway) turnEvery(now time.Time, interval time.Duration) Turn {
	inContact, before := 1, 0
	own := xxhash.Sum64String(g.cfg.Node)
	for _, m := range g.members {
		if !g.inContact(m) || m.status.StoreUnavailable {
			continue
		}
		inContact++
		if xxhash.Sum64String(m.node) < own {
			before++
		}
	}
	period := time.Duration(inContact) * interval
	turn := time.Duration(before) * interval
	wait := (turn - time.Duration(now.UnixNano())%period + period) % period
	if wait < minReadWait {
		wait += period
	}
	return Turn{Wait: wait, Watch: before < watchers}
}
