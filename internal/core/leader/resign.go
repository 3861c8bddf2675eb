package leader

import (
	"time"

	"monsoonlanding/internal/core/store"
)

// Resign gives up the held lease without a write, for a holder that the store does not serve
// while it serves others. From then on this process makes no call under the token, whatever
// becomes of a write without an answer. It reports whether the lease was held.
//
// The process doesn't acquire the lease again within a term, so that its calls don't
// alternate with those of a successor.
func (e *Elector) Resign(now time.Time) bool {
	if !e.held {
		return false
	}
	e.held, e.unconfirmed = false, false
	e.resignedHere = e.latest.Lease.FencingToken
	e.NoteResigned(e.resignedHere)
	e.barredUntil = now.Add(e.term + takeoverMargin)
	return true
}

// Resigned returns the latest fencing token that this process has resigned, 0 if it has none.
func (e *Elector) Resigned() int64 { return e.resignedHere }

// IsResigned reports whether the holder of the latest known lease has resigned it.
func (e *Elector) IsResigned() bool {
	return e.resigned > 0 && e.latest.Lease.FencingToken <= e.resigned
}

// NoteResigned notes a fencing token that its holder has resigned. The lease with that token
// may be taken over before its term has passed.
func (e *Elector) NoteResigned(token int64) { e.resigned = max(e.resigned, token) }

// NoteRevision notes the revision of the lease that its holder reports. The holder wrote it
// before now, so a takeover need not wait for a whole term after reading the same revision.
func (e *Elector) NoteRevision(now time.Time, revision store.Revision) {
	if e.reportedRevision.Before(revision) {
		e.reportedRevision, e.reportedAt = revision, now
	}
}
