package leader

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"monsoonlanding/internal/core/store"
)

// TestResignedLeaseIsTakenOverAtOnce: the store turns the holder away while it serves the other
// nodes. Without the resignation nobody may act for the rest of the term, and upstreams that are
// reclaimed meanwhile are not replaced.
func TestResignedLeaseIsTakenOverAtOnce(t *testing.T) {
	c := qt.New(t)
	s := &fakeStore{}
	a, b := New("a", 1, term), New("b", 1, term)
	at, _ := s.acquire(a, epoch, 5*time.Second)
	c.Assert(a.Resign(at), qt.IsTrue)
	c.Assert(a.Resign(at), qt.IsFalse)
	c.Assert(a.MayCallPlatform(at), qt.IsFalse)
	c.Assert(a.Claims(at), qt.IsFalse)
	b.NoteResigned(a.Resigned())
	taken, ok := s.acquire(b, at, 10*time.Second)
	c.Assert(ok, qt.IsTrue)
	c.Assert(taken.Sub(at) < time.Second, qt.IsTrue, qt.Commentf("%v", taken.Sub(at)))
	c.Assert(b.FencingToken(), qt.Equals, int64(2))
	c.Assert(b.IsResigned(), qt.IsFalse)
}

// TestLateWriteOfAResignedHolder: a write of the holder had no answer before it resigned, and the
// store applies it later. The holder must not act on it, whether it learns of it from the answer
// or from a read.
func TestLateWriteOfAResignedHolder(t *testing.T) {
	c := qt.New(t)
	for _, answered := range []bool{true, false} {
		s := &fakeStore{}
		a, b := New("a", 1, term), New("b", 1, term)
		at, _ := s.acquire(a, epoch, 5*time.Second)
		call, ok := a.Renew(at, nil)
		c.Assert(ok, qt.IsTrue)
		a.Resign(at)
		if answered {
			s.apply(a, at, call)
		} else {
			s.write(call)
			a.HandleWritten(at, ResultUnknown, Stored{})
			a.HandleRead(at, ResultOK, s.stored)
		}
		c.Assert(a.Held(), qt.IsFalse)
		c.Assert(a.MayCallPlatform(at), qt.IsFalse)
		b.NoteResigned(1)
		_, ok = s.acquire(b, at, time.Second)
		c.Assert(ok, qt.IsTrue)
	}
}

// TestResignedHolderWaitsATerm: calls of a holder and its successor must not alternate within a
// term.
func TestResignedHolderWaitsATerm(t *testing.T) {
	c := qt.New(t)
	s := &fakeStore{}
	a := New("a", 1, term)
	at, _ := s.acquire(a, epoch, 5*time.Second)
	a.Resign(at)
	again, ok := s.acquire(a, at, 10*time.Second)
	c.Assert(ok, qt.IsTrue)
	c.Assert(again.Sub(at) > term, qt.IsTrue)
	c.Assert(a.FencingToken(), qt.Equals, int64(2))
	c.Assert(a.MayCallPlatform(again), qt.IsTrue)
}

// TestReportedRevisionCountsForTheTerm: the holder is killed. Its peers know from its statuses
// when it wrote the lease last, so they need not wait for a term after their own first read.
func TestReportedRevisionCountsForTheTerm(t *testing.T) {
	c := qt.New(t)
	s := &fakeStore{}
	a, b := New("a", 1, term), New("b", 1, term)
	at, _ := s.acquire(a, epoch, 5*time.Second)
	b.NoteRevision(at, a.Revision())
	lost := at.Add(2 * time.Second)
	taken, ok := s.acquire(b, lost, 10*time.Second)
	c.Assert(ok, qt.IsTrue)
	c.Assert(taken.Sub(at) > term, qt.IsTrue)
	c.Assert(taken.Sub(at) < term+time.Second, qt.IsTrue, qt.Commentf("%v", taken.Sub(at)))
	// A renewal since the report starts the term anew.
	s, a, b = &fakeStore{}, New("a", 1, term), New("b", 1, term)
	at, _ = s.acquire(a, epoch, 5*time.Second)
	b.NoteRevision(at, a.Revision())
	renewed := at.Add(2 * time.Second)
	call, _ := a.Renew(renewed, nil)
	s.apply(a, renewed, call)
	taken, ok = s.acquire(b, at.Add(4*time.Second), 10*time.Second)
	c.Assert(ok, qt.IsTrue)
	c.Assert(taken.Sub(renewed) > term, qt.IsTrue)
	b.NoteRevision(taken, store.Revision{Number: 1})
	c.Assert(b.Held(), qt.IsTrue)
}
