package gateway

// State is what a node knows at a moment, for its metrics.
type State struct {
	ConfigVersion int64 `json:"config_version"`
	Ready         bool  `json:"ready"`
	Stopping      bool  `json:"stopping"`
	StoreDown     bool  `json:"store_down"`
	// Nodes counts this node and those that it hears; Known, all others too.
	NodesHeard int `json:"nodes_heard"`
	NodesKnown int `json:"nodes_known"`
	// LeaseHeld says that the node believes that it holds the lease.
	LeaseHeld  bool                    `json:"lease_held"`
	LeaseToken int64                   `json:"lease_token"`
	Services   map[string]ServiceState `json:"services"`
	// QuotaLeft is what each team that was served here may spend at once, in
	// its unit.
	QuotaLeft map[string]float64 `json:"quota_left"`
}

// ServiceState is what a node knows of a service.
type ServiceState struct {
	Upstreams int `json:"upstreams"`
	Waiting   int `json:"waiting"`
	Running   int `json:"running"`
	// Resends counts the resends in the present window.
	Resends int `json:"resends"`
}

// State returns what the node knows.
func (g *Gateway) State() State {
	heard := g.heardCount(silence)
	s := State{
		ConfigVersion: g.table.Version(),
		Ready:         g.Ready(),
		Stopping:      g.stopping,
		StoreDown:     g.storeDown,
		NodesHeard:    heard,
		NodesKnown:    len(g.members) + 1,
		LeaseHeld:     g.keeper.Held(),
		LeaseToken:    g.keeper.Token(),
		Services:      make(map[string]ServiceState),
		QuotaLeft:     make(map[string]float64),
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
	s := ServiceState{Upstreams: g.upstreams.Count(service)}
	for _, r := range g.requests {
		switch {
		case r.service != service:
		case r.phase == phaseWaiting:
			s.Waiting++
		default:
			s.Running++
		}
	}
	if b := g.budgets[service]; b != nil {
		s.Resends = b.resent()
	}
	return s
}
