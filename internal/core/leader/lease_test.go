package leader

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var epoch = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

const term = 3 * time.Second

// fakeStore is a fake store that holds the lease object.
type fakeStore struct {
	stored Stored
	exists bool
}

func (s *fakeStore) write(call StoreCall) (Result, Stored) {
	switch {
	case !s.exists && !call.IfRevision.IsZero():
		return ResultMissing, Stored{}
	case s.exists && call.IfRevision != s.stored.Revision:
		return ResultConflict, s.stored
	}
	s.exists = true
	s.stored.Lease = *call.Write
	s.stored.Revision.Number++
	return ResultOK, s.stored
}

// apply executes a call at once and passes the result to the elector.
func (s *fakeStore) apply(e *Elector, now time.Time, call StoreCall) {
	if call.Write == nil {
		result := ResultOK
		if !s.exists {
			result = ResultMissing
		}
		e.HandleRead(now, result, s.stored)
		return
	}
	result, stored := s.write(call)
	e.HandleWritten(now, result, stored)
}

// acquire calls Acquire repeatedly for the duration d until the elector holds
// the lease. It returns the time at which it holds the lease, and false if it
// does not within d.
func (s *fakeStore) acquire(e *Elector, now time.Time, d time.Duration) (time.Time, bool) {
	for end := now.Add(d); now.Before(end); now = now.Add(100 * time.Millisecond) {
		if call, ok := e.Acquire(now); ok {
			s.apply(e, now, call)
		}
		if e.Held() {
			return now, true
		}
	}
	return now, false
}

func TestFirstHolder(t *testing.T) {
	c := qt.New(t)
	s := &fakeStore{}
	e := New("a", 1, term)
	at, ok := s.acquire(e, epoch, 5*time.Second)
	c.Assert(ok, qt.IsTrue)
	c.Assert(e.MayCallPlatform(at), qt.IsTrue)
	c.Assert(e.FencingToken(), qt.Equals, int64(1))
	c.Assert(e.MayCallPlatform(at.Add(term)), qt.IsFalse)
	c.Assert(e.Held(), qt.IsTrue)
}

// TestTakeoverWaitsForTheTerm checks that no two processes hold the lease at
// once and that the fencing token increases.
func TestTakeoverWaitsForTheTerm(t *testing.T) {
	c := qt.New(t)
	s := &fakeStore{}
	a, b := New("a", 1, term), New("b", 1, term)
	at, _ := s.acquire(a, epoch, 5*time.Second)
	taken, ok := s.acquire(b, at, 10*time.Second)
	c.Assert(ok, qt.IsTrue)
	c.Assert(taken.Sub(at) > term, qt.IsTrue)
	c.Assert(a.MayCallPlatform(taken), qt.IsFalse)
	c.Assert(b.FencingToken(), qt.Equals, int64(2))
	// The former holder's next write conflicts, so that it no longer holds.
	call, ok := a.Renew(taken, nil)
	c.Assert(ok, qt.IsTrue)
	s.apply(a, taken, call)
	c.Assert(a.Held(), qt.IsFalse)
}

func TestRenewalPreventsTakeover(t *testing.T) {
	c := qt.New(t)
	s := &fakeStore{}
	a, b := New("a", 1, term), New("b", 1, term)
	now, _ := s.acquire(a, epoch, 5*time.Second)
	for range 20 {
		call, ok := a.Renew(now, nil)
		c.Assert(ok, qt.IsTrue)
		s.apply(a, now, call)
		var taken bool
		now, taken = s.acquire(b, now, time.Second)
		c.Assert(taken, qt.IsFalse)
	}
}

func TestReleasedLeaseIsTakenAtOnce(t *testing.T) {
	c := qt.New(t)
	s := &fakeStore{}
	a, b := New("a", 1, term), New("b", 1, term)
	now, _ := s.acquire(a, epoch, 5*time.Second)
	call, ok := a.Release(now)
	c.Assert(ok, qt.IsTrue)
	s.apply(a, now, call)
	taken, ok := s.acquire(b, now, 5*time.Second)
	c.Assert(ok, qt.IsTrue)
	c.Assert(taken.Sub(now) < term, qt.IsTrue)
}

func TestNextProcessOnTheSameVMTakesOverAtOnce(t *testing.T) {
	c := qt.New(t)
	s := &fakeStore{}
	now, _ := s.acquire(New("a", 1, term), epoch, 5*time.Second)
	next := New("a", 2, term)
	taken, ok := s.acquire(next, now, 5*time.Second)
	c.Assert(ok, qt.IsTrue)
	c.Assert(taken.Sub(now) < term, qt.IsTrue)
	c.Assert(next.FencingToken(), qt.Equals, int64(2))
}

