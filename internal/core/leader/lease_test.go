package leader

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var epoch = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

const term = 3 * time.Second

// store is a fake store that holds the lease object.
type store struct {
	stored Stored
	exists bool
}

func (s *store) write(step StoreCall) (Result, Stored) {
	switch {
	case !s.exists && step.IfRevision != 0:
		return ResultMissing, Stored{}
	case s.exists && step.IfRevision != s.stored.Revision:
		return ResultConflict, s.stored
	}
	s.exists = true
	s.stored = Stored{Lease: *step.Write, Revision: s.stored.Revision + 1}
	return ResultOK, s.stored
}

// apply carries out a step at once and passes the result to the Keeper.
func (s *store) apply(k *Elector, now time.Time, step StoreCall) {
	if step.Write == nil {
		result := ResultOK
		if !s.exists {
			result = ResultMissing
		}
		k.Read(now, result, s.stored)
		return
	}
	result, stored := s.write(step)
	k.Written(now, result, stored)
}

// seek calls Seek for d and returns when the Keeper acquired the lease.
func (s *store) seek(k *Elector, now time.Time, d time.Duration) (time.Time, bool) {
	for end := now.Add(d); now.Before(end); now = now.Add(100 * time.Millisecond) {
		if step, ok := k.Acquire(now); ok {
			s.apply(k, now, step)
		}
		if k.Held() {
			return now, true
		}
	}
	return now, false
}

func TestFirstHolder(t *testing.T) {
	c := qt.New(t)
	s := &store{}
	k := New("a", 1, term)
	at, ok := s.seek(k, epoch, 5*time.Second)
	c.Assert(ok, qt.IsTrue)
	c.Assert(k.Holds(at), qt.IsTrue)
	c.Assert(k.FencingToken(), qt.Equals, int64(1))
	c.Assert(k.Holds(at.Add(term)), qt.IsFalse)
	c.Assert(k.Held(), qt.IsTrue)
}

// TestTakeoverWaitsForTheTerm checks that no two processes hold the lease at
// once and that the fencing token increases.
func TestTakeoverWaitsForTheTerm(t *testing.T) {
	c := qt.New(t)
	s := &store{}
	a, b := New("a", 1, term), New("b", 1, term)
	at, _ := s.seek(a, epoch, 5*time.Second)
	taken, ok := s.seek(b, at, 10*time.Second)
	c.Assert(ok, qt.IsTrue)
	c.Assert(taken.Sub(at) > term, qt.IsTrue)
	c.Assert(a.Holds(taken), qt.IsFalse)
	c.Assert(b.FencingToken(), qt.Equals, int64(2))
	// The former holder's next write conflicts, so that it no longer holds.
	step, ok := a.Renew(taken, nil)
	c.Assert(ok, qt.IsTrue)
	s.apply(a, taken, step)
	c.Assert(a.Held(), qt.IsFalse)
}

func TestRenewalPreventsTakeover(t *testing.T) {
	c := qt.New(t)
	s := &store{}
	a, b := New("a", 1, term), New("b", 1, term)
	now, _ := s.seek(a, epoch, 5*time.Second)
	for range 20 {
		step, ok := a.Renew(now, nil)
		c.Assert(ok, qt.IsTrue)
		s.apply(a, now, step)
		var taken bool
		now, taken = s.seek(b, now, time.Second)
		c.Assert(taken, qt.IsFalse)
	}
}

func TestReleasedLeaseIsTakenAtOnce(t *testing.T) {
	c := qt.New(t)
	s := &store{}
	a, b := New("a", 1, term), New("b", 1, term)
	now, _ := s.seek(a, epoch, 5*time.Second)
	step, ok := a.Release(now)
	c.Assert(ok, qt.IsTrue)
	s.apply(a, now, step)
	taken, ok := s.seek(b, now, 5*time.Second)
	c.Assert(ok, qt.IsTrue)
	c.Assert(taken.Sub(now) < term, qt.IsTrue)
}

func TestNextProcessOnTheSameVMTakesOverAtOnce(t *testing.T) {
	c := qt.New(t)
	s := &store{}
	now, _ := s.seek(New("a", 1, term), epoch, 5*time.Second)
	next := New("a", 2, term)
	taken, ok := s.seek(next, now, 5*time.Second)
	c.Assert(ok, qt.IsTrue)
	c.Assert(taken.Sub(now) < term, qt.IsTrue)
	c.Assert(next.FencingToken(), qt.Equals, int64(2))
}

