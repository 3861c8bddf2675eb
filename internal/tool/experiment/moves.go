package experiment

import (
	"encoding/csv"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"monsoonlanding/internal/core/operator"
)

// conditions describe a request and the move at that moment. The probability of
// a bad outcome may depend on them.
type conditions struct {
	// progress is the elapsed fraction of the time to the deadline of the move.
	progress float64
	// share is the fraction of the traffic that the new version receives.
	share float64
	route int
	zone  int
	// onset is a random number in [0, 1), fixed for each run, that sets when a
	// delayed fault begins.
	onset float64
}

// versionModel is a model of a new version by its probability of bad outcomes.
type versionModel struct {
	name string
	good bool
	// rate is the number of requests per second, 0 for defaultRate.
	rate float64
	// oldBad is the probability of a bad outcome at the old version, 0 for
	// defaultBad.
	oldBad float64
	// bad returns the probability of a bad outcome at the new version.
	bad func(s conditions) float64
	// misreported is the fraction of the bad outcomes that is reported as good.
	misreported float64
}

const (
	// defaultRate is in requests per second.
	defaultRate = 20.0
	// defaultBad is the probability of a bad outcome.
	defaultBad   = 0.005
	moveDuration = 4 * time.Hour
	stepInterval = 2 * time.Second
	zoneCount    = 4
)

// routeShares are the fractions of the traffic on each of five routes, one per
// team.
var routeShares = []float64{0.40, 0.30, 0.15, 0.10, 0.05}

// always returns one probability for all conditions.
func always(p float64) func(conditions) float64 { return func(conditions) float64 { return p } }

// when returns the probability p while the condition holds and defaultBad
// otherwise.
func when(condition func(s conditions) bool, p float64) func(conditions) float64 {
	return func(s conditions) float64 {
		if condition(s) {
			return p
		}
		return defaultBad
	}
}

var versionModels = []versionModel{
	{name: "good", good: true, bad: always(defaultBad)},
	{name: "good, 5% slower within target", good: true, bad: always(0.006)},
	{name: "good, low traffic", good: true, rate: 1, bad: always(defaultBad)},
	{name: "good, noisy old version", good: true, oldBad: 0.05, bad: always(defaultBad)},
	{name: "failing from the start", bad: always(0.6)},
	{name: "slow from the start", bad: always(0.3)},
	{name: "failing later", bad: when(func(s conditions) bool { return s.progress > 0.1+0.5*s.onset }, 0.6)},
	{name: "slow under load only", bad: when(func(s conditions) bool { return s.share >= 0.25 }, 0.25)},
	{name: "failing on one route only", bad: when(func(s conditions) bool { return s.route == 3 }, 0.5)},
	{name: "crashing on some requests", bad: always(0.035)},
	{name: "bad outcomes partly reported as good", bad: always(0.15), misreported: 0.5},
	{name: "bad in one zone", bad: when(func(s conditions) bool { return s.zone == 0 }, 0.3)},
}

// moveRun is the outcome of one simulated move.
type moveRun struct {
	done       bool
	rolledBack bool
	requests   float64
	// toNew counts the requests that the new version received, failed those of
	// them with a bad outcome, reported or not.
	toNew  float64
	failed float64
}

// policy decides which share of the traffic a new version receives, by the
// outcomes so far.
type policy interface {
	// nextShare returns the share from now on.
	nextShare(now time.Time, routes []operator.Comparison) float64
	verdict() operator.Verdict
}

// operatorPolicy is the system's own policy, as core/operator implements it.
type operatorPolicy struct {
	state operator.MoveState
	rule  operator.MoveRule
}

func newOperatorPolicy(now time.Time) policy {
	rule := operator.MoveRule{Service: "s", From: "v1", To: "v2", By: now.Add(moveDuration), OnDeadline: operator.DeadlineRollback}
	return &operatorPolicy{state: operator.StartMove(now, "m", rule, operator.Source{}), rule: rule}
}

func (p *operatorPolicy) nextShare(now time.Time, routes []operator.Comparison) float64 {
	evidence := operator.NewEvidence(append([]operator.Comparison{}, routes...))
	if next, changed := p.state.Next(now, "x", p.rule, evidence, ""); changed {
		p.state = next
	}
	return p.state.Share()
}

func (p *operatorPolicy) verdict() operator.Verdict { return p.state.Verdict }

// canary is the baseline: fixed shares at fixed times, rolled back when more
// than 5% of the new version's outcomes within five minutes are bad.
type canary struct {
	started time.Time
	outcome operator.Verdict
	history []operator.Tally
}

const (
	// canaryMaxBad is the fraction of bad outcomes above which the canary rolls
	// back, canaryMinOutcomes the number of outcomes that it requires for this.
	canaryMaxBad = 0.05
	// canaryWindowSteps is the number of steps in which it counts outcomes.
	canaryWindowSteps = int(5 * time.Minute / stepInterval)
	canaryMinOutcomes = 20
)

var canaryShares = []float64{0.10, 0.25, 0.50, 1}

func (c *canary) nextShare(now time.Time, routes []operator.Comparison) float64 {
	var sum operator.Tally
	for _, r := range routes {
		sum = sum.Add(r.New)
	}
	c.history = append(c.history, sum)
	if c.outcome == operator.VerdictRolledBack {
		return 0
	}
	from := c.history[max(0, len(c.history)-canaryWindowSteps)]
	good, bad := sum.Good-from.Good, sum.Bad-from.Bad
	if n := good + bad; n >= canaryMinOutcomes && float64(bad)/float64(n) > canaryMaxBad {
		c.outcome = operator.VerdictRolledBack
		return 0
	}
	stage := int(float64(len(canaryShares)) * float64(now.Sub(c.started)) / float64(moveDuration))
	if stage >= len(canaryShares) {
		c.outcome = operator.VerdictDone
		return 1
	}
	return canaryShares[stage]
}

