// Package gateway runs a node that serves callers of a platform: it listens,
// follows the platform's store, exchanges messages with its peers, relays
// answers and executes the effects that the reducer of internal/core/gateway
// returns.
//
// # Concurrency
//
// The goroutine that has an event passes it to the reducer under a lock, one
// event at a time, and executes the effects in their order. An effect for a
// caller's connection is queued for the connection's handler. A call to the
// platform or to an engine runs in the background, and its result returns as an
// event. Other effects, such as a message to a peer or a log line, are executed
// immediately. The handlers relay the bytes of answers; the reducer never sees
// them.
//
// # Ends of answers
//
// An answer whose only mark of its end is the close of the connection may have been
// cut. It reaches the caller without a mark as well, and until it has ended here, a
// close of the caller's connection is a reset. A stream that ends inside an event is
// broken in any framing. docs/ANSWER-ENDS.md has all cases.
//
// # Usage
//
//	r, err := gateway.New(gateway.Config{Settings: s, Protocol: protocol, ...})
//	err = r.Run(ctx)
package gateway
