package fleet

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"monsoonlanding/internal/core/placement"
	"monsoonlanding/internal/core/route"
)

const (
	// targetUtilization is the utilization for which the fleet is sized; the rest
	// is headroom for bursts until newly ordered upstreams have started.
	targetUtilization = 0.45
	// maxUtilization is the utilization above which on-demand upstreams are
	// ordered.
	maxUtilization = 0.7
	// onDemandReserve is the part of a zone's limit, in upstreams, that is
	// reserved for on-demand ones.
	onDemandReserve = 2
	// shortageReserve replaces onDemandReserve during a shortage of reclaimable
	// upstreams in the zone.
	shortageReserve = 3
	// shortageDuration is the time after a reclaim or a refused order for which
	// a shortage of reclaimable upstreams and further reclaims are expected.
	shortageDuration = 15 * time.Second
	// minPerZone is the minimum number of reclaimable upstreams per zone, because
	// bursts and caches for shared prompt parts take some capacity at any load.
	minPerZone = 3
	// startMargin is added to the start time before an ordered upstream that has
	// not appeared counts as missing.
	startMargin = 3 * time.Second
	// refusedBackoff is the back-off after a refused order.
	refusedBackoff = 3 * time.Second
	// unansweredBackoff is the back-off after an unanswered order.
	unansweredBackoff = time.Second
	// shrinkDelay is the time for which a surplus of on-demand upstreams must
	// last before it is released. It is short because on-demand ones are
	// expensive.
	shrinkDelay = 1500 * time.Millisecond
)

// Planner plans the fleet of one service.
type Planner struct {
	service string
	scaling route.Scaling
	zones   []string
	// known holds all zones, evacuated ones too.
	known     map[string]bool
	orders    map[segment]*orderState
	orderOpen bool
	demand    demand
	// shortageAt is the time of the latest reclaim or refused order of
	// reclaimable upstreams by zone.
	shortageAt map[string]time.Time
	// surplusAt is when the current surplus of on-demand upstreams began, zero if
	// there is none.
	surplusAt time.Time
}

// New returns a planner for a service.
func New(service string, scaling route.Scaling) *Planner {
	return &Planner{
		service:    service,
		scaling:    scaling,
		orders:     make(map[segment]*orderState),
		shortageAt: make(map[string]time.Time),
		known:      make(map[string]bool),
	}
}

// defaultPrice is the relative price of a zone without a configured price.
const defaultPrice = 1.0

func (p *Planner) price(zone string) float64 {
	if price, ok := p.scaling.ZonePrices[zone]; ok {
		return price
	}
	return defaultPrice
}

// updateZones adds the zones that have a price or an upstream and sorts those that aren't
// evacuated by price, the cheapest first.
func (p *Planner) updateZones(v View) {
	for zone := range p.scaling.ZonePrices {
		p.known[zone] = true
	}
	for _, u := range v.Upstreams {
		if u.Service == p.service {
			p.known[u.Zone] = true
		}
	}
	p.zones = p.zones[:0]
	for zone := range p.known {
		if !slices.Contains(v.Evacuated, zone) {
			p.zones = append(p.zones, zone)
		}
	}
	slices.SortFunc(p.zones, func(a, b string) int {
		return cmp.Or(cmp.Compare(p.price(a), p.price(b)), strings.Compare(a, b))
	})
}

// SetScaling changes the scaling configuration.
func (p *Planner) SetScaling(scaling route.Scaling) { p.scaling = scaling }

// recordReclaims records the zones whose reclaimable upstreams are being
// reclaimed. Upstreams ordered there earlier are no longer expected to start.
func (p *Planner) recordReclaims(now time.Time, v View) {
	for _, u := range v.Upstreams {
		if u.Service != p.service || !u.Reclaimable || u.State != placement.StateDraining || u.StopsAt.IsZero() {
			continue
		}
		p.shortageAt[u.Zone] = now
		if o := p.orders[segment{zone: u.Zone, reclaimable: true}]; o != nil {
			o.valid = false
		}
	}
}

