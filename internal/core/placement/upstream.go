package placement

import "time"

// State is the state that an upstream reports for itself.
type State string

// States of upstreams.
const (
	StateReady    State = "ready"
	StateDraining State = "draining"
)

// Upstream is an entry of the platform's list of upstreams.
type Upstream struct {
	ID      string `cbor:"1,keyasint"`
	Service string `cbor:"2,keyasint"`
	Address string `cbor:"3,keyasint"`
	Zone    string `cbor:"4,keyasint"`
	Version string `cbor:"5,keyasint"`
	// Slots is the number of requests that the upstream can run concurrently, 0
	// if it is not limited.
	Slots int   `cbor:"6,keyasint"`
	State State `cbor:"7,keyasint"`
	// Reclaimable upstreams may be reclaimed by the platform at short notice.
	Reclaimable bool `cbor:"8,keyasint"`
	// StartedAt is when the process started; a process restarted under the same
	// ID has none of the former one's state.
	StartedAt time.Time `cbor:"9,keyasint"`
	// StopsAt is when a draining upstream stops, zero if unknown.
	StopsAt time.Time `cbor:"10,keyasint"`
	// ColdLeft is how much longer the upstream stays cold, from the time at which its entry was
	// read. Revision is the store's revision of that entry, 0 if unknown.
	ColdLeft time.Duration `cbor:"11,keyasint,omitempty"`
	Revision int64         `cbor:"12,keyasint,omitempty"`
}

// Part is a part of a prompt that requests may share.
type Part struct {
	ID     string
	Tokens int
}

// Prompt describes the work of a request for an engine. It is zero for plain
// services.
type Prompt struct {
	Model string
	// InputTokens is the number of prompt tokens, MaxOutputTokens the maximum
	// number of generated ones.
	InputTokens, MaxOutputTokens int
	// OutputEstimate is the caller's estimate of the number of generated tokens,
	// 0 if unknown.
	OutputEstimate int
	// Parts are in prompt order. The last one belongs to the request or its
	// session alone.
	Parts []Part
}

// Work is the load that one request places on an upstream.
type Work struct {
	// Prefill is the number of prompt tokens not yet prefilled.
	Prefill int
	// Memory is the number of tokens reserved for the request in the KV cache.
	Memory int
}

// Outcome classifies the result of an attempt for the upstream's health.
type Outcome string

// Outcomes of attempts.
const (
	// Succeeded: the upstream answered.
	Succeeded Outcome = "succeeded"
	// Errored: the upstream answered with an error of its own.
	Errored Outcome = "erred"
	// ConnectionFailed: the connection failed or broke off.
	ConnectionFailed Outcome = "broke"
	// Full: the upstream refused the request for lack of capacity.
	Full Outcome = "full"
	// Neutral: the attempt does not affect the upstream's health.
	Neutral Outcome = "neutral"
)
