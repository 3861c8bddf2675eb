// Package node runs a node: it connects the reducer of internal/core/node to
// the network, the clock and the platform.
//
// One goroutine reduces the events and executes the effects that the reducer
// returns. Calls to the platform and to upstreams run in goroutines of their own,
// which submit the results as events.
//
// # Usage
//
//	r, err := node.New(node.Config{Settings: s, Clock: clock.System{}, Log: log})
//	err = r.Run(ctx) // returns when ctx ends or a graceful shutdown is complete
//	r.Stop()         // starts a graceful shutdown
package node
