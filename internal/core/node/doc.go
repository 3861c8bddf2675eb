// Package node is the reducer that makes all of a node's decisions.
//
// Reduce takes an event and the current time and returns effects. It does no
// I/O, starts no goroutine and reads no clock; its random numbers come from a
// seed. The same events produce the same effects, so a recorded run can be
// replayed.
//
// # Request life cycle
//
// A submission is admitted, copied to backups in other availability zones and
// then accepted. A non-idempotent request is claimed in the ledger next. The
// request then waits in its service's queue and is dispatched to an upstream.
// Its answer is published to its followers: connected callers, and other nodes
// that have such callers. The node that performs these steps is the request's
// holder.
//
//	securing -> [claiming] -> queued -> running -> done
//	                            ^  retrying |
//	any -> releasing -> failed        any -> handing -> backup
//
// A backup takes over when the holder is dead. Before an announced reclaim the
// holder hands its requests over. Both start a new epoch; of two holders the
// one with the higher epoch remains the holder.
//
// # Refusals
//
// A refusal with outcome not_run is sent only when no attempt may have run
// the request and every node that may hold a copy has confirmed that it
// dropped the copy. Without all confirmations the outcome is unknown.
//
// # Usage
//
//	n := node.New(node.Config{Self: self, Seed: 1, ...})
//	for _, effect := range n.Reduce(now, node.CallerRequest{Conn: 1, Request: r}) {
//		execute(effect)
//	}
//
// Reduce needs a Tick at the time that NextTick returns, to run its timers.
package node
