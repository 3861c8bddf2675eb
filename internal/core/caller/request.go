package caller

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Request is one submission of a request by a caller.
type Request struct {
	// Key is the team's name and the caller's idempotency key, joined by "/".
	Key string `cbor:"1,keyasint"`
	// Instance identifies this submission; a retry under the same key gets a
	// new instance.
	Instance string `cbor:"2,keyasint"`
	Team     string `cbor:"3,keyasint"`
	Service  string `cbor:"4,keyasint"`
	// Body is the caller's JSON document, unchanged.
	Body []byte `cbor:"5,keyasint"`
	// NonIdempotent marks a request that may run at most once.
	NonIdempotent bool `cbor:"6,keyasint,omitempty"`
	// Priority orders requests within a team; higher values are served first.
	Priority int `cbor:"7,keyasint,omitempty"`
	// Deadline is the time after which the caller no longer wants the answer.
	Deadline time.Time `cbor:"8,keyasint"`
	Arrived  time.Time `cbor:"9,keyasint"`
}

// ContentHash returns a hash of the service and the body, which identifies the
// requested work regardless of the key.
func (r Request) ContentHash() uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(r.Service)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(r.Body)
	return d.Sum64()
}

// SameContent reports whether both submissions request the same work.
func (r Request) SameContent(o Request) bool {
	return r.NonIdempotent == o.NonIdempotent && r.ContentHash() == o.ContentHash()
}

// Size returns the approximate memory use of the request, in bytes.
func (r Request) Size() int {
	return len(r.Key) + len(r.Instance) + len(r.Team) + len(r.Service) + len(r.Body) + requestOverheadBytes
}

// requestOverheadBytes is the approximate memory of a request's fixed-size
// fields and map entries.
const requestOverheadBytes = 256
