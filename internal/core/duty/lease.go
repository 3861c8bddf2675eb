package duty

import "time"

// Lease is the content of the lease object.
type Lease struct {
	// Holder is the VM's name, Start the holding process; empty if released.
	Holder string
	Start  int64
	Token  int64
	// Report is the latest usage report, nil before the first.
	Report *Report
}

// Report is the usage of one window.
type Report struct {
	Window int64
	Counts map[string]int64
	// Sent says that the platform has accepted the report.
	Sent bool
}

// Result is the outcome of a call to the store.
type Result string

// Results of reads and writes of the lease.
const (
	// ResultOK: the call was done.
	ResultOK Result = "ok"
	// ResultConflict: the object has another revision; it is returned.
	ResultConflict Result = "conflict"
	// ResultMissing: there is no object.
	ResultMissing Result = "missing"
	// ResultRefused: the store did nothing.
	ResultRefused Result = "refused"
	// ResultUnknown: no answer; a write may yet be done.
	ResultUnknown Result = "unknown"
)

// Stored is the lease with the revision that it has in the store.
type Stored struct {
	Lease    Lease
	Revision int64
}

// Step is a call to the store that the keeper wants made.
type Step struct {
	// Write is nil for a read.
	Write *Lease
	// IfRevision is the revision that a write requires; 0 creates the object.
	IfRevision int64
}

const (
	// takeoverMargin is waited beyond the term before a lease is taken over.
	takeoverMargin = 300 * time.Millisecond
	// actMargin must be left of the term for a call to the platform.
	actMargin = 500 * time.Millisecond
	// retryInterval is the time between two calls to a failing store.
	retryInterval = 500 * time.Millisecond
	// doubtMax is how long a holder that writes without an answer still claims
	// the lease; an answer of a store in order takes milliseconds.
	doubtMax = time.Second
)

// Keeper takes, keeps and gives up the lease for one process.
type Keeper struct {
	self  string
	start int64
	term  time.Duration

	// known is the lease as read last; seen is when its revision was first read.
	known     Stored
	haveKnown bool
	seen      time.Time

	held       bool
	validUntil time.Time

	// pending is the write under way; it started at pendingAt.
	pending   *Lease
	pendingAt time.Time
	reading   bool
	// doubt says that a write had no answer, so that the lease must be read.
	doubt   bool
	retryAt time.Time
}

// New returns a keeper that holds nothing.
func New(self string, start int64, term time.Duration) *Keeper {
	return &Keeper{self: self, start: start, term: term}
}

// Holds reports whether the node may call the platform now.
func (k *Keeper) Holds(now time.Time) bool {
	return k.held && now.Add(actMargin).Before(k.validUntil)
}

// Held reports whether the node believes that the lease is its own, even if
// it has to be renewed before the next call.
func (k *Keeper) Held() bool { return k.held }

// Claims reports whether other nodes are to leave the lease to this one: it is
// held, and no write of it has been without an answer for doubtMax.
func (k *Keeper) Claims(now time.Time) bool {
	if !k.held {
		return false
	}
	open := k.doubt || k.pending != nil
	return !open || now.Sub(k.pendingAt) <= doubtMax
}

// Token returns the token of the lease as known last.
func (k *Keeper) Token() int64 { return k.known.Lease.Token }

// Known returns the lease as known last.
func (k *Keeper) Known() Lease { return k.known.Lease }

// InDoubt reports whether a write had no answer and the lease must be read.
func (k *Keeper) InDoubt() bool { return k.doubt }

// Busy reports whether a call to the store is under way.
func (k *Keeper) Busy() bool { return k.pending != nil || k.reading }

// Seek tries to get the lease and is called while no other node is known to
// hold it. It returns at most one step.
func (k *Keeper) Seek(now time.Time) (Step, bool) {
	if k.Busy() || now.Before(k.retryAt) {
		return Step{}, false
	}
	if !k.haveKnown || k.doubt || k.staleRead(now) {
		return k.read(now)
	}
	if k.held || !k.free(now) {
		return Step{}, false
	}
	next := k.known.Lease
	next.Holder, next.Start, next.Token = k.self, k.start, next.Token+1
	return k.write(now, next)
}

// staleRead reports whether the lease is to be looked at again: just before
// it would be taken over, its revision must have been confirmed.
func (k *Keeper) staleRead(now time.Time) bool {
	return !k.held && !k.mine() && now.Sub(k.seen) > k.term+takeoverMargin && now.Sub(k.retryAt) > retryInterval
}

// free reports whether the lease may be taken over.
func (k *Keeper) free(now time.Time) bool {
	l := k.known.Lease
	if l.Holder == "" || l.Holder == k.self && l.Start != k.start {
		return true
	}
	return now.Sub(k.seen) > k.term+takeoverMargin
}

func (k *Keeper) mine() bool {
	l := k.known.Lease
	return l.Holder == k.self && l.Start == k.start
}

func (k *Keeper) read(now time.Time) (Step, bool) {
	k.reading = true
	k.retryAt = now.Add(retryInterval)
	return Step{}, true
}

func (k *Keeper) write(now time.Time, next Lease) (Step, bool) {
	k.pending = &next
	k.pendingAt = now
	k.retryAt = now.Add(retryInterval)
	return Step{Write: &next, IfRevision: k.known.Revision}, true
}

// Renew writes the held lease again, with the report if it is not nil.
func (k *Keeper) Renew(now time.Time, report *Report) (Step, bool) {
	if !k.held || k.Busy() || k.doubt || now.Before(k.retryAt) {
		return Step{}, false
	}
	next := k.known.Lease
	if report != nil {
		next.Report = report
	}
	return k.write(now, next)
}

// Release gives the lease up at the end of the process.
func (k *Keeper) Release(now time.Time) (Step, bool) {
	if !k.held || k.Busy() {
		return Step{}, false
	}
	k.held = false
	next := k.known.Lease
	next.Holder = ""
	return k.write(now, next)
}

// Read takes the result of a read.
func (k *Keeper) Read(now time.Time, result Result, stored Stored) {
	k.reading = false
	switch result {
	case ResultOK:
		k.doubt = false
		k.learn(now, stored)
	case ResultMissing:
		k.doubt = false
		k.learn(now, Stored{})
	case ResultConflict, ResultRefused, ResultUnknown:
	}
}

// learn takes in the lease as the store holds it.
func (k *Keeper) learn(now time.Time, stored Stored) {
	if !k.haveKnown || stored.Revision != k.known.Revision {
		k.seen = now
	}
	k.known, k.haveKnown = stored, true
	if !k.mine() {
		k.held = false
		return
	}
	// An unanswered write was done at some time; the lease is renewed before
	// it is acted on.
	k.held = true
}

// Written takes the result of a write.
func (k *Keeper) Written(now time.Time, result Result, stored Stored) {
	pending := k.pending
	k.pending = nil
	if pending == nil {
		return
	}
	switch result {
	case ResultOK:
		k.known, k.haveKnown, k.seen = stored, true, now
		k.retryAt = now
		k.held = k.mine()
		k.validUntil = k.pendingAt.Add(k.term)
	case ResultConflict:
		k.learn(now, stored)
	case ResultMissing:
		k.doubt = true
	case ResultUnknown:
		k.doubt = true
	case ResultRefused:
	}
}

// Sent notes that the platform accepted the report of a window. The store
// learns it with the next write.
func (k *Keeper) Sent(window int64) {
	r := k.known.Lease.Report
	if r == nil || r.Window != window {
		return
	}
	done := *r
	done.Sent = true
	k.known.Lease.Report = &done
}