// inShortage reports whether no reclaimable upstreams are expected to be
// available in a zone.
func (p *Planner) inShortage(now time.Time, zone string) bool {
	at, ok := p.shortageAt[zone]
	return ok && now.Sub(at) < shortageDuration
}

func (p *Planner) anyShortage(now time.Time) bool {
	return slices.ContainsFunc(p.zones, func(zone string) bool { return p.inShortage(now, zone) })
}

// Observe records the demand and the reclaims that the view shows, without an order.
func (p *Planner) Observe(now time.Time, v View) {
	p.updateZones(v)
	if len(p.zones) == 0 {
		return
	}
	p.recordReclaims(now, v)
	p.demand.recordInitial(now, p.count(v))
	p.demand.update(now, v.BusyEngines, len(p.zones))
}

// OrderOpen reports whether an order has been returned by Next and not been answered.
func (p *Planner) OrderOpen() bool { return p.orderOpen }

// HasOrder reports whether Next would return an order.
func (p *Planner) HasOrder(now time.Time, v View) bool {
	_, ok := p.nextOrder(now, v)
	return ok
}

// Next returns the next order to send, if there is one and none is open.
func (p *Planner) Next(now time.Time, v View) (Order, bool) {
	order, ok := p.nextOrder(now, v)
	p.orderOpen = p.orderOpen || ok
	return order, ok
}

func (p *Planner) nextOrder(now time.Time, v View) (Order, bool) {
	p.updateZones(v)
	if p.orderOpen || len(p.zones) == 0 {
		return Order{}, false
	}
	ready := p.count(v)
	p.recordReclaims(now, v)
	p.demand.recordInitial(now, ready)
	wanted := p.plan(now, v, ready)
	for _, s := range p.segments() {
		if v.KeepAll && wanted[s] < p.expected(now, s, ready[s]) {
			continue
		}
		if order, ok := p.order(now, s, wanted[s], ready[s]); ok {
			return order, true
		}
	}
	return Order{}, false
}

// segments returns all segments, reclaimable ones first, then by zone price.
func (p *Planner) segments() []segment {
	var list []segment
	for _, reclaimable := range []bool{true, false} {
		for _, zone := range p.zones {
			list = append(list, segment{zone: zone, reclaimable: reclaimable})
		}
	}
	return list
}

// plan returns the wanted number of upstreams of each segment. A surge counts
// for the capacity that is missing now, not for the spare capacity that the peak
// demand keeps for long.
func (p *Planner) plan(now time.Time, v View, ready counts) counts {
	demand := p.demand.update(now, v.BusyEngines, len(p.zones))
	work := max(v.BusyEngines, v.Surge)
	wanted := make(counts)
	target := 0
	if p.scaling.ReclaimablePrice > 0 && p.scaling.ReclaimablePrice < 1 {
		target = p.planReclaimable(now, demand, ready, wanted)
	}
	requiredOnDemand := p.requiredOnDemand(now, work, demand, ready)
	kept := requiredOnDemand
	if !p.anyShortage(now) {
		// On-demand upstreams are kept until the reclaimable ones have started.
		floor := min(demand, target)
		if p.demand.loadKnown(now) {
			floor = min(floor, p.countForZoneLoss(work, ready))
		}
		kept = max(kept, floor-ready.total(true))
	}
	p.planOnDemand(now, requiredOnDemand, kept, ready, wanted)
	p.limitReclaimable(now, ready, wanted)
	return wanted
}

// requiredOnDemand returns the number of on-demand upstreams required in
// addition to the reclaimable ones. The total required is the demand if the
// service has no reclaimable upstreams, otherwise minimumCount. During a
// shortage another zone may be reclaimed, so the upstreams of the largest zone
// are not counted.
func (p *Planner) requiredOnDemand(now time.Time, work float64, demand int, ready counts) int {
	counted := ready.total(true)
	if p.anyShortage(now) {
		counted -= ready.largestZone()
	}
	required := minimumCount(work)
	if p.scaling.ReclaimablePrice <= 0 {
		required = demand
	}
	return required - counted
}

