package leader

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"monsoonlanding/internal/core/store"
)

// restore replaces the store's content by a copy and tells the electors of it.
func (s *fakeStore) restore(now time.Time, backup fakeStore, generation int64, electors ...*Elector) {
	*s = backup
	s.stored.Revision.Generation = generation
	for _, e := range electors {
		e.HandleGeneration(now, generation)
	}
}

// TestHolderContinuesAfterRestore: a holder whose term has not passed writes the lease of the
// new generation at once, with a higher token, and does not act before.
func TestHolderContinuesAfterRestore(t *testing.T) {
	c := qt.New(t)
	s := &fakeStore{}
	a := New("a", 1, term)
	before := *s
	now, _ := s.acquire(a, epoch, 5*time.Second)
	token := a.FencingToken()
	s.restore(now, before, 1, a)
	c.Assert(a.MayCallPlatform(now), qt.IsFalse)
	at, ok := s.acquire(a, now, time.Second)
	c.Assert(ok, qt.IsTrue)
	c.Assert(at.Sub(now) < time.Second, qt.IsTrue)
	c.Assert(a.FencingToken() > token, qt.IsTrue)
	c.Assert(a.MayCallPlatform(at), qt.IsTrue)
}

// TestOthersWaitAfterRestore: the copy has a lease that was released, or belongs to an
// earlier process on the VM, or none. The holder that the store has lost may act until its
// term ends, so nobody takes such a lease at once.
func TestOthersWaitAfterRestore(t *testing.T) {
	for name, backup := range map[string]fakeStore{
		"none":            {},
		"released":        {exists: true, stored: Stored{Lease: Lease{FencingToken: 4}, Revision: store.Revision{Number: 9}}},
		"earlier process": {exists: true, stored: Stored{Lease: Lease{Holder: "b", ProcessStart: 1, FencingToken: 4}, Revision: store.Revision{Number: 9}}},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			s := &fakeStore{}
			a, b := New("a", 1, term), New("b", 2, term)
			now, _ := s.acquire(a, epoch, 5*time.Second)
			s.restore(now, backup, 1, b)
			taken, ok := s.acquire(b, now, 10*time.Second)
			c.Assert(ok, qt.IsTrue)
			c.Assert(a.MayCallPlatform(taken), qt.IsFalse)
			c.Assert(b.FencingToken() > a.FencingToken(), qt.IsTrue)
		})
	}
}

// TestResultsAcrossRestoreAreUnknown: a read or write that was answered before a restore and
// is processed after it says nothing about the restored lease.
func TestResultsAcrossRestoreAreUnknown(t *testing.T) {
	c := qt.New(t)
	s := &fakeStore{}
	a := New("a", 1, term)
	now, _ := s.acquire(a, epoch, 5*time.Second)
	call, ok := a.Renew(now, nil)
	c.Assert(ok, qt.IsTrue)
	result, stored := s.write(call)
	a.HandleGeneration(now, 1)
	a.HandleWritten(now, result, stored)
	c.Assert(a.Held(), qt.IsFalse)
	c.Assert(a.MayCallPlatform(now), qt.IsFalse)
}

// TestLeaseWrittenByChanceIsNotHeld: a write of the earlier generation was carried out by the
// restored store, since the lease had by chance the revision that it required.
func TestLeaseWrittenByChanceIsNotHeld(t *testing.T) {
	c := qt.New(t)
	s := &fakeStore{}
	a := New("a", 1, term)
	now, _ := s.acquire(a, epoch, 5*time.Second)
	call, _ := a.Renew(now, nil)
	a.HandleGeneration(now.Add(2*term), 1)
	a.HandleWritten(now.Add(2*term), ResultUnknown, Stored{})
	s.stored = Stored{Lease: *call.Write, Revision: store.Revision{Generation: 1, Number: 7}}
	at, ok := s.acquire(a, now.Add(2*term), term)
	c.Assert(ok, qt.IsFalse)
	_, ok = s.acquire(a, at, term)
	c.Assert(ok, qt.IsTrue)
}

