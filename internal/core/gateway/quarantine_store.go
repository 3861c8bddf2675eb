package gateway

import (
	"maps"
	"time"

	"monsoonlanding/internal/core/quarantine"
)

// quarantineStore keeps the quarantined parts in the platform's store, so that they
// are known after all nodes have started again.
type quarantineStore struct {
	// read is set once the stored parts have been read, busy while a call is
	// under way.
	read, busy bool
	retryAt    time.Time
	// lost is set if the store may have lost what was written.
	lost bool
	// stored is the number of crashes of each stored part, as far as this node
	// knows; writing is what the current call writes.
	stored, writing map[quarantine.Trait]int
}

// quarantinedParts returns the number of crashes of each quarantined part. Contents
// are not stored: those that come again are known by two crashes.
func (g *Gateway) quarantinedParts() map[quarantine.Trait]int {
	parts := g.quarantine.Quarantined()
	maps.DeleteFunc(parts, func(t quarantine.Trait, _ int) bool { return t.IsContent() })
	return parts
}

// syncQuarantine reads the stored parts once, and writes them if they have changed
// and this node is the first in contact.
func (g *Gateway) syncQuarantine() {
	s := &g.quarantineStore
	if s.busy || g.stopping || g.now.Before(s.retryAt) {
		return
	}
	if !s.read {
		s.busy = true
		g.emit(ReadQuarantine{})
		return
	}
	parts := g.quarantinedParts()
	if !s.lost && maps.Equal(parts, s.stored) || !g.isFirstInContact("quarantine") {
		return
	}
	s.busy, s.lost, s.writing = true, false, parts
	var evidence []quarantine.Evidence
	for _, e := range g.quarantine.Report(g.now).Evidence {
		if _, stored := parts[e.Trait]; stored {
			evidence = append(evidence, e)
		}
	}
	g.emit(WriteQuarantine{Evidence: evidence, At: g.clusterTime()})
}

func (g *Gateway) quarantineRead(e QuarantineRead) {
	s := &g.quarantineStore
	s.busy = false
	if !e.Done {
		s.retryAt = g.now.Add(retryInterval)
		return
	}
	s.read, s.stored = true, make(map[quarantine.Trait]int)
	elapsed := max(g.clusterTime().Sub(e.At), 0)
	for _, stored := range e.Evidence {
		s.stored[stored.Trait] = len(stored.Crashes)
		for i := range stored.Crashes {
			stored.Crashes[i].Age += elapsed
		}
	}
	g.quarantine.Merge(g.now, storeName, quarantine.Report{Evidence: e.Evidence})
	g.judge()
}

// storeName stands for the store among the nodes that report evidence.
const storeName = "store"

func (g *Gateway) quarantineWritten(e QuarantineWritten) {
	s := &g.quarantineStore
	s.busy = false
	if !e.Done {
		s.retryAt = g.now.Add(retryInterval)
		return
	}
	s.stored = s.writing
}
