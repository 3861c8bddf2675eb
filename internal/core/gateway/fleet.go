package gateway

import (
	"time"

	"monsoonlanding/internal/core/average"
	"monsoonlanding/internal/core/fleet"
	"monsoonlanding/internal/core/placement"
)

const (
	// workDecay is the time constant of the moving average of engine work.
	workDecay = 5 * time.Second
	// rolloutCooldown is the duration after a verdict in which upstreams of the
	// other version may still exist.
	rolloutCooldown = 10 * time.Second
	// fleetStartDelay is the time for which a new process observes the load
	// before it orders upstreams. At first it knows neither the load nor its
	// peers.
	fleetStartDelay = 1500 * time.Millisecond
	// returnCooldown is the duration after a zone was taken back in which no upstream is
	// released: those of the zone may have to warm up.
	returnCooldown = 30 * time.Second
)

// addWork counts the work of a request that has arrived, whether or not an
// engine has capacity for it.
func (g *Gateway) addWork(r *request) {
	service, ok := g.table.Service(r.service)
	if !ok || service.Engine == nil {
		return
	}
	w := g.work[r.service]
	if w == nil {
		w = &average.Rate{Decay: workDecay}
		g.work[r.service] = w
	}
	w.Add(g.now, engineWork(r.req.Prompt, g.upstreams.Speed(r.service)).Seconds())
}

// totalWork adds up the work of all nodes for a service, as a number of
// engines.
func (g *Gateway) totalWork(service string) float64 {
	sum := 0.0
	if w := g.work[service]; w != nil {
		sum = w.PerSecond(g.now)
	}
	for _, m := range g.members {
		if !g.inContact(m) {
			continue
		}
		for _, w := range m.status.EngineLoad {
			if w.Service == service {
				sum += w.Engines
			}
		}
	}
	return sum
}

// orderFleet orders upstreams for each scaled service whose desired number has
// changed.
func (g *Gateway) orderFleet() {
	if !g.cfg.Bounds.OrdersFleet || !g.upstreamsRead || g.storeDown || g.now.Sub(g.started) < fleetStartDelay {
		return
	}
	for _, s := range g.table.Services() {
		if s.Scaling == nil {
			continue
		}
		p := g.planners[s.Name]
		if p == nil {
			p = fleet.New(s.Name, *s.Scaling)
			g.planners[s.Name] = p
		}
		p.SetScaling(*s.Scaling)
		g.orderUpstreams(p, s.Name)
	}
}

func (g *Gateway) orderUpstreams(p *fleet.Planner, service string) {
	view := fleet.View{
		Upstreams: g.upstreams.All(), BusyEngines: g.totalWork(service), Evacuated: g.evacuations.Zones(),
		KeepAll: g.rollingOut(service) || g.zoneReturned(),
	}
	if !p.HasOrder(g.now, view) {
		return
	}
	if !g.lease.MayCallPlatform(g.now) {
		if call, ok := g.lease.Renew(g.now, nil); ok {
			g.emitStoreCall(call)
		}
		return
	}
	order, ok := p.Next(g.now, view)
	if !ok {
		return
	}
	g.log("fleet", "ordering upstreams", "service", service, "zone", order.Zone, "reclaimable", order.Reclaimable,
		"count", order.Count, "work", view.BusyEngines, "token", g.lease.FencingToken())
	g.emit(OrderFleet{Order: order, Token: g.lease.FencingToken()})
}

// rollingOut reports whether a rollout of the service is open or ended within
// rolloutCooldown, so that upstreams of both versions may exist.
func (g *Gateway) rollingOut(service string) bool {
	r := g.rollouts[service]
	return r != nil && (r.order.Open() || g.now.Sub(r.endedAt) < rolloutCooldown)
}

// zoneReturned reports whether a zone was taken back within returnCooldown.
func (g *Gateway) zoneReturned() bool {
	return !g.zoneReturnedAt.IsZero() && g.now.Sub(g.zoneReturnedAt) < returnCooldown
}

func (g *Gateway) fleetOrdered(e FleetOrdered) {
	g.count(CountDuty, "fleet_"+string(e.Outcome))
	if p := g.planners[e.Order.Service]; p != nil {
		p.RecordOutcome(g.now, e.Order, e.Outcome)
	}
}

// cachedFraction is the fraction of the shared prompt tokens that engines
// usually have cached.
const cachedFraction = 0.7

// engineWork returns the engine time that a prompt usually takes.
func engineWork(p placement.Prompt, speed placement.Speed) time.Duration {
	uncached := float64(p.InputTokens) - cachedFraction*float64(p.SharedTokens())
	return speed.PrefillTime(int(uncached)) + time.Duration(p.ExpectedOutput())*speed.TokenCost
}