// TestUnansweredWriteIsReadBack checks that an unanswered takeover which the
// store applied is detected by a read, and that the platform is not called
// before the lease is renewed.
func TestUnansweredWriteIsReadBack(t *testing.T) {
	c := qt.New(t)
	s := &fakeStore{}
	e := New("a", 1, term)
	call, _ := e.Acquire(epoch)
	s.apply(e, epoch, call)
	now := epoch.Add(retryInterval)
	call, ok := e.Acquire(now)
	c.Assert(ok && call.Write != nil, qt.IsTrue)
	s.write(call)
	e.HandleWritten(now.Add(2*time.Second), ResultUnknown, Stored{})
	c.Assert(e.Held(), qt.IsFalse)
	now, ok = s.acquire(e, now.Add(2*time.Second), 3*time.Second)
	c.Assert(ok, qt.IsTrue)
	c.Assert(e.MayCallPlatform(now), qt.IsFalse)
	call, ok = e.Renew(now.Add(retryInterval), nil)
	c.Assert(ok, qt.IsTrue)
	s.apply(e, now.Add(retryInterval), call)
	c.Assert(e.MayCallPlatform(now.Add(retryInterval)), qt.IsTrue)
	c.Assert(e.FencingToken(), qt.Equals, int64(1))
}

// TestDelayedWriteIsRejected checks that a delayed write which reaches the
// store after a takeover is rejected, because the required revision is
// outdated.
func TestDelayedWriteIsRejected(t *testing.T) {
	c := qt.New(t)
	s := &fakeStore{}
	a, b := New("a", 1, term), New("b", 1, term)
	now, _ := s.acquire(a, epoch, 5*time.Second)
	late, _ := a.Renew(now.Add(retryInterval), nil)
	taken, _ := s.acquire(b, now, 10*time.Second)
	result, _ := s.write(late)
	c.Assert(result, qt.Equals, ResultConflict)
	c.Assert(s.stored.Lease.Holder, qt.Equals, "b")
	a.HandleWritten(taken, ResultUnknown, Stored{})
	c.Assert(a.MayCallPlatform(taken), qt.IsFalse)
}

// TestSuspendedHolderDoesNotAct checks that the term also expires while the VM
// is suspended.
func TestSuspendedHolderDoesNotAct(t *testing.T) {
	c := qt.New(t)
	s := &fakeStore{}
	e := New("a", 1, term)
	now, _ := s.acquire(e, epoch, 5*time.Second)
	c.Assert(e.MayCallPlatform(now.Add(time.Minute)), qt.IsFalse)
}

func TestReportOutlivesItsHolder(t *testing.T) {
	c := qt.New(t)
	s := &fakeStore{}
	a, b := New("a", 1, term), New("b", 1, term)
	now, _ := s.acquire(a, epoch, 5*time.Second)
	now = now.Add(retryInterval)
	call, _ := a.Renew(now, &Report{Window: 7, Counts: map[string]int64{"blue": 3}})
	s.apply(a, now, call)
	a.RecordAccepted(7)
	c.Assert(a.Latest().Report.Accepted, qt.IsTrue)
	s.acquire(b, now, 10*time.Second)
	c.Assert(b.Latest().Report, qt.DeepEquals, &Report{Window: 7, Counts: map[string]int64{"blue": 3}})
}

func TestCounterKeepsWindowsApart(t *testing.T) {
	c := qt.New(t)
	counter := NewCounter(5 * time.Second)
	w := counter.Window(epoch)
	counter.Add(epoch, "blue")
	counter.Add(counter.End(w).Add(-1), "blue")
	counter.Add(counter.End(w), "blue")
	latest := counter.Latest(counter.End(w))
	c.Assert(latest[w]["blue"], qt.Equals, int64(2))
	c.Assert(latest[w+1]["blue"], qt.Equals, int64(1))
	for i := range 20 {
		counter.Add(epoch.Add(time.Duration(i)*5*time.Second), "blue")
	}
	c.Assert(len(counter.counts) <= retainedWindows, qt.IsTrue)
}

// TestUnconfirmedHolderMakesNoClaim guards against a holder that can reach its
// peers but not the store: it must not prevent them from taking over the lease.
func TestUnconfirmedHolderMakesNoClaim(t *testing.T) {
	c := qt.New(t)
	s := &fakeStore{}
	e := New("a", 1, term)
	now, ok := s.acquire(e, epoch, 3*time.Second)
	c.Assert(ok, qt.IsTrue)
	c.Assert(e.Claims(now.Add(time.Minute)), qt.IsTrue)
	now = now.Add(retryInterval)
	_, ok = e.Renew(now, nil)
	c.Assert(ok, qt.IsTrue)
	c.Assert(e.Claims(now.Add(maxUnconfirmed)), qt.IsTrue)
	c.Assert(e.Claims(now.Add(maxUnconfirmed+time.Millisecond)), qt.IsFalse)
	now = now.Add(2 * time.Second)
	e.HandleWritten(now, ResultUnknown, Stored{})
	c.Assert(e.Claims(now), qt.IsFalse)
	e.HandleRead(now, ResultOK, s.stored)
	c.Assert(e.Claims(now), qt.IsTrue)
}
