package platform

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"monsoonlanding/internal/core/peer"
)

// Limits bounds the ledger's use of the object API.
type Limits struct {
	// Shards is the number of objects that the ledger is divided into.
	Shards int
	// WriteInterval is the minimum time between two writes of a shard.
	WriteInterval time.Duration
	// BatchDelay is the maximum time that a result or release waits to be
	// written in one batch with a claim.
	BatchDelay time.Duration
	// Retention is the retention period of an entry.
	Retention time.Duration
	// ObjectBytes is the maximum size of a shard's object.
	ObjectBytes int
	// Backoff is the initial back-off after a failed call. It doubles with each
	// consecutive failure, up to MaxBackoff.
	Backoff    time.Duration
	MaxBackoff time.Duration
}

// DefaultLimits returns the limits that nodes use. They suit the number of nodes
// at the time of writing.
func DefaultLimits() Limits {
	return Limits{
		Shards:        8,
		WriteInterval: 40 * time.Millisecond,
		BatchDelay:    400 * time.Millisecond,
		Retention:     10 * time.Minute,
		ObjectBytes:   900 << 10,
		Backoff:       50 * time.Millisecond,
		MaxBackoff:    time.Second,
	}
}

// maxResultBytes is the maximum size of an answer stored in an entry; longer
// answers are held by the nodes only.
const maxResultBytes = 512

// WriteOutcome is the result of a conditional update.
type WriteOutcome string

// Outcomes of a conditional update.
const (
	WriteOK WriteOutcome = "ok"
	// WriteConflict means that the object has a different revision.
	WriteConflict WriteOutcome = "conflict"
	// WriteUnknown means that the response was lost, so that the update may or
	// may not have been applied.
	WriteUnknown WriteOutcome = "unknown"
	// WriteUnavailable means that the update was not applied.
	WriteUnavailable WriteOutcome = "unavailable"
)

// Object is the content of an object; Revision 0 means that the object does
// not exist.
type Object struct {
	Revision uint64
	Value    []byte
}

// Op is an operation on the ledger, selected by the state of its entry:
// EntryClaimed claims the key, EntryDone records the result of a claim and
// EntryReleased releases a claim.
type Op struct {
	ID    uint64
	Entry peer.Entry
	// Supersedes identifies a claim whose holder has given it up; the operation
	// may replace that claim.
	Supersedes peer.ClaimRef

	submittedAt time.Time
}

// Result is the outcome of an Op. Entry is the key's entry in the ledger after
// the operation.
type Result struct {
	Op      uint64
	Granted bool
	Entry   peer.Entry
	// Full is set when the shard's object has no space left.
	Full bool
}

// Call is a call to the object API.
type Call struct {
	// ID identifies the call in ReadDone and WriteDone.
	ID   uint64
	Path string
	// Write is set for a conditional update and unset for a read.
	Write      bool
	IfRevision uint64
	Value      []byte
}

type shard struct {
	index    int
	entries  map[uint64]peer.Entry
	revision uint64
	loaded   bool
	// confirmedAt is the start of the last successful call; entries reflects the
	// object at this time or later.
	confirmedAt time.Time
	pending     []Op
	// call is the ID of the call in flight, or 0.
	call          uint64
	callStartedAt time.Time
	// inFlight holds the operations of the write in flight and staged the entries
	// that it writes. results holds the operations' results, which apply only if
	// the write succeeds.
	staged   map[uint64]peer.Entry
	inFlight []Op
	results  []Result
	// notBefore is the earliest time of the next call.
	notBefore time.Time
	// failures is the number of consecutive failed calls.
	failures int
}

// Ledger batches ledger operations by shard. It is not safe for concurrent use.
type Ledger struct {
	limits   Limits
	shards   []*shard
	nextCall uint64
	results  []Result
	reads    uint64
	writes   uint64
}

// New returns a ledger that reads each shard when an operation first needs it.
func New(limits Limits) *Ledger {
	l := &Ledger{limits: limits}
	for i := range limits.Shards {
		l.shards = append(l.shards, &shard{index: i})
	}
	return l
}

// KeyHash returns the ledger's hash of a request key.
func KeyHash(key string) uint64 { return xxhash.Sum64String(key) }

// ShardPath returns the object path of the shard that holds keyHash.
func (l *Ledger) ShardPath(keyHash uint64) string {
	return shardPath(int(keyHash % uint64(l.limits.Shards)))
}

func shardPath(i int) string { return fmt.Sprintf("ledger/%03d", i) }

// CallCounts returns the number of reads and writes requested so far.
func (l *Ledger) CallCounts() (reads, writes uint64) { return l.reads, l.writes }

// Submit queues an operation.
func (l *Ledger) Submit(now time.Time, op Op) {
	op.submittedAt = now
	op.Entry.UnixSeconds = now.Unix()
	if len(op.Entry.Result) > maxResultBytes {
		op.Entry.Result = nil
	}
	s := l.shards[op.Entry.KeyHash%uint64(l.limits.Shards)]
	s.pending = append(s.pending, op)
}

// Withdraw removes a queued operation. It has no effect on an operation that is
// being written.
func (l *Ledger) Withdraw(id uint64) {
	for _, s := range l.shards {
		s.pending = slices.DeleteFunc(s.pending, func(op Op) bool { return op.ID == id })
	}
}

// Results returns the results of the operations completed since the last call
// of Results.
func (l *Ledger) Results() []Result {
	r := l.results
	l.results = nil
	return r
}

