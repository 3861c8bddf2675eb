package route

import "time"

// Kind determines how often a request may run.
type Kind string

// Kinds of routes.
const (
	// KindSafe requests may run any number of times.
	KindSafe Kind = "safe"
	// KindUnsafe requests may run at most once.
	KindUnsafe Kind = "unsafe"
	// KindStreaming requests are answered by a stream of events. They may run
	// at most once unless the route is resumable.
	KindStreaming Kind = "streaming"
)

// Config is one version of the operators' configuration.
type Config struct {
	// Version orders configurations; a higher version replaces a lower one.
	Version  int64
	Routes   []Route
	Services []Service
	// Teams is empty if requests carry no API keys.
	Teams  []Team
	Limits Limits
}

// Route maps requests of a host and path prefix to services.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       Kind
	// Timeout bounds the time that a caller waits for the answer.
	Timeout time.Duration
	// LatencyGoal is the latency that callers expect of the answer or its first
	// event.
	LatencyGoal time.Duration
	// Priority ranks routes; 0 is the most urgent.
	Priority int
	Targets  []Target
	// Attempts is the maximum number of upstreams that one submission of a
	// request may run on.
	Attempts int
	// Public routes need no API key.
	Public bool
	// Resumable streams may continue at another upstream.
	Resumable bool
	// MaxPause is the longest pause that callers expect between two events.
	MaxPause time.Duration
}

// Retryable reports whether a request may run more than once.
func (r *Route) Retryable() bool {
	return r.Kind == KindSafe || r.Kind == KindStreaming && r.Resumable
}

// Target is a service that gets requests of a route in proportion to its weight.
type Target struct {
	Service string
	Weight  int
}

// Service is a set of upstreams that do the same work.
type Service struct {
	Name string
	// MaxConnections is the maximum number of connections to one upstream from
	// all nodes.
	MaxConnections int
	// Engine is nil for plain services.
	Engine *Engine
	// Scaling is nil if the nodes do not choose the number of upstreams.
	Scaling *Scaling
	// Cold is nil if upstreams tolerate as much after their start as later.
	Cold *Cold
}

// Cold describes the upstreams of a service for some time after they have started, or after they
// have lost their caches.
type Cold struct {
	// Duration is the time after the start.
	Duration time.Duration
	// PerSecond is the number of requests a second that a cold upstream tolerates from all nodes
	// together.
	PerSecond float64
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the maximum number of requests in one batch.
	Slots int
	// MemoryTokens is the size of one engine's KV cache in tokens.
	MemoryTokens int
	// TokensPerEvent is the maximum number of tokens in an event of a stream.
	TokensPerEvent int
	// PinLimit is the maximum retention period of a finished session's KV cache
	// at an engine.
	PinLimit time.Duration
	// CanCopyCache reports whether engines can copy a running request's KV cache
	// to another engine.
	CanCopyCache bool
}

// Scaling configures the number of upstreams of a service per availability zone.
type Scaling struct {
	// Min and Max bound the number of upstreams in each zone.
	Min, Max int
	// StartTime is the time from an order until the upstream serves requests.
	StartTime time.Duration
	// ReclaimablePrice is the price of a reclaimable upstream as a fraction of
	// an on-demand one's; 0 if no upstreams are reclaimable.
	ReclaimablePrice float64
	// ZonePrices is the relative price of an upstream by zone.
	ZonePrices map[string]float64
}

// Unit is the unit of a quota.
type Unit string

// Units of quotas.
const (
	UnitRequests Unit = "requests"
	UnitTokens   Unit = "tokens"
)

// Team is a group of callers that share keys, a priority and a quota.
type Team struct {
	Name string
	Keys []string
	// Priority replaces the route's priority if HasPriority is set.
	Priority    int
	HasPriority bool
	Unit        Unit
	// DefaultTokens is the cost of a request without a token count, if the unit
	// is tokens.
	DefaultTokens int
	// Rate is the quota in units per second; 0 means no quota.
	Rate float64
	// Burst is the number of units that may be spent at once.
	Burst float64
}

// Limits bounds the requests and connections of callers.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}
