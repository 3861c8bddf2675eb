package leader

import (
	"time"

	"monsoonlanding/internal/core/store"
)

// Lease is the content of the lease object.
type Lease struct {
	// Holder is the name of the holder's VM, empty if the lease is released.
	Holder string
	// ProcessStart identifies the holder's process on the VM by its start time.
	ProcessStart int64
	// FencingToken increases with each new holder.
	FencingToken int64
	// Generation is the store's generation in which the lease was written. A lease of an
	// earlier one is part of the copy from which the store was restored.
	Generation int64
	// Report is the latest usage report, nil before the first.
	Report *Report
}

// Report is the usage of one window.
type Report struct {
	// Window is the number of the window, as returned by Counter.Window.
	Window int64
	// Counts is the number of requests by team.
	Counts map[string]int64
	// Accepted reports whether the platform has accepted the report.
	Accepted bool
	// Generation is the store's generation in which the report was first written. The store
	// may have lost later ones of an earlier generation.
	Generation int64
}

// Result is the outcome of a call to the store.
type Result string

// Results of reads and writes of the lease.
const (
	// ResultOK: the call succeeded.
	ResultOK Result = "ok"
	// ResultConflict: the object has another revision, which is returned.
	ResultConflict Result = "conflict"
	// ResultMissing: the object does not exist.
	ResultMissing Result = "missing"
	// ResultRefused: the store refused the call and changed nothing.
	ResultRefused Result = "refused"
	// ResultUnknown: no answer; the store may still apply a write.
	ResultUnknown Result = "unknown"
)

// Stored is a lease with its revision in the store.
type Stored struct {
	Lease    Lease
	Revision store.Revision
}

// StoreCall is a call to the store that the user of an Elector must make.
type StoreCall struct {
	// Write is the lease to write, nil for a read.
	Write *Lease
	// IfRevision is the revision that a write requires; the zero value creates the object.
	IfRevision store.Revision
}

const (
	// takeoverMargin is the delay after the term before a lease is taken over.
	takeoverMargin = 300 * time.Millisecond
	// callMargin is the minimum remainder of the term for a call to the platform.
	callMargin = 500 * time.Millisecond
	// retryInterval is the interval between two calls to a failing store.
	retryInterval = 500 * time.Millisecond
	// tokensPerGeneration is the number of fencing tokens of a generation of the store. The
	// tokens of a generation are above those of earlier ones, of which the store may have
	// lost the latest.
	tokensPerGeneration = 1 << 20
	// maxUnconfirmed bounds the time for which a holder with an unanswered write
	// still claims the lease; a healthy store answers within milliseconds.
	maxUnconfirmed = time.Second
)

// Elector acquires, renews and releases the lease for one process.
type Elector struct {
	self  string
	start int64
	term  time.Duration

	// latest is the latest known lease, read or written, if haveLatest is set;
	// firstReadAt is when its revision was first received.
	latest      Stored
	haveLatest  bool
	firstReadAt time.Time
	// report is the latest usage report that this process knows of. The store may have lost
	// it.
	report *Report
	// generation is the latest generation of the store, known since generationAt.
	generation   int64
	generationAt time.Time
	// knowsReports is set if this process knew all reports and held the lease until the store was
	// restored: no report of an earlier generation is unknown to it.
	knowsReports bool
	// mayReclaim is set if the store was restored while this process held the lease: until a
	// lease of the new generation is written, no other process can hold one.
	mayReclaim bool

	// resigned is the latest fencing token that its holder, this process or another, has
	// resigned; resignedHere is the latest one that this process has.
	resigned, resignedHere int64
	// barredUntil is when this process may acquire the lease again after it has resigned.
	barredUntil time.Time
	// reportedRevision is the latest revision that the holder has reported, since reportedAt.
	reportedRevision store.Revision
	reportedAt       time.Time

	// held reports whether this process owns the latest known lease and is not
	// releasing it. validUntil is the end of the term that began with the latest
	// successful write.
	held       bool
	validUntil time.Time

	// pending is the open write, which started at pendingAt.
	pending   *Lease
	pendingAt time.Time
	reading   bool
	// unconfirmed reports whether a write had no answer or found no object, so
	// that the lease must be read.
	unconfirmed bool
	retryAt     time.Time
}

// New returns an Elector that does not hold the lease.
func New(self string, start int64, term time.Duration) *Elector {
	return &Elector{self: self, start: start, term: term}
}