// minimumCount returns the number of upstreams that the work takes at
// maxUtilization, at least minPerZone.
func minimumCount(work float64) int { return max(int(math.Ceil(work/maxUtilization)), minPerZone) }

// countForZoneLoss returns the number of upstreams required so that the
// remaining ones can serve the work after the largest zone is reclaimed.
func (p *Planner) countForZoneLoss(work float64, ready counts) int {
	return max(minimumCount(work)+ready.largestZone(), minPerZone*len(p.zones))
}

// planReclaimable spreads reclaimable upstreams over the zones so that the
// demand is met without any one zone, within the zone limits less the
// on-demand upstreams. It returns the total that is wanted once the on-demand
// upstreams have been released.
func (p *Planner) planReclaimable(now time.Time, demand int, ready, wanted counts) int {
	zones := len(p.zones)
	total := demand
	if zones > 1 {
		// Rounded up, so that all zones but one meet the demand.
		total = (demand*zones + zones - 2) / (zones - 1)
	}
	target := 0
	for i, zone := range p.zones {
		perZone := total / zones
		if i < total%zones {
			perZone++
		}
		limit := p.scaling.Max - onDemandReserve
		if p.inShortage(now, zone) {
			limit = p.scaling.Max - shortageReserve
		}
		onDemand := segment{zone: zone}
		perZone = min(perZone, max(limit, p.scaling.Min))
		target += perZone
		available := max(p.scaling.Max-p.expected(now, onDemand, ready[onDemand]), 0)
		wanted[segment{zone: zone, reclaimable: true}] = min(perZone, available)
	}
	return target
}

// planOnDemand adds on-demand upstreams up to the required number, in the
// cheapest zones first, and releases those beyond the number kept, in the most
// expensive zones first.
func (p *Planner) planOnDemand(now time.Time, required, kept int, ready, wanted counts) {
	current := 0
	for _, zone := range p.zones {
		s := segment{zone: zone}
		wanted[s] = p.expected(now, s, ready[s])
		current += wanted[s]
	}
	surplus := current - max(kept, 0)
	if surplus <= 0 {
		p.surplusAt = time.Time{}
		p.addOnDemand(now, required-current, ready, wanted)
		return
	}
	if p.surplusAt.IsZero() {
		p.surplusAt = now
	}
	if now.Sub(p.surplusAt) < shrinkDelay {
		return
	}
	for _, zone := range slices.Backward(p.zones) {
		s := segment{zone: zone}
		minimum := max(p.scaling.Min-wanted[segment{zone: zone, reclaimable: true}], 0)
		released := min(surplus, max(wanted[s]-minimum, 0))
		wanted[s] -= released
		surplus -= released
	}
}

// addOnDemand adds the missing on-demand upstreams to all zones in turn, within
// their limits.
func (p *Planner) addOnDemand(now time.Time, missing int, ready, wanted counts) {
	for missing > 0 {
		added := false
		for _, zone := range p.zones {
			s := segment{zone: zone}
			available := p.scaling.Max - wanted[s] - p.obtainable(now, zone, ready, wanted)
			if available <= 0 || missing <= 0 {
				continue
			}
			wanted[s]++
			missing--
			added = true
		}
		if !added {
			return
		}
	}
}

// obtainable returns the number of reclaimable upstreams that a zone can have:
// the wanted number, but during a shortage at most the expected number.
func (p *Planner) obtainable(now time.Time, zone string, ready, wanted counts) int {
	s := segment{zone: zone, reclaimable: true}
	if p.inShortage(now, zone) {
		return min(wanted[s], p.expected(now, s, ready[s]))
	}
	return wanted[s]
}

// limitReclaimable reduces the wanted reclaimable upstreams to a zone's limit
// less its on-demand ones.
func (p *Planner) limitReclaimable(now time.Time, ready, wanted counts) {
	for _, zone := range p.zones {
		s, other := segment{zone: zone, reclaimable: true}, segment{zone: zone}
		onDemand := max(wanted[other], p.expected(now, other, ready[other]))
		available := max(p.scaling.Max-onDemand, 0)
		wanted[s] = max(min(wanted[s], available), p.obtainable(now, zone, ready, wanted))
	}
}
