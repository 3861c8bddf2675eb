package gateway

import (
	"strconv"

	"monsoonlanding/internal/core/placement"
	"monsoonlanding/internal/core/quarantine"
	"monsoonlanding/internal/core/quota"
)

// State is a snapshot of a node, for its metrics.
type State struct {
	ConfigVersion int64 `json:"config_version"`
	Ready         bool  `json:"ready"`
	Stopping      bool  `json:"stopping"`
	StoreDown     bool  `json:"store_down"`
	// NodesInContact counts this node and the nodes in contact with it.
	// NodesKnown counts the silent ones as well.
	NodesInContact int `json:"nodes_heard"`
	NodesKnown     int `json:"nodes_known"`
	// LeaseHeld reports whether the node holds the latest lease that it knows of.
	LeaseHeld  bool                    `json:"lease_held"`
	LeaseToken int64                   `json:"lease_token"`
	Services   map[string]ServiceState `json:"services"`
	// EvacuatedZones counts the availability zones to whose upstreams nothing is sent, those
	// without upstreams too.
	EvacuatedZones int `json:"evacuated_zones"`
	// QuotaLeft is the number of units that each team served here may spend at
	// once.
	QuotaLeft map[string]float64 `json:"quota_left"`
	// Quotas holds the quotas of the teams served here.
	Quotas map[string]QuotaState `json:"quotas"`
	// Capacity is what each upstream is held to take well, by ID.
	Capacity map[string]placement.Capacity `json:"capacity,omitempty"`
	// Quarantined is the number of crashes for each trait of requests that is
	// refused because of them.
	Quarantined map[quarantine.Trait]int `json:"quarantined"`
}

// QuotaState is a snapshot of a team's quota, in its units.
type QuotaState struct {
	// Rate a second and Burst are the limit without a tolerance.
	Rate  float64 `json:"rate"`
	Burst float64 `json:"burst"`
	// Spent and Asked count from the start of this process, on this node.
	Spent float64 `json:"spent"`
	Asked float64 `json:"asked"`
	// Reserve is kept for the requests of each rank, by its number.
	Reserve map[string]float64 `json:"reserve"`
}

// ServiceState is a snapshot of a service.
type ServiceState struct {
	Upstreams int `json:"upstreams"`
	// Evacuated is the number of further ones in evacuated availability zones.
	Evacuated int `json:"evacuated"`
	// Paused is the number of upstreams that have asked this node for a pause.
	Paused int `json:"paused"`
	// Cold is the number of upstreams that tolerate few requests at the moment.
	Cold int `json:"cold"`
	// Reporting is the number of upstreams that have recently reported to this node how long work takes
	// there, Slow that of those where it takes longer than usual.
	Reporting int `json:"reporting"`
	Slow      int `json:"slow"`
	Waiting   int `json:"waiting"`
	Running   int `json:"running"`
	// Retries counts the retries in the current retry window.
	Retries int `json:"resends"`
}

// State returns a snapshot of the node.
func (g *Gateway) State() State {
	inContact := g.contactCount(silentIntervals)
	s := State{
		ConfigVersion:  g.table.Version(),
		Ready:          g.Ready(),
		Stopping:       g.stopping,
		StoreDown:      g.storeDown,
		NodesInContact: inContact,
		NodesKnown:     len(g.members) + 1,
		LeaseHeld:      g.lease.Held(),
		LeaseToken:     g.lease.FencingToken(),
		Services:       make(map[string]ServiceState),
		EvacuatedZones: len(g.evacuations.Zones()),
		QuotaLeft:      make(map[string]float64),
		Quotas:         make(map[string]QuotaState),
		Quarantined:    g.quarantine.Quarantined(),
	}
	for _, service := range g.table.Services() {
		s.Services[service.Name] = g.serviceState(service.Name)
	}
	for _, c := range g.upstreams.Capacities(g.now) {
		if s.Capacity == nil {
			s.Capacity = make(map[string]placement.Capacity)
		}
		s.Capacity[c.Upstream] = c
	}
	for name, q := range g.quotas {
		s.QuotaLeft[name] = q.bucket.Level()
		s.Quotas[name] = q.state()
	}
	return s
}

func (q *teamQuota) state() QuotaState {
	s := QuotaState{Rate: q.rate, Burst: q.burst, Spent: q.spent, Asked: q.asked, Reserve: make(map[string]float64)}
	for rank := range quota.RankCount {
		if need := q.latest.Need(rank); need > 0 {
			s.Reserve[strconv.Itoa(rank)] = need
		}
	}
	return s
}

func (g *Gateway) serviceState(service string) ServiceState {
	s := ServiceState{
		Upstreams: g.upstreams.Count(service),
		Evacuated: g.upstreams.CountEvacuated(service),
		Paused:    g.upstreams.CountPaused(g.now, service),
		Cold:      g.upstreams.CountCold(g.now, service),
	}
	s.Reporting, s.Slow = g.upstreams.CountSlow(g.now, service)
	for _, r := range g.requests {
		switch {
		case r.service != service:
		case r.phase == phaseWaiting:
			s.Waiting++
		default:
			s.Running++
		}
	}
	if b := g.retryBudgets[service]; b != nil {
		s.Retries = b.retryCount()
	}
	return s
}