// TestUnansweredWriteIsReadBack checks that an unanswered takeover which the
// store applied is detected by a read, and that the platform is not called
// before the lease is renewed.
func TestUnansweredWriteIsReadBack(t *testing.T) {
	c := qt.New(t)
	s := &store{}
	k := New("a", 1, term)
	step, _ := k.Acquire(epoch)
	s.apply(k, epoch, step)
	now := epoch.Add(retryInterval)
	step, ok := k.Acquire(now)
	c.Assert(ok && step.Write != nil, qt.IsTrue)
	s.write(step)
	k.Written(now.Add(2*time.Second), ResultUnknown, Stored{})
	c.Assert(k.Held(), qt.IsFalse)
	now, ok = s.seek(k, now.Add(2*time.Second), 3*time.Second)
	c.Assert(ok, qt.IsTrue)
	c.Assert(k.Holds(now), qt.IsFalse)
	step, ok = k.Renew(now.Add(retryInterval), nil)
	c.Assert(ok, qt.IsTrue)
	s.apply(k, now.Add(retryInterval), step)
	c.Assert(k.Holds(now.Add(retryInterval)), qt.IsTrue)
	c.Assert(k.FencingToken(), qt.Equals, int64(1))
}

// TestDelayedWriteIsRejected checks that a delayed write which reaches
// the store after a takeover is rejected, as the required revision is outdated.
func TestDelayedWriteIsRejected(t *testing.T) {
	c := qt.New(t)
	s := &store{}
	a, b := New("a", 1, term), New("b", 1, term)
	now, _ := s.seek(a, epoch, 5*time.Second)
	late, _ := a.Renew(now.Add(retryInterval), nil)
	taken, _ := s.seek(b, now, 10*time.Second)
	result, _ := s.write(late)
	c.Assert(result, qt.Equals, ResultConflict)
	c.Assert(s.stored.Lease.Holder, qt.Equals, "b")
	a.Written(taken, ResultUnknown, Stored{})
	c.Assert(a.Holds(taken), qt.IsFalse)
}

// TestSuspendedHolderDoesNotAct checks that the term also expires while the VM
// is suspended.
func TestSuspendedHolderDoesNotAct(t *testing.T) {
	c := qt.New(t)
	s := &store{}
	k := New("a", 1, term)
	now, _ := s.seek(k, epoch, 5*time.Second)
	c.Assert(k.Holds(now.Add(time.Minute)), qt.IsFalse)
}

func TestReportOutlivesItsHolder(t *testing.T) {
	c := qt.New(t)
	s := &store{}
	a, b := New("a", 1, term), New("b", 1, term)
	now, _ := s.seek(a, epoch, 5*time.Second)
	now = now.Add(retryInterval)
	step, _ := a.Renew(now, &Report{Window: 7, Counts: map[string]int64{"blue": 3}})
	s.apply(a, now, step)
	a.Accepted(7)
	c.Assert(a.Latest().Report.Accepted, qt.IsTrue)
	s.seek(b, now, 10*time.Second)
	c.Assert(b.Latest().Report, qt.DeepEquals, &Report{Window: 7, Counts: map[string]int64{"blue": 3}})
}

func TestCounterKeepsWindowsApart(t *testing.T) {
	c := qt.New(t)
	k := NewCounter(5 * time.Second)
	w := k.Window(epoch)
	k.Add(epoch, "blue")
	k.Add(k.End(w).Add(-1), "blue")
	k.Add(k.End(w), "blue")
	latest := k.Latest(k.End(w))
	c.Assert(latest[w]["blue"], qt.Equals, int64(2))
	c.Assert(latest[w+1]["blue"], qt.Equals, int64(1))
	for i := range 20 {
		k.Add(epoch.Add(time.Duration(i)*5*time.Second), "blue")
	}
	c.Assert(len(k.counts) <= retainedWindows, qt.IsTrue)
}

// TestUnconfirmedHolderMakesNoClaim guards against a holder that can reach its
// peers but not the store: it must not prevent them from taking over the lease.
func TestUnconfirmedHolderMakesNoClaim(t *testing.T) {
	c := qt.New(t)
	s := &store{}
	k := New("a", 1, term)
	now, ok := s.seek(k, epoch, 3*time.Second)
	c.Assert(ok, qt.IsTrue)
	c.Assert(k.Claims(now.Add(time.Minute)), qt.IsTrue)
	now = now.Add(retryInterval)
	_, ok = k.Renew(now, nil)
	c.Assert(ok, qt.IsTrue)
	c.Assert(k.Claims(now.Add(maxUnconfirmed)), qt.IsTrue)
	c.Assert(k.Claims(now.Add(maxUnconfirmed+time.Millisecond)), qt.IsFalse)
	now = now.Add(2 * time.Second)
	k.Written(now, ResultUnknown, Stored{})
	c.Assert(k.Claims(now), qt.IsFalse)
	k.Read(now, ResultOK, s.stored)
	c.Assert(k.Claims(now), qt.IsTrue)
}