// MayCallPlatform reports whether the node holds the lease for long enough to
// call the platform now.
func (e *Elector) MayCallPlatform(now time.Time) bool {
	return e.held && now.Add(callMargin).Before(e.validUntil)
}

// Held reports whether the node owns the latest known lease and is not
// releasing it, even if it must be renewed before the next call to the
// platform.
func (e *Elector) Held() bool { return e.held }

// Claims reports whether other nodes must not try to take over the lease: it is
// held, and no write of it has been unanswered for longer than maxUnconfirmed.
func (e *Elector) Claims(now time.Time) bool {
	if !e.held {
		return false
	}
	unanswered := e.unconfirmed || e.pending != nil
	return !unanswered || now.Sub(e.pendingAt) <= maxUnconfirmed
}

// Revision returns the revision of the latest known lease.
func (e *Elector) Revision() store.Revision { return e.latest.Revision }

// FencingToken returns the fencing token of the latest known lease.
func (e *Elector) FencingToken() int64 { return e.latest.Lease.FencingToken }

// Latest returns the latest known lease.
func (e *Elector) Latest() Lease { return e.latest.Lease }

// Unconfirmed reports whether a write had no answer or found no object, so that
// the lease must be read.
func (e *Elector) Unconfirmed() bool { return e.unconfirmed }

// Busy reports whether a call to the store is open.
func (e *Elector) Busy() bool { return e.pending != nil || e.reading }

// Acquire tries to acquire the lease. It must be called only while no other node
// is known to hold it. It returns the next call to the store, if there is one.
func (e *Elector) Acquire(now time.Time) (StoreCall, bool) {
	if e.Busy() || now.Before(e.retryAt) || now.Before(e.barredUntil) {
		return StoreCall{}, false
	}
	if !e.haveLatest || e.unconfirmed || e.needsConfirmation(now) {
		return e.read(now)
	}
	if e.held || !e.available(now) {
		return StoreCall{}, false
	}
	next := e.latest.Lease
	next.Holder, next.ProcessStart = e.self, e.start
	next.FencingToken = max(next.FencingToken, e.generation*tokensPerGeneration) + 1
	return e.write(now, next)
}

// needsConfirmation reports whether the lease must be read again, because its
// revision must be confirmed just before a takeover.
func (e *Elector) needsConfirmation(now time.Time) bool {
	return !e.held && !e.heldBySelf() && now.Sub(e.firstReadAt) > e.term+takeoverMargin && now.Sub(e.retryAt) > retryInterval
}

// available reports whether the lease may be taken over: it is released or
// resigned, it belongs to an earlier process on this VM, or its term and the
// margin have passed. What a lease of an earlier generation says may have
// changed since.
func (e *Elector) available(now time.Time) bool {
	l := e.latest.Lease
	if l.Generation != e.generation {
		return e.mayReclaim || now.Sub(e.firstReadAt) > e.term+takeoverMargin
	}
	if l.Holder == "" || l.Holder == e.self && l.ProcessStart != e.start {
		return true
	}
	if l.FencingToken <= e.resigned {
		return true
	}
	return now.Sub(e.firstReadAt) > e.term+takeoverMargin
}

// heldBySelf reports whether the latest known lease belongs to this process and is not
// part of a copy.
func (e *Elector) heldBySelf() bool {
	l := e.latest.Lease
	return l.Holder == e.self && l.ProcessStart == e.start && l.Generation == e.generation
}

func (e *Elector) read(now time.Time) (StoreCall, bool) {
	e.reading = true
	e.retryAt = now.Add(retryInterval)
	return StoreCall{}, true
}

func (e *Elector) write(now time.Time, next Lease) (StoreCall, bool) {
	next.Generation = e.generation
	next.Report = laterReport(next.Report, e.report)
	e.pending = &next
	e.pendingAt = now
	e.retryAt = now.Add(retryInterval)
	return StoreCall{Write: &next, IfRevision: e.latest.Revision}, true
}

// Renew writes the held lease to extend its term, with the report if not nil.
func (e *Elector) Renew(now time.Time, report *Report) (StoreCall, bool) {
	if !e.held || e.Busy() || e.unconfirmed || now.Before(e.retryAt) {
		return StoreCall{}, false
	}
	next := e.latest.Lease
	if report != nil {
		written := *report
		written.Generation = e.generation
		next.Report = &written
	}
	return e.write(now, next)
}

