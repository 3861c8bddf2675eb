// Package platform keeps the ledger of non-idempotent requests in the
// platform's object API.
//
// # Ledger
//
// A node claims a non-idempotent request in the ledger before it dispatches
// the request. The ledger consists of shards. Each shard is one object that
// holds the entries of the retention period. Entries are written by conditional
// update only: if two nodes claim the same key, one claim is granted and the
// other node gets the entry of the first. Operations that arrive while a
// shard's object is being written are batched into the next write (group
// commit).
//
// If the response to a write is lost, the ledger reads the object to determine
// whether the write was applied. A claim names its holder and submission, so a
// node recognises its own claims.
//
// # Usage
//
// Ledger does no I/O. It returns the calls to the object API. Its user executes
// them and passes their results back:
//
//	l := platform.New(platform.DefaultLimits())
//	l.Submit(now, platform.Op{ID: 1, Entry: entry})
//	for _, call := range l.Tick(now) { ... }
//	l.ReadDone(now, call.ID, platform.Object{...}, nil)
//	for _, r := range l.Results() { ... }
package platform
