package gateway

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"monsoonlanding/internal/core/placement"
)

// quotaLoad is a team's requests to many nodes that report to each other.
type quotaLoad struct {
	// nodes is the number of nodes, factor the load in parts of the quota.
	nodes  int
	factor float64
}

const (
	// Sizes of a deployment with long prompts: one request is a tenth of a second's quota.
	manyQuotaRate    = 160_000
	manyQuotaSlack   = 140_000
	manyRequestUnits = 17_000
	manyQuotaLength  = 12 * time.Second
)

// play offers the load and returns the numbers of requests and of refusals, and the greatest
// number of units admitted in a window.
func (l quotaLoad) play(t *testing.T) (requests, refused int, greatest float64) {
	rng := rand.New(rand.NewPCG(uint64(l.nodes), uint64(l.factor*100)))
	nodes := make(map[string]*bench)
	var names []string
	for i := range l.nodes {
		names = append(names, fmt.Sprintf("n%03d", i))
		nodes[names[i]] = newBench(t, names[i])
		nodes[names[i]].g.rng = rand.New(rand.NewPCG(uint64(i), 9))
	}
	config := testConfig(1)
	config.Teams[0].Rate, config.Teams[0].Burst = manyQuotaRate, manyQuotaRate
	// Engines are no bottleneck here.
	var engines []placement.Upstream
	for i := range 100 {
		engines = append(engines, up(fmt.Sprint("m", i), "model"))
	}
	for _, n := range nodes {
		n.g.cfg.Bounds.QuotaOver, n.g.cfg.Bounds.QuotaSlack = 0.1, manyQuotaSlack
		n.reduce(ConfigRead{Config: config, Body: []byte("1")})
		n.reduce(RolloutsChanged{})
		n.list(engines...)
		for _, name := range names {
			n.receive(status(name))
		}
	}
	mean := time.Duration(float64(time.Second) * manyRequestUnits / (l.factor * manyQuotaRate))
	next := epoch.Add(mean)
	var admitted []time.Time
	for now := epoch; now.Before(epoch.Add(manyQuotaLength)); now = now.Add(TickInterval) {
		for ; next.Before(now); next = next.Add(time.Duration(rng.ExpFloat64() * float64(mean))) {
			n := nodes[names[rng.IntN(len(names))]]
			n.now = next
			requests++
			conn, effects := n.submit(Request{Path: "/ask/1", Key: "k", Prompt: placement.Prompt{InputTokens: manyRequestUnits - 100, MaxOutputTokens: 100}})
			if refusal(effects) == ReasonQuota {
				refused++
			} else {
				qt.Assert(t, has(Dispatch{}, effects), qt.IsTrue)
				admitted = append(admitted, next)
				n.reduce(Ended{Conn: conn, Attempt: 1, Result: ResultComplete})
			}
			deliver(nodes, n, effects)
		}
		for _, name := range names {
			n := nodes[name]
			n.now = now
			deliver(nodes, n, n.reduce(Tick{}))
		}
	}
	window := testBounds().QuotaWindow
	if testing.Verbose() {
		perSecond := make([]int, manyQuotaLength/time.Second)
		for _, at := range admitted {
			perSecond[at.Sub(epoch)/time.Second] += manyRequestUnits / 1000
		}
		t.Logf("thousands of units admitted by second: %v", perSecond)
	}
	for i, first := range admitted {
		units := 0.0
		for _, at := range admitted[i:] {
			if at.Sub(first) < window {
				units += manyRequestUnits
			}
		}
		greatest = max(greatest, units)
	}
	return requests, refused, greatest
}

// TestQuotaOfFewRequestsPerNode guards against refusals within the quota among many nodes: a
// node that gets a team's request now and then concluded from one that all its peers had
// just got one, too, and refused it although the team had hardly spent anything.
func TestQuotaOfFewRequestsPerNode(t *testing.T) {
	for _, load := range []quotaLoad{{7, 0.6}, {60, 0.3}, {60, 0.6}, {195, 0.6}} {
		t.Run(fmt.Sprint(load.nodes, " nodes, ", load.factor), func(t *testing.T) {
			requests, refused, _ := load.play(t)
			qt.Assert(t, refused, qt.Equals, 0, qt.Commentf("of %d requests", requests))
		})
	}
}

// TestQuotaOfManyNodesHolds: a team that sends several times its quota to many nodes stays
// within the operators' bound in each window, and gets nearly all of it.
func TestQuotaOfManyNodesHolds(t *testing.T) {
	const window, over = 8, 0.1
	for _, load := range []quotaLoad{{7, 2}, {7, 7.5}, {60, 2}, {60, 7.5}, {195, 4}} {
		t.Run(fmt.Sprint(load.nodes, " nodes, ", load.factor), func(t *testing.T) {
			requests, refused, greatest := load.play(t)
			bound := (manyQuotaRate*window+manyQuotaRate)*(1+over) + manyQuotaSlack
			qt.Assert(t, greatest <= bound, qt.IsTrue, qt.Commentf("%.0f units, bound %.0f", greatest, bound))
			owed := manyQuotaRate * (manyQuotaLength.Seconds() + 1)
			admitted := float64(requests-refused) * manyRequestUnits
			qt.Assert(t, admitted >= 0.9*owed, qt.IsTrue, qt.Commentf("%.0f units of %.0f owed", admitted, owed))
		})
	}
}
