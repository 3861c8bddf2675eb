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
	// targetUse is the share of the engines' time that the present work may
	// take; the rest is for bursts within the time an upstream takes to start.
	targetUse = 0.45
	// fullUse is the share above which on-demand upstreams are ordered.
	fullUse = 0.7
	// reserve is the part of a zone's limit that reclaimable upstreams leave
	// to on-demand ones.
	reserve = 2
	// dryReserve is that part while no reclaimable ones are to be had there.
	dryReserve = 3
	// dryMemory is how long after a reclaim or a refused order further
	// reclaims are expected.
	dryMemory = 15 * time.Second
	// leastPerZone is the number of reclaimable upstreams that a zone has at
	// least, as shared prompt parts and bursts need some room.
	leastPerZone = 3
	// startSlack is allowed beyond the start time before an upstream that was
	// ordered counts as missing.
	startSlack = 3 * time.Second
	// refusedWait is the time before an order that was refused is tried again.
	refusedWait = 3 * time.Second
	// failedWait is the time before an order without an answer is repeated.
	failedWait = time.Second
	// shrinkWait is how long a surplus of on-demand upstreams lasts before it
	// is given up; they are dear.
	shrinkWait = 1500 * time.Millisecond
)

// Planner plans the fleet of one service.
type Planner struct {
	service string
	scaling route.Scaling
	zones   []string
	orders  map[subject]*ordered
	waiting bool
	need    need
	// dryAt is when a zone was last seen without reclaimable upstreams to be had.
	dryAt map[string]time.Time
	// surplusAt is when more on-demand upstreams than needed were first seen.
	surplusAt time.Time
}

// New returns a planner for a service with the scaling given.
func New(service string, scaling route.Scaling) *Planner {
	return &Planner{
		service: service,
		scaling: scaling,
		orders:  make(map[subject]*ordered),
		dryAt:   make(map[string]time.Time),
	}
}

// defaultPrice is the relative price of a zone for which none is named.
const defaultPrice = 1.0

func (p *Planner) price(zone string) float64 {
	if price, ok := p.scaling.ZonePrices[zone]; ok {
		return price
	}
	return defaultPrice
}

// noteZones lists the zones that have a price or an upstream, cheap ones first.
func (p *Planner) noteZones(v View) {
	known := make(map[string]bool)
	for zone := range p.scaling.ZonePrices {
		known[zone] = true
	}
	for _, u := range v.Upstreams {
		if u.Service == p.service {
			known[u.Zone] = true
		}
	}
	for _, zone := range p.zones {
		known[zone] = true
	}
	p.zones = p.zones[:0]
	for zone := range known {
		p.zones = append(p.zones, zone)
	}
	slices.SortFunc(p.zones, func(a, b string) int {
		return cmp.Or(cmp.Compare(p.price(a), p.price(b)), strings.Compare(a, b))
	})
}

// SetScaling changes the bounds.
func (p *Planner) SetScaling(scaling route.Scaling) { p.scaling = scaling }

// noteReclaims notes the zones whose reclaimable upstreams are taken away.
// What was ordered there before is not to be waited for.
func (p *Planner) noteReclaims(now time.Time, v View) {
	for _, u := range v.Upstreams {
		if u.Service != p.service || !u.Reclaimable || u.State != placement.StateDraining || u.Leaves.IsZero() {
			continue
		}
		p.dryAt[u.Zone] = now
		if o := p.orders[subject{zone: u.Zone, reclaimable: true}]; o != nil {
			o.known = false
		}
	}
}

// dry reports whether a zone was lately without reclaimable upstreams to be had.
func (p *Planner) dry(now time.Time, zone string) bool {
	at, ok := p.dryAt[zone]
	return ok && now.Sub(at) < dryMemory
}

func (p *Planner) anyDry(now time.Time) bool {
	return slices.ContainsFunc(p.zones, func(zone string) bool { return p.dry(now, zone) })
}

// Wants reports whether there is an order to make.
func (p *Planner) Wants(now time.Time, v View) bool {
	_, ok := p.find(now, v)
	return ok
}

// Next returns the next order to make, if there is one and none is open.
func (p *Planner) Next(now time.Time, v View) (Order, bool) {
	order, ok := p.find(now, v)
	p.waiting = p.waiting || ok
	return order, ok
}

func (p *Planner) find(now time.Time, v View) (Order, bool) {
	p.noteZones(v)
	if p.waiting || len(p.zones) == 0 {
		return Order{}, false
	}
	alive := p.count(v)
	p.noteReclaims(now, v)
	p.need.find(now, alive)
	wanted := p.plan(now, v.Work, alive)
	for _, s := range p.subjects() {
		if v.Keep && wanted[s] < p.pending(now, s, alive[s]) {
			continue
		}
		if order, ok := p.order(now, s, wanted[s], alive[s]); ok {
			return order, true
		}
	}
	return Order{}, false
}

// subjects lists all subjects, reclaimable ones first, cheap zones first.
func (p *Planner) subjects() []subject {
	var list []subject
	for _, reclaimable := range []bool{true, false} {
		for _, zone := range p.zones {
			list = append(list, subject{zone: zone, reclaimable: reclaimable})
		}
	}
	return list
}

