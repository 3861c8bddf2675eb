package upstream

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var poisonStart = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

func TestPoisonQuarantinesAfterTwoCrashes(t *testing.T) {
	c := qt.New(t)
	p := NewPoisonDetector()
	p.RecordCrash(poisonStart, poisonStart, "a", "z1", 7)
	p.RecordCrash(poisonStart.Add(time.Millisecond), poisonStart, "a", "z1", 7)
	c.Assert(p.Suspected(7), qt.IsTrue)
	c.Assert(p.Quarantined(7), qt.IsFalse)
	later := poisonStart.Add(100 * time.Millisecond)
	p.RecordCrash(later.Add(time.Millisecond), later, "a", "z1", 7)
	c.Assert(p.Quarantined(7), qt.IsTrue)
}

func TestPoisonIgnoresZoneFailure(t *testing.T) {
	c := qt.New(t)
	p := NewPoisonDetector()
	for i, id := range []string{"a", "b", "c"} {
		p.RecordCrash(poisonStart.Add(time.Duration(i)*100*time.Millisecond), poisonStart, id, "z1", uint64(i))
	}
	c.Assert(p.SuspectedContents(), qt.HasLen, 0)
}

func TestReclaimClearsSuspicion(t *testing.T) {
	c := qt.New(t)
	p := NewPoisonDetector()
	p.RecordCrash(poisonStart, poisonStart, "a", "z1", 7)
	p.RecordCrash(poisonStart.Add(5*time.Second), poisonStart, "b", "z2", 7)
	c.Assert(p.Quarantined(7), qt.IsTrue)
	p.RemoveCrashes("b", poisonStart.Add(4*time.Second))
	c.Assert(p.Quarantined(7), qt.IsFalse)
	c.Assert(p.Suspected(7), qt.IsTrue)
	p.RemoveCrashes("a", poisonStart.Add(time.Second))
	c.Assert(p.Suspected(7), qt.IsTrue)
}