// TestReportOutlivesRestore: a report that the store has lost is written again, by its holder
// or by the next one, which knows of it from the holder.
func TestReportOutlivesRestore(t *testing.T) {
	for _, self := range []bool{true, false} {
		c := qt.New(t)
		s := &fakeStore{}
		a, b := New("a", 1, term), New("b", 1, term)
		now, _ := s.acquire(a, epoch, 5*time.Second)
		backup := *s
		report := Report{Window: 7, Counts: map[string]int64{"blue": 3}}
		call, ok := a.Renew(now, &report)
		c.Assert(ok, qt.IsTrue)
		s.apply(a, now, call)
		b.NoteReport(report)
		next := b
		if self {
			next = a
		}
		s.restore(now, backup, 1, next)
		_, ok = s.acquire(next, now, 10*time.Second)
		c.Assert(ok, qt.IsTrue)
		c.Assert(*next.Latest().Report, qt.DeepEquals, report)
	}
}

// TestReportLostWithItsProcessesIsNotOverlooked: the store has lost the latest report with the only
// process that knew of it. The processes that hold the lease from then on must know that there
// may have been one, until one of them has written a report of its own.
func TestReportLostWithItsProcessesIsNotOverlooked(t *testing.T) {
	c := qt.New(t)
	s := &fakeStore{}
	first := New("a", 1, term)
	now, _ := s.acquire(first, epoch, 5*time.Second)
	backup := *s
	call, _ := first.Renew(now, &Report{Window: 7})
	s.apply(first, now, call)
	s.restore(now, backup, 1)

	second := New("a", 2, term)
	second.HandleGeneration(now, 1)
	now, ok := s.acquire(second, now, 10*time.Second)
	c.Assert(ok, qt.IsTrue)
	c.Assert(second.ReportsLostUntil().IsZero(), qt.IsFalse)

	third := New("a", 3, term)
	restarted := now.Add(time.Second)
	third.HandleGeneration(restarted, 1)
	now, ok = s.acquire(third, restarted, 10*time.Second)
	c.Assert(ok, qt.IsTrue)
	c.Assert(third.ReportsLostUntil(), qt.Equals, restarted)
	call, _ = third.Renew(now, &Report{Window: 9})
	s.apply(third, now, call)
	c.Assert(third.ReportsLostUntil().IsZero(), qt.IsTrue)

	fourth := New("a", 4, term)
	fourth.HandleGeneration(now, 1)
	_, ok = s.acquire(fourth, now, 10*time.Second)
	c.Assert(ok, qt.IsTrue)
	c.Assert(fourth.ReportsLostUntil().IsZero(), qt.IsTrue)
}

// TestHolderKnowsReportsAcrossRestore: a process that holds the lease while the store is restored
// knows all reports, and goes on with the next window.
func TestHolderKnowsReportsAcrossRestore(t *testing.T) {
	c := qt.New(t)
	s := &fakeStore{}
	a := New("a", 1, term)
	now, _ := s.acquire(a, epoch, 5*time.Second)
	backup := *s
	call, _ := a.Renew(now, &Report{Window: 7})
	s.apply(a, now, call)
	s.restore(now, backup, 1, a)
	_, ok := s.acquire(a, now, 5*time.Second)
	c.Assert(ok, qt.IsTrue)
	c.Assert(a.ReportsLostUntil().IsZero(), qt.IsTrue)
	c.Assert(a.Latest().Report.Window, qt.Equals, int64(7))
}

// TestReportsStayUnknownAcrossRestores: a holder that did not know whether a report had been lost took itself for a
// witness of all reports when the store was restored once more.
func TestReportsStayUnknownAcrossRestores(t *testing.T) {
	c := qt.New(t)
	s := &fakeStore{}
	first := New("a", 1, term)
	now, _ := s.acquire(first, epoch, 5*time.Second)
	call, _ := first.Renew(now, &Report{Window: 7})
	s.apply(first, now, call)
	backup := *s
	call, _ = first.Renew(now.Add(time.Second), &Report{Window: 8})
	s.apply(first, now.Add(time.Second), call)
	s.restore(now, backup, 1)

	second := New("a", 2, term)
	second.HandleGeneration(now, 1)
	now, ok := s.acquire(second, now, 10*time.Second)
	c.Assert(ok, qt.IsTrue)
	backup = *s
	s.restore(now, backup, 2, second)
	now, ok = s.acquire(second, now, 10*time.Second)
	c.Assert(ok, qt.IsTrue)
	c.Assert(second.Latest().Report.Window, qt.Equals, int64(7))
	c.Assert(second.ReportsLostUntil().IsZero(), qt.IsFalse)
	call, _ = second.Renew(now, &Report{Window: 9})
	s.apply(second, now, call)
	c.Assert(second.ReportsLostUntil().IsZero(), qt.IsTrue)
}
