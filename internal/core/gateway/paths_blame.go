package gateway

import "time"

// blame is a failure that counts against an upstream's process or against its version.
type blame struct {
	at      time.Time
	process uint64
	// withdraw takes back what was counted, nil if there is nothing to take back.
	withdraw func()
}

// blameProcess notes that a failure of an attempt has been counted. It is taken back if the
// node finds that its own paths are lost.
func (g *Gateway) blameProcess(process uint64, withdraw func()) {
	p := &g.paths
	kept := p.blamed[:0]
	for _, b := range p.blamed {
		if g.now.Sub(b.at) < 2*blameRetention {
			kept = append(kept, b)
		}
	}
	p.blamed = append(kept, blame{at: g.now, process: process, withdraw: withdraw})
}

// withdrawBlame takes back what has been counted against upstreams since a time.
func (g *Gateway) withdrawBlame(since time.Time) {
	g.upstreams.ForgetFailures(since)
	for _, b := range g.paths.blamed {
		if b.at.Before(since) {
			continue
		}
		g.quarantine.Refute(since, b.process)
		if b.withdraw != nil {
			b.withdraw()
		}
	}
	g.paths.blamed = nil
	for _, r := range g.requests {
		if evidence := g.evidence(r); evidence != nil && r.phase == phaseRunning && !r.began && r.counted == countedLate {
			evidence.Late--
			r.counted = notCounted
		}
	}
}
