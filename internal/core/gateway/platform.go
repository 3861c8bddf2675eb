package gateway

import (
	"time"

	"monsoonlanding/internal/core/route"
)

// storeReturnSpread is the period within which all nodes detect that the store
// is back.
const storeReturnSpread = 3 * time.Second

func (g *Gateway) configRead(e ConfigRead) {
	if g.spread.decoding == e.Config.Version {
		g.spread.decoding = 0
	}
	if e.Config.Version <= g.table.Version() {
		return
	}
	g.log("config", "configuration in force", "version", e.Config.Version, "before", g.table.Version(), "source", e.Source,
		"bytes", len(e.Body))
	g.table = route.New(e.Config)
	g.configBody = e.Body
	g.spread.packed, g.spread.announceToAll = nil, e.Packed == nil
	if e.Packed == nil {
		g.emit(PackConfig{Version: e.Config.Version, Body: e.Body})
	} else {
		g.setPacked(e.Packed)
	}
	g.pruneQuotas()
	g.logOddCold()
	g.requeue()
}

// pruneQuotas removes the quotas of teams that are no longer configured.
func (g *Gateway) pruneQuotas() {
	kept := make(map[string]bool)
	for _, t := range g.table.Teams() {
		kept[t.Name] = true
	}
	for name := range g.quotas {
		if !kept[name] {
			delete(g.quotas, name)
		}
	}
}

func (g *Gateway) storeLost() {
	if g.storeDown {
		return
	}
	g.storeDown, g.storeLostAt = true, g.now
	g.log("store", "store lost")
}

func (g *Gateway) storeRegained() {
	if !g.storeDown {
		return
	}
	g.storeDown = false
	if !g.peerKeptStore() {
		g.storeRegainedAt = g.now
	}
	g.log("store", "store regained", "lost_to_all", g.storeRegainedAt.Equal(g.now))
}

// peerKeptStore reports whether a peer reached the store during the whole
// outage, so that no entry can have expired.
func (g *Gateway) peerKeptStore() bool {
	for _, m := range g.members {
		if g.inContact(m) && !m.status.StoreUnavailable && g.now.Sub(m.storeRegainedAt) > storeReturnSpread {
			return true
		}
	}
	return false
}
