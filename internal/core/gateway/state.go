package gateway

import "monsoonlanding/internal/core/quarantine"

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
	// QuotaLeft is the number of units that each team served here may spend at
	// once.
	QuotaLeft map[string]float64 `json:"quota_left"`
	// Quarantined is the number of crashes for each trait of requests that is
	// refused because of them.
	Quarantined map[quarantine.Trait]int `json:"quarantined"`
}

// ServiceState is a snapshot of a service.
type ServiceState struct {
	Upstreams int `json:"upstreams"`
	// Paused is the number of upstreams that have asked this node for a pause.
	Paused int `json:"paused"`
	// Cold is the number of upstreams that tolerate few requests at the moment.
	Cold    int `json:"cold"`
	Waiting int `json:"waiting"`
	Running int `json:"running"`
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
		QuotaLeft:      make(map[string]float64),
		Quarantined:    g.quarantine.Quarantined(),
	}
	for _, service := range g.table.Services() {
		s.Services[service.Name] = g.serviceState(service.Name)
	}
	for name, q := range g.quotas {
		s.QuotaLeft[name] = q.bucket.Level()
	}
	return s
}

func (g *Gateway) serviceState(service string) ServiceState {
	s := ServiceState{Upstreams: g.upstreams.Count(service), Paused: g.upstreams.CountPaused(g.now, service), Cold: g.upstreams.CountCold(g.now, service)}
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
