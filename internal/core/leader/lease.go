package leader

import "time"

// Lease is the content of the lease object.
type Lease struct {
	// Holder is the name of the holder's VM, empty if the lease is released.
	Holder string
	// ProcessStart identifies the holder's process on the VM by its start time.
	ProcessStart int64
	// FencingToken is the fencing token.
	FencingToken int64
	// Report is the latest usage report, nil before the first.
	Report *Report
}

// Report is the usage of one window.
type Report struct {
	Window int64
	// Counts is the number of requests by team.
	Counts map[string]int64
	// Accepted reports whether the platform has accepted the report.
	Accepted bool
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
	Revision int64
}

// StoreCall is a call to the store that the caller of a Keeper must make.
type StoreCall struct {
	// Write is the lease to write, nil for a read.
	Write *Lease
	// IfRevision is the revision that a write requires; 0 creates the object.
	IfRevision int64
}

const (
	// takeoverMargin is the delay after the term before a lease is taken over.
	takeoverMargin = 300 * time.Millisecond
	// callMargin is the minimum remainder of the term for a call to the platform.
	callMargin = 500 * time.Millisecond
	// retryInterval is the interval between two calls to a failing store.
	retryInterval = 500 * time.Millisecond
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

// New returns a Keeper that does not hold the lease.
func New(self string, start int64, term time.Duration) *Elector {
	return &Elector{self: self, start: start, term: term}
}

// Holds reports whether the node holds the lease for long enough to call the
// platform now.
func (k *Elector) Holds(now time.Time) bool {
	return k.held && now.Add(callMargin).Before(k.validUntil)
}

// Held reports whether the latest known lease is the node's own, even if it
// must be renewed before the next call to the platform.
func (k *Elector) Held() bool { return k.held }

// Claims reports whether other nodes must not try to take over the lease: it is
// held, and no write of it has been unanswered for longer than maxUnconfirmed.
func (k *Elector) Claims(now time.Time) bool {
	if !k.held {
		return false
	}
	unanswered := k.unconfirmed || k.pending != nil
	return !unanswered || now.Sub(k.pendingAt) <= maxUnconfirmed
}

// FencingToken returns the fencing token of the latest known lease.
func (k *Elector) FencingToken() int64 { return k.latest.Lease.FencingToken }

// Latest returns the latest known lease.
func (k *Elector) Latest() Lease { return k.latest.Lease }

// Unconfirmed reports whether a write had no answer or found no object, so that the
// lease must be read.
func (k *Elector) Unconfirmed() bool { return k.unconfirmed }

// Busy reports whether a call to the store is open.
func (k *Elector) Busy() bool { return k.pending != nil || k.reading }

// Acquire tries to acquire the lease. It must be called only while no other node
// is known to hold it. It returns the next step, if there is one.
func (k *Elector) Acquire(now time.Time) (StoreCall, bool) {
	if k.Busy() || now.Before(k.retryAt) {
		return StoreCall{}, false
	}
	if !k.haveLatest || k.unconfirmed || k.needsConfirmation(now) {
		return k.read(now)
	}
	if k.held || !k.available(now) {
		return StoreCall{}, false
	}
	next := k.latest.Lease
	next.Holder, next.ProcessStart, next.FencingToken = k.self, k.start, next.FencingToken+1
	return k.write(now, next)
}

// needsConfirmation reports whether the lease must be read again, as its
// revision must be confirmed just before a takeover.
func (k *Elector) needsConfirmation(now time.Time) bool {
	return !k.held && !k.heldBySelf() && now.Sub(k.firstReadAt) > k.term+takeoverMargin && now.Sub(k.retryAt) > retryInterval
}

// available reports whether the lease may be taken over: it is released, it
// belongs to an earlier process on this VM, or its term and the margin have
// passed.
func (k *Elector) available(now time.Time) bool {
	l := k.latest.Lease
	if l.Holder == "" || l.Holder == k.self && l.ProcessStart != k.start {
		return true
	}
	return now.Sub(k.firstReadAt) > k.term+takeoverMargin
}

func (k *Elector) heldBySelf() bool {
	l := k.latest.Lease
	return l.Holder == k.self && l.ProcessStart == k.start
}

func (k *Elector) read(now time.Time) (StoreCall, bool) {
	k.reading = true
	k.retryAt = now.Add(retryInterval)
	return StoreCall{}, true
}

func (k *Elector) write(now time.Time, next Lease) (StoreCall, bool) {
	k.pending = &next
	k.pendingAt = now
	k.retryAt = now.Add(retryInterval)
	return StoreCall{Write: &next, IfRevision: k.latest.Revision}, true
}

// Renew writes the held lease to extend its term, with the report if not nil.
func (k *Elector) Renew(now time.Time, report *Report) (StoreCall, bool) {
	if !k.held || k.Busy() || k.unconfirmed || now.Before(k.retryAt) {
		return StoreCall{}, false
	}
	next := k.latest.Lease
	if report != nil {
		next.Report = report
	}
	return k.write(now, next)
}

// Release releases the lease at the end of the process.
func (k *Elector) Release(now time.Time) (StoreCall, bool) {
	if !k.held || k.Busy() {
		return StoreCall{}, false
	}
	k.held = false
	next := k.latest.Lease
	next.Holder = ""
	return k.write(now, next)
}

// Read handles the result of a read.
func (k *Elector) Read(now time.Time, result Result, stored Stored) {
	k.reading = false
	switch result {
	case ResultOK:
		k.unconfirmed = false
		k.setLatest(now, stored)
	case ResultMissing:
		k.unconfirmed = false
		k.setLatest(now, Stored{})
	case ResultConflict, ResultRefused, ResultUnknown:
	}
}

// setLatest replaces the latest known lease by the one in the store.
func (k *Elector) setLatest(now time.Time, stored Stored) {
	if !k.haveLatest || stored.Revision != k.latest.Revision {
		k.firstReadAt = now
	}
	k.latest, k.haveLatest = stored, true
	if !k.heldBySelf() {
		k.held = false
		return
	}
	// The store applied an unanswered write at an unknown time, so validUntil is
	// not extended: the lease must be renewed before the platform is called.
	k.held = true
}

// Written handles the result of a write.
func (k *Elector) Written(now time.Time, result Result, stored Stored) {
	pending := k.pending
	k.pending = nil
	if pending == nil {
		return
	}
	switch result {
	case ResultOK:
		k.latest, k.haveLatest, k.firstReadAt = stored, true, now
		k.retryAt = now
		k.held = k.heldBySelf()
		k.validUntil = k.pendingAt.Add(k.term)
	case ResultConflict:
		k.setLatest(now, stored)
	case ResultMissing:
		k.unconfirmed = true
	case ResultUnknown:
		k.unconfirmed = true
	case ResultRefused:
	}
}

// Accepted records that the platform accepted the report of a window. The record
// reaches the store with the next write of the lease.
func (k *Elector) Accepted(window int64) {
	r := k.latest.Lease.Report
	if r == nil || r.Window != window {
		return
	}
	done := *r
	done.Accepted = true
	k.latest.Lease.Report = &done
}
