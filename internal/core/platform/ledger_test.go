package platform

import (
	"errors"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"monsoonlanding/internal/core/peer"
)

// objectStore is an in-memory object API with configurable write outcomes.
type objectStore struct {
	objects map[string]Object
	// outcome returns the outcome of each write, numbered from 1; if it is nil,
	// all writes succeed.
	outcome func(write int) WriteOutcome
	writes  int
}

// run executes the ledger's calls against the store for two seconds of
// simulated time and returns the results.
func (s *objectStore) run(l *Ledger, now time.Time) []Result {
	var results []Result
	for i := range 200 {
		at := now.Add(time.Duration(i) * 10 * time.Millisecond)
		for _, call := range l.Tick(at) {
			s.execute(l, at, call)
		}
		results = append(results, l.Results()...)
	}
	return results
}

func (s *objectStore) execute(l *Ledger, at time.Time, call Call) {
	if !call.Write {
		l.ReadDone(at, call.ID, s.objects[call.Path], nil)
		return
	}
	s.writes++
	outcome := WriteOK
	if s.outcome != nil {
		outcome = s.outcome(s.writes)
	}
	if s.objects[call.Path].Revision != call.IfRevision {
		outcome = WriteConflict
	}
	if outcome == WriteOK || outcome == WriteUnknown {
		s.objects[call.Path] = Object{Revision: call.IfRevision + 1, Value: call.Value}
	}
	l.WriteDone(at, call.ID, outcome, s.objects[call.Path].Revision)
}

var ledgerStart = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

func claimOp(id uint64, key uint64, holder string, number uint64) Op {
	return Op{ID: id, Entry: peer.Entry{KeyHash: key, Instance: holder + "-i", Holder: holder, State: peer.EntryClaimed, Claim: number}}
}

func TestOneOfTwoClaimsIsGranted(t *testing.T) {
	c := qt.New(t)
	s := &objectStore{objects: make(map[string]Object)}
	a, b := New(DefaultLimits()), New(DefaultLimits())
	a.Submit(ledgerStart, claimOp(1, 7, "a", 1))
	c.Assert(s.run(a, ledgerStart)[0].Granted, qt.IsTrue)
	b.Submit(ledgerStart, claimOp(1, 7, "b", 1))
	got := s.run(b, ledgerStart)[0]
	c.Assert(got.Granted, qt.IsFalse)
	c.Assert(got.Entry.Holder, qt.Equals, "a")
}

func TestFailedWriteIsResolvedByReading(t *testing.T) {
	for _, outcome := range []WriteOutcome{WriteUnknown, WriteUnavailable, WriteConflict} {
		c := qt.New(t)
		s := &objectStore{objects: make(map[string]Object), outcome: func(write int) WriteOutcome {
			if write == 1 {
				return outcome
			}
			return WriteOK
		}}
		l := New(DefaultLimits())
		l.Submit(ledgerStart, claimOp(1, 7, "a", 1))
		results := s.run(l, ledgerStart)
		c.Assert(results, qt.HasLen, 1)
		c.Assert(results[0].Granted, qt.IsTrue, qt.Commentf("%s", outcome))
	}
}

func TestClaimsAreBatchedIntoOneWrite(t *testing.T) {
	c := qt.New(t)
	s := &objectStore{objects: make(map[string]Object)}
	l := New(DefaultLimits())
	for i := range uint64(50) {
		l.Submit(ledgerStart, claimOp(i+1, i*8, "a", i+1))
	}
	c.Assert(s.run(l, ledgerStart), qt.HasLen, 50)
	c.Assert(s.writes, qt.Equals, 1)
}

// TestSupersededClaim checks that an operation replaces only the claim that it
// names, and not another claim of the same holder.
func TestSupersededClaim(t *testing.T) {
	c := qt.New(t)
	s := &objectStore{objects: make(map[string]Object)}
	l := New(DefaultLimits())
	wrong, right := claimOp(2, 7, "b", 1), claimOp(3, 7, "b", 2)
	wrong.Supersedes = peer.ClaimRef{Holder: "a", Number: 4}
	right.Supersedes = peer.ClaimRef{Holder: "a", Number: 5}
	l.Submit(ledgerStart, claimOp(1, 7, "a", 5))
	l.Submit(ledgerStart, wrong)
	l.Submit(ledgerStart, right)
	granted := make(map[uint64]bool)
	for _, r := range s.run(l, ledgerStart) {
		granted[r.Op] = r.Granted
	}
	c.Assert(granted, qt.DeepEquals, map[uint64]bool{1: true, 2: false, 3: true})
}

// TestStaleReleaseIsIgnored releases an older claim of the same holder; the
// newer claim stays in force.
func TestStaleReleaseIsIgnored(t *testing.T) {
	c := qt.New(t)
	s := &objectStore{objects: make(map[string]Object)}
	l := New(DefaultLimits())
	l.Submit(ledgerStart, claimOp(1, 7, "a", 1))
	l.Submit(ledgerStart, claimOp(2, 7, "a", 2))
	release := claimOp(3, 7, "a", 1)
	release.Entry.State = peer.EntryReleased
	l.Submit(ledgerStart, release)
	s.run(l, ledgerStart)
	other := New(DefaultLimits())
	other.Submit(ledgerStart, claimOp(1, 7, "b", 1))
	c.Assert(s.run(other, ledgerStart)[0].Granted, qt.IsFalse)
}

func TestRetentionAndSize(t *testing.T) {
	c := qt.New(t)
	s := &objectStore{objects: make(map[string]Object)}
	limits := DefaultLimits()
	limits.ObjectBytes = 2000
	l := New(limits)
	full := 0
	for i := range uint64(60) {
		l.Submit(ledgerStart, claimOp(i+1, i*8, fmt.Sprint("holder", i), 1))
		for _, r := range s.run(l, ledgerStart) {
			if r.Full {
				full++
			}
		}
	}
	c.Assert(full > 0, qt.IsTrue)
	later := ledgerStart.Add(limits.Retention + time.Minute)
	l.Submit(later, claimOp(100, 800, "late", 1))
	c.Assert(s.run(l, later)[0].Granted, qt.IsTrue)
}

// TestOutageBacksOff bounds the number of reads during ten seconds of failures.
func TestOutageBacksOff(t *testing.T) {
	c := qt.New(t)
	l := New(DefaultLimits())
	l.Submit(ledgerStart, claimOp(1, 7, "a", 1))
	reads := 0
	for i := range 1000 {
		at := ledgerStart.Add(time.Duration(i) * 10 * time.Millisecond)
		for _, call := range l.Tick(at) {
			reads++
			l.ReadDone(at, call.ID, Object{}, errors.New("down"))
		}
	}
	maxReads := 5 + int(10*time.Second/DefaultLimits().MaxBackoff)
	c.Assert(reads <= maxReads, qt.IsTrue, qt.Commentf("%d reads", reads))
	c.Assert(l.Results(), qt.HasLen, 0)
}