// plan returns the number wanted of each subject.
func (p *Planner) plan(now time.Time, work float64, alive counts) counts {
	need := p.need.update(now, work, len(p.zones))
	wanted := make(counts)
	aim := 0
	if p.scaling.ReclaimablePrice > 0 && p.scaling.ReclaimablePrice < 1 {
		aim = p.planReclaimable(now, need, alive, wanted)
	}
	missing := p.missing(now, work, need, alive)
	kept := missing
	if !p.anyDry(now) {
		// On-demand upstreams stay until the reclaimable ones have started.
		level := min(need, aim)
		if p.need.learnt(now) {
			level = min(level, p.safe(work, alive))
		}
		kept = max(kept, level-alive.total(true))
	}
	p.planOnDemand(now, missing, kept, alive, wanted)
	p.leaveRoom(now, alive, wanted)
	return wanted
}

// missing returns the on-demand upstreams needed beside the reclaimable ones:
// all of the need where none are reclaimable, else what full use takes. After a
// reclaim another zone may follow, so its upstreams are not counted on.
func (p *Planner) missing(now time.Time, work float64, need int, alive counts) int {
	counted := alive.total(true)
	if p.anyDry(now) {
		counted -= alive.mostInZone()
	}
	full := fullCount(work)
	if p.scaling.ReclaimablePrice <= 0 {
		full = need
	}
	return full - counted
}

// fullCount returns the upstreams that the work keeps in full use.
func fullCount(work float64) int { return max(int(math.Ceil(work/fullUse)), leastPerZone) }

// safe returns how many upstreams carry the work when a zone is reclaimed.
func (p *Planner) safe(work float64, alive counts) int {
	return max(fullCount(work)+alive.mostInZone(), leastPerZone*len(p.zones))
}

// planReclaimable spreads so many that the need is met without any one zone,
// as far as the on-demand upstreams of a zone leave room. It returns how many
// there are to be once these have made room.
func (p *Planner) planReclaimable(now time.Time, need int, alive, wanted counts) int {
	zones := len(p.zones)
	total := need
	if zones > 1 {
		total = (need*zones + zones - 2) / (zones - 1)
	}
	aim := 0
	for i, zone := range p.zones {
		share := total / zones
		if i < total%zones {
			share++
		}
		room := p.scaling.Max - reserve
		if p.dry(now, zone) {
			room = p.scaling.Max - dryReserve
		}
		onDemand := subject{zone: zone}
		share = min(share, max(room, p.scaling.Min))
		aim += share
		left := max(p.scaling.Max-p.pending(now, onDemand, alive[onDemand]), 0)
		wanted[subject{zone: zone, reclaimable: true}] = min(share, left)
	}
	return aim
}

// planOnDemand orders on-demand upstreams for what is missing, in cheap zones
// first, and gives up those beyond what is kept, in dear zones first.
func (p *Planner) planOnDemand(now time.Time, missing, kept int, alive, wanted counts) {
	current := 0
	for _, zone := range p.zones {
		s := subject{zone: zone}
		wanted[s] = p.pending(now, s, alive[s])
		current += wanted[s]
	}
	surplus := current - max(kept, 0)
	if surplus <= 0 {
		p.surplusAt = time.Time{}
		p.addOnDemand(now, missing-current, alive, wanted)
		return
	}
	if p.surplusAt.IsZero() {
		p.surplusAt = now
	}
	if now.Sub(p.surplusAt) < shrinkWait {
		return
	}
	for _, zone := range slices.Backward(p.zones) {
		s := subject{zone: zone}
		least := max(p.scaling.Min-wanted[subject{zone: zone, reclaimable: true}], 0)
		cut := min(surplus, max(wanted[s]-least, 0))
		wanted[s] -= cut
		surplus -= cut
	}
}

// addOnDemand adds on-demand upstreams where there is room, to all zones in turn.
func (p *Planner) addOnDemand(now time.Time, missing int, alive, wanted counts) {
	for missing > 0 {
		added := false
		for _, zone := range p.zones {
			s := subject{zone: zone}
			room := p.scaling.Max - wanted[s] - p.obtainable(now, zone, alive, wanted)
			if room <= 0 || missing <= 0 {
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

// obtainable returns how many reclaimable upstreams a zone will have: those
// wanted, or those that are there while no more are to be had.
func (p *Planner) obtainable(now time.Time, zone string, alive, wanted counts) int {
	s := subject{zone: zone, reclaimable: true}
	if p.dry(now, zone) {
		return min(wanted[s], p.pending(now, s, alive[s]))
	}
	return wanted[s]
}

// leaveRoom wants no more reclaimable upstreams than a zone's limit leaves
// beside the on-demand ones.
func (p *Planner) leaveRoom(now time.Time, alive, wanted counts) {
	for _, zone := range p.zones {
		s, other := subject{zone: zone, reclaimable: true}, subject{zone: zone}
		onDemand := max(wanted[other], p.pending(now, other, alive[other]))
		room := max(p.scaling.Max-onDemand, 0)
		wanted[s] = max(min(wanted[s], room), p.obtainable(now, zone, alive, wanted))
	}
}
