// Package memory decides how much memory callers' data may occupy.
//
// A node can't choose its callers. Each request may be as large as the configuration allows, and
// callers may leave any number of them unfinished, so the sum is bounded in one place: heads of
// requests, bodies that are being read or wait for an answer, and answers that are held until the
// caller has read them. What doesn't fit is refused at once.
//
// Small parts may use the whole budget, large ones three quarters of it, so that ordinary requests
// pass while large ones are refused.
//
// # Usage
//
//	budget := memory.New(40_000_000)
//	lease := budget.Lease(memory.Body)
//	defer lease.Release()
//	if !lease.Grow(length) {
//		// Refuse the request.
//	}
package memory
