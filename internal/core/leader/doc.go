// Package leader elects the node that makes the platform calls limited to one
// node at a time, and counts the usage of this node.
//
// # Lease
//
// The lease is one object in the platform's store. Every write of it is
// conditional on the latest revision read. The holder calls the platform only
// within the lease term, which begins at the start of its latest successful
// write. Another node takes over the lease once it has observed the same
// revision for the term and a margin, or at once if the holder has released the
// lease or was an earlier process on the same VM. A holder that the store does
// not serve resigns by a message to its peers instead. The fencing token
// increases with each new holder. Times must come from a clock that also advances while
// the VM is suspended.
//
// # Usage
//
// The counts of a window are written into the lease before they are reported,
// so that the next holder sends the same report if it has to retry it. A store that is restored
// from a copy may lose a report together with all processes that know of it, so a holder that
// has not held the lease until then reports no window that had ended before.
//
//	e := leader.New("vm-1", start, term)
//	call, ok := e.Acquire(now)
//	e.HandleWritten(now, result, stored) // if call is a write
//	if e.MayCallPlatform(now) { ... }
package leader
