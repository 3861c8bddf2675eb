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