// Tick returns the calls to make at now. A shard has at most one call in
// flight.
func (l *Ledger) Tick(now time.Time) []Call {
	var calls []Call
	for _, s := range l.shards {
		if s.call != 0 || now.Before(s.notBefore) || !s.due(now, l.limits.BatchDelay) {
			continue
		}
		if c, ok := l.startCall(now, s); ok {
			calls = append(calls, c)
		}
	}
	return calls
}

// HasQueued reports whether an operation is queued for a shard that has no call
// in flight.
func (l *Ledger) HasQueued() bool {
	for _, s := range l.shards {
		if s.call == 0 && len(s.pending) > 0 {
			return true
		}
	}
	return false
}

// due reports whether a queued operation must be handled now: a claim at once,
// a result or release after batchDelay.
func (s *shard) due(now time.Time, batchDelay time.Duration) bool {
	for _, op := range s.pending {
		if op.Entry.State == peer.EntryClaimed || now.Sub(op.submittedAt) >= batchDelay {
			return true
		}
	}
	return false
}

func (l *Ledger) startCall(now time.Time, s *shard) (Call, bool) {
	if !s.loaded {
		return l.read(now, s), true
	}
	staged, results, stale := l.apply(now, s)
	if stale {
		s.loaded = false
		return l.read(now, s), true
	}
	if staged == nil {
		s.pending = nil
		l.results = append(l.results, results...)
		return Call{}, false
	}
	value, err := encode(staged)
	if err != nil || len(value) > l.limits.ObjectBytes {
		l.rejectPending(s)
		return Call{}, false
	}
	s.staged = staged
	s.results = results
	s.inFlight, s.pending = s.pending, nil
	l.writes++
	l.assignCall(now, s)
	return Call{ID: s.call, Path: shardPath(s.index), Write: true, IfRevision: s.revision, Value: value}, true
}

func (l *Ledger) read(now time.Time, s *shard) Call {
	l.reads++
	l.assignCall(now, s)
	return Call{ID: s.call, Path: shardPath(s.index)}
}

func (l *Ledger) assignCall(now time.Time, s *shard) {
	l.nextCall++
	s.call = l.nextCall
	s.callStartedAt = now
}

// apply applies the pending operations to a copy of the entries. It returns a
// nil copy if nothing changed. stale means that an operation would be denied
// because of entries that were read before the operation was submitted.
func (l *Ledger) apply(now time.Time, s *shard) (staged map[uint64]peer.Entry, results []Result, stale bool) {
	updated := l.withoutExpired(now, s.entries)
	changed := false
	for _, op := range s.pending {
		r, write := decide(updated, op)
		if !r.Granted && s.confirmedAt.Before(op.submittedAt) {
			return nil, nil, true
		}
		if write {
			updated[op.Entry.KeyHash] = r.Entry
			changed = true
		}
		results = append(results, r)
	}
	if !changed {
		return nil, results, false
	}
	return updated, results, false
}

func (l *Ledger) withoutExpired(now time.Time, entries map[uint64]peer.Entry) map[uint64]peer.Entry {
	oldest := now.Add(-l.limits.Retention).Unix()
	kept := make(map[uint64]peer.Entry, len(entries))
	for k, e := range entries {
		if e.UnixSeconds >= oldest {
			kept[k] = e
		}
	}
	return kept
}

func (l *Ledger) rejectPending(s *shard) {
	for _, op := range s.pending {
		l.results = append(l.results, Result{Op: op.ID, Full: true})
	}
	s.pending = nil
}

// ReadDone handles the result of a read, which failed if err is not nil.
func (l *Ledger) ReadDone(now time.Time, call uint64, object Object, err error) {
	s := l.shardForCall(call)
	if s == nil {
		return
	}
	start := s.callStartedAt
	s.call = 0
	if err == nil {
		s.entries, err = decode(object.Value)
	}
	if err != nil {
		l.backOff(now, s)
		return
	}
	s.revision = object.Revision
	s.loaded = true
	s.confirmedAt = start
	s.failures = 0
}

// WriteDone handles the result of a conditional update. revision is the
// object's revision after a successful update.
func (l *Ledger) WriteDone(now time.Time, call uint64, outcome WriteOutcome, revision uint64) {
	s := l.shardForCall(call)
	if s == nil {
		return
	}
	s.call = 0
	if outcome == WriteOK {
		s.entries = s.staged
		s.revision = revision
		s.confirmedAt = s.callStartedAt
		s.failures = 0
		s.notBefore = s.callStartedAt.Add(l.limits.WriteInterval)
		l.results = append(l.results, s.results...)
		s.staged, s.results, s.inFlight = nil, nil, nil
		return
	}
	s.requeue()
	s.loaded = false
	if outcome != WriteConflict {
		l.backOff(now, s)
	}
}

// requeue puts the operations of a failed write back at the front of the
// queue. They keep their submission times, so a denial requires a read that
// started after the submission.
func (s *shard) requeue() {
	s.pending = append(s.inFlight, s.pending...)
	s.staged, s.results, s.inFlight = nil, nil, nil
}

func (l *Ledger) backOff(now time.Time, s *shard) {
	// The limit on the number of failures prevents an overflow of the shift.
	delay := l.limits.Backoff << min(s.failures, 8)
	s.failures++
	s.notBefore = now.Add(min(delay, l.limits.MaxBackoff))
}

func (l *Ledger) shardForCall(call uint64) *shard {
	for _, s := range l.shards {
		if s.call == call && call != 0 {
			return s
		}
	}
	return nil
}