func (c *canary) verdict() operator.Verdict { return c.outcome }

// simulate runs one move to a version of the given model. The policy sees the
// counts of outcomes with the given lag.
func simulate(m versionModel, p policy, start time.Time, seed uint64, lag time.Duration) moveRun {
	rng := rand.New(rand.NewPCG(seed, 99))
	rate, oldBad := m.rate, m.oldBad
	if rate == 0 {
		rate = defaultRate
	}
	if oldBad == 0 {
		oldBad = defaultBad
	}
	routes := make([]operator.Comparison, len(routeShares))
	for i := range routes {
		routes[i].Route = strconv.Itoa(i)
	}
	delayed := newDelayedCounts(int(lag/stepInterval), routes)
	onset := rng.Float64()
	var run moveRun
	share := 0.0
	for at := time.Duration(0); at <= moveDuration; at += stepInterval {
		share = p.nextShare(start.Add(at), delayed.visible())
		for i, fraction := range routeShares {
			n := poisson(rng, rate*fraction*stepInterval.Seconds())
			s := conditions{progress: at.Seconds() / moveDuration.Seconds(), share: share, route: i, onset: onset}
			run.add(rng, &routes[i], m, s, oldBad, n)
		}
		delayed.push(routes)
	}
	// The last decision, at the deadline, sees all outcomes without lag.
	p.nextShare(start.Add(moveDuration), routes)
	run.done = p.verdict() == operator.VerdictDone
	run.rolledBack = p.verdict() == operator.VerdictRolledBack
	return run
}

// add simulates n requests on a route.
func (r *moveRun) add(rng *rand.Rand, c *operator.Comparison, m versionModel, s conditions, oldBad float64, n int) {
	for range n {
		r.requests++
		if rng.Float64() >= s.share {
			count(&c.Old, rng.Float64() < oldBad)
			continue
		}
		s.zone = rng.IntN(zoneCount)
		r.toNew++
		bad := rng.Float64() < m.bad(s)
		if bad {
			r.failed++
		}
		count(&c.New, bad && rng.Float64() >= m.misreported)
	}
}

func count(t *operator.Tally, bad bool) {
	if bad {
		t.Bad++
		return
	}
	t.Good++
}

func poisson(rng *rand.Rand, mean float64) int {
	n, p, limit := 0, rng.Float64(), math.Exp(-mean)
	for p > limit {
		n++
		p *= rng.Float64()
	}
	return n
}

// delayedCounts returns counts of outcomes a number of steps late.
type delayedCounts struct {
	steps   int
	history [][]operator.Comparison
}

func newDelayedCounts(steps int, routes []operator.Comparison) *delayedCounts {
	d := &delayedCounts{steps: steps}
	for range steps + 1 {
		d.push(routes)
	}
	return d
}

func (d *delayedCounts) push(routes []operator.Comparison) {
	d.history = append(d.history, append([]operator.Comparison{}, routes...))
	if len(d.history) > d.steps+1 {
		d.history = d.history[1:]
	}
}

func (d *delayedCounts) visible() []operator.Comparison { return d.history[0] }

// MoveRow is a row of the table: the means over all seeds for one version model
// and policy.
type MoveRow struct {
	// Kind is the name of the version model, Good is set if its version is good.
	Kind   string
	Good   bool
	Policy string
	// Done and RolledBack are the fractions of the runs that ended so.
	Done       float64
	RolledBack float64
	// NewShare is the fraction of all requests that the new version received.
	NewShare float64
	// Failed is the number of requests per run with a bad outcome at the new
	// version.
	Failed float64
}

// Moves simulates moves to all version models under the system's own policy and
// under the baseline.
func Moves(seeds int, lag time.Duration) []MoveRow {
	start := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	policies := []struct {
		name string
		make func() policy
	}{
		{"monsoonlanding", func() policy { return newOperatorPolicy(start) }},
		{"time-stepped canary", func() policy { return &canary{started: start} }},
	}
	var rows []MoveRow
	for _, m := range versionModels {
		for _, p := range policies {
			row := MoveRow{Kind: m.name, Good: m.good, Policy: p.name}
			for seed := range seeds {
				row.add(simulate(m, p.make(), start, uint64(seed), lag), float64(seeds))
			}
			rows = append(rows, row)
		}
	}
	return rows
}

func (r *MoveRow) add(run moveRun, seeds float64) {
	if run.done {
		r.Done += 1 / seeds
	}
	if run.rolledBack {
		r.RolledBack += 1 / seeds
	}
	r.NewShare += run.toNew / run.requests / seeds
	r.Failed += run.failed / seeds
}

// WriteMoves writes the rows as CSV.
func WriteMoves(w io.Writer, rows []MoveRow) error {
	out := csv.NewWriter(w)
	_ = out.Write([]string{"kind", "good", "policy", "done", "rolled_back", "share_of_traffic", "failed_requests"})
	for _, r := range rows {
		_ = out.Write([]string{
			r.Kind, strconv.FormatBool(r.Good), r.Policy, fmt.Sprintf("%.3f", r.Done),
			fmt.Sprintf("%.3f", r.RolledBack), fmt.Sprintf("%.5f", r.NewShare), fmt.Sprintf("%.1f", r.Failed),
		})
	}
	out.Flush()
	if err := out.Error(); err != nil {
		return errors.Wrap(err, "write moves")
	}
	return nil
}