// Release releases the lease at the end of the process.
func (e *Elector) Release(now time.Time) (StoreCall, bool) {
	if !e.held || e.Busy() {
		return StoreCall{}, false
	}
	e.held = false
	next := e.latest.Lease
	next.Holder = ""
	return e.write(now, next)
}

// HandleGeneration handles a rise of the store's generation. The lease may be lost: a
// holder stops acting on it, and reads it before it writes a lease of the new generation.
func (e *Elector) HandleGeneration(now time.Time, generation int64) {
	if generation <= e.generation {
		return
	}
	e.mayReclaim = e.held && now.Before(e.validUntil)
	e.knowsReports = e.mayReclaim && e.ReportsLostUntil().IsZero()
	e.generation, e.generationAt = generation, now
	e.unconfirmed = e.held
	e.held, e.haveLatest = false, false
	e.retryAt = now
}

// LatestReport returns the latest usage report that this process knows of, nil if there is
// none.
func (e *Elector) LatestReport() *Report { return e.report }

// ReportsLostUntil returns the time before which usage reports may have been written that the store
// has lost and this process does not know of. It is zero if there are none.
func (e *Elector) ReportsLostUntil() time.Time {
	latest := e.latest.Lease.Report
	if e.knowsReports || latest != nil && latest.Generation == e.generation {
		return time.Time{}
	}
	return e.generationAt
}

// NoteReport notes a usage report that another holder of the lease has written.
func (e *Elector) NoteReport(r Report) {
	e.report = laterReport(e.report, &r)
	e.latest.Lease.Report = laterReport(e.latest.Lease.Report, e.report)
}

// laterReport returns the report of the later window, or of equal ones the one that is
// accepted.
func laterReport(a, b *Report) *Report {
	switch {
	case a == nil:
		return b
	case b == nil || b.Window < a.Window || b.Window == a.Window && !b.Accepted:
		return a
	default:
		return b
	}
}

// HandleRead handles the result of a read.
func (e *Elector) HandleRead(now time.Time, result Result, stored Stored) {
	e.reading = false
	if result == ResultOK && stored.Revision.Generation < e.generation {
		// The store was restored after this read.
		return
	}
	switch result {
	case ResultOK:
		e.unconfirmed = false
		// The write may follow at once; needsConfirmation counts from this read.
		e.retryAt = now
		e.setLatest(now, stored)
	case ResultMissing:
		e.unconfirmed = false
		e.setLatest(now, Stored{})
	case ResultConflict, ResultRefused, ResultUnknown:
	}
}

// setLatest replaces the latest known lease by the one in the store.
func (e *Elector) setLatest(now time.Time, stored Stored) {
	e.report = laterReport(stored.Lease.Report, e.report)
	stored.Lease.Report = e.report
	e.mayReclaim = e.mayReclaim && stored.Lease.Generation < e.generation
	if !e.haveLatest || stored.Revision != e.latest.Revision {
		e.firstReadAt = now
		if !e.reportedRevision.IsZero() && stored.Revision == e.reportedRevision {
			e.firstReadAt = e.reportedAt
		}
	}
	e.latest, e.haveLatest = stored, true
	if !e.heldBySelf() || stored.Lease.FencingToken <= e.resignedHere {
		e.held = false
		return
	}
	// The store applied an unanswered write at an unknown time, so validUntil is
	// not extended: the lease must be renewed before the platform is called.
	e.held = true
}

// HandleWritten handles the result of a write.
func (e *Elector) HandleWritten(now time.Time, result Result, stored Stored) {
	pending := e.pending
	e.pending = nil
	if pending == nil {
		return
	}
	if stored.Revision.Generation < e.generation && (result == ResultOK || result == ResultConflict) {
		// The store was restored after this write.
		result = ResultUnknown
	}
	switch result {
	case ResultOK:
		e.setLatest(now, stored)
		e.firstReadAt, e.retryAt = now, now
		e.validUntil = e.pendingAt.Add(e.term)
	case ResultConflict:
		e.setLatest(now, stored)
	case ResultMissing:
		e.unconfirmed = true
	case ResultUnknown:
		e.unconfirmed = true
	case ResultRefused:
	}
}

// RecordAccepted records that the platform accepted the report of a window. The record
// reaches the store with the next write of the lease.
func (e *Elector) RecordAccepted(window int64) {
	r := e.latest.Lease.Report
	if r == nil || r.Window != window {
		return
	}
	done := *r
	done.Accepted = true
	e.latest.Lease.Report, e.report = &done, &done
}
