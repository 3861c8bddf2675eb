package main

import (
	"math"
	"math/rand/v2"
	"slices"
)

// span is the largest random factor. Factors are drawn from 1/span to span,
// uniformly on a logarithmic scale.
type span float64

const (
	// sizeSpan applies to the numbers of VMs, upstreams and teams.
	sizeSpan span = 2
	// speedSpan applies to slots, queues, memory, speed and start time of
	// upstreams, and to their spot prices.
	speedSpan span = 1.6
	// boundSpan applies to the operators' bounds.
	boundSpan span = 1.6
	// priceSpan applies to the table of prices.
	priceSpan span = 3
	// rateSpan applies to the request rates and the numbers of callers.
	rateSpan span = 1.4
	// delaySpan applies to the delays of network links.
	delaySpan span = 3
)

// fixed lists the bounds that are not scaled, because they are not quantities or
// because other bounds depend on them.
var fixed = []string{"touch_ms", "ack_ms", "outer_ms", "grace_s", "stay"}

// variation draws the random factors of one variation.
type variation struct{ rng *rand.Rand }

func newVariation(seed uint64) *variation {
	return &variation{rng: rand.New(rand.NewPCG(seed, 0))}
}

// apply scales the numbers of a decoded site file in place.
func (v *variation) apply(site map[string]any) {
	v.scaleCounts(tables(site["machines"]), sizeSpan)
	for _, service := range tables(site["services"]) {
		v.service(service)
	}
	v.scaleAll(table(site["bounds"]), boundSpan)
	v.scaleAll(table(site["prices"]), priceSpan)
	v.scaleAll(table(site["net"]), delaySpan)
	v.scale(table(site["tenants"]), "count", sizeSpan)
	v.scale(table(site["tenants"]), "floor_per_s", rateSpan)
	rate := v.factor(rateSpan)
	scaleRates(tables(site["traffic"]), rate)
	for _, day := range tables(site["day"]) {
		scaleRates(tables(day["traffic"]), rate)
	}
}

func (v *variation) service(service map[string]any) {
	v.scaleCounts(tables(service["servers"]), sizeSpan)
	for _, name := range []string{"slots", "queue", "conn_cap"} {
		v.scale(service, name, speedSpan)
	}
	engine := table(service["llm"])
	for _, name := range []string{"prefill_tokens_per_ms", "kv_tokens", "step_ms", "report_lag_ms"} {
		v.scale(engine, name, speedSpan)
	}
	scale := table(service["scale"])
	v.scale(scale, "boot_s", speedSpan)
	v.scale(scale, "spot_price", speedSpan)
}

// scaleCounts scales the counts of all entries by one factor; each stays at
// least 1.
func (v *variation) scaleCounts(entries []map[string]any, s span) {
	factor := v.factor(s)
	for _, entry := range entries {
		scaleBy(entry, "count", factor)
	}
}

// scaleAll scales each number of a table by its own factor, except those in
// fixed. The names are sorted so that a seed always gives the same result.
func (v *variation) scaleAll(t map[string]any, s span) {
	names := make([]string, 0, len(t))
	for name := range t {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		if !slices.Contains(fixed, name) {
			v.scale(t, name, s)
		}
	}
}

func (v *variation) scale(t map[string]any, name string, s span) {
	scaleBy(t, name, v.factor(s))
}

func (v *variation) factor(s span) float64 {
	return math.Pow(float64(s), 2*v.rng.Float64()-1)
}

// scaleRates scales the request rates and the numbers of callers by the same
// factor.
func scaleRates(traffic []map[string]any, factor float64) {
	for _, t := range traffic {
		scaleBy(t, "per_s", factor)
		scaleBy(t, "clients", factor)
	}
}

// scaleBy scales a number; positive integers stay integers and at least 1.
func scaleBy(t map[string]any, name string, factor float64) {
	switch x := t[name].(type) {
	case int64:
		if x > 0 {
			t[name] = max(1, int64(math.Round(float64(x)*factor)))
		}
	case float64:
		t[name] = x * factor
	}
}

// table returns x as a decoded table, or nil if it is none.
func table(x any) map[string]any {
	t, _ := x.(map[string]any)
	return t
}

// tables returns the tables in the decoded array x.
func tables(x any) []map[string]any {
	var out []map[string]any
	entries, _ := x.([]any)
	for _, entry := range entries {
		if t := table(entry); t != nil {
			out = append(out, t)
		}
	}
	return out
}
