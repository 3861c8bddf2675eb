package gateway

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"monsoonlanding/internal/core/route"
)

// TestQuotaOfSmallBursts: the tolerance grows with the rate, the bucket's debt is bounded by the burst.
// A team with a high rate and a small burst must be limited all the same.
func TestQuotaOfSmallBursts(t *testing.T) {
	for _, burst := range []float64{5, 10, 15} {
		b := newBench(t, "a")
		b.g.cfg.Bounds.QuotaOver = 0.1
		config := testConfig(1)
		config.Teams = []route.Team{{Name: "blue", Keys: []string{"k"}, Unit: route.UnitRequests, Rate: 100, Burst: burst}}
		b.reduce(ConfigRead{Config: config, Body: []byte("1"), Source: "store"})
		b.reduce(RolloutsChanged{})
		b.list(up("d1", "desk"))
		admitted := 0
		for range 8000 {
			b.now = b.now.Add(time.Millisecond)
			conn, effects := b.arrive("/book/1")
			if refusal(effects) != ReasonQuota {
				admitted++
				b.reduce(HandlerEnded{Conn: conn})
			}
		}
		bound := (100*8 + burst) * 1.1
		b.Assert(float64(admitted) <= bound, qt.IsTrue, qt.Commentf("burst %v: %d admitted, %v allowed", burst, admitted, bound))
	}
}

// TestChargeOfARestartedPeerStays: a peer that was killed never reports what it spent last, so what
// was charged for it while it was silent is not given back when its VM's next process reports.
func TestChargeOfARestartedPeerStays(t *testing.T) {
	for _, test := range []struct {
		start  int64
		refund float64
	}{{1, 5000}, {2, 0}} {
		b := newBench(t, "a")
		b.ready(up("d1", "desk"))
		s := status("b")
		s.Start = 1
		b.receive(s)
		b.arrive("/book/1")
		q := b.g.quotas["blue"]
		q.bucket.Spend(b.now, 10_000, 1)
		b.g.members["b"].quotaCharged = map[string]float64{"blue": 5000}
		before := q.bucket.Level()
		s.Start, s.Seq = test.start, 0
		b.receive(s)
		b.Assert(q.bucket.Level()-before, qt.Equals, test.refund, qt.Commentf("process %d", test.start))
	}
}
