package main

import (
	"math"
	"math/rand/v2"
	"slices"
)

// span is the range of a factor, from 1/most to most, drawn evenly by its
// logarithm.
type span float64

const (
	// sizeSpan is for numbers of VMs, upstreams and teams.
	sizeSpan span = 2
	// speedSpan is for slots, memory and speed of upstreams.
	speedSpan span = 1.6
	// boundSpan is for the operators' bounds.
	boundSpan span = 1.6
	// priceSpan is for prices.
	priceSpan span = 3
	// rateSpan is for callers' requests per second.
	rateSpan span = 1.4
	// delaySpan is for the delays of links.
	delaySpan span = 3
)

// fixed are bounds that are no amounts, or that tie others together.
var fixed = []string{"touch_ms", "ack_ms", "outer_ms", "grace_s", "stay"}

// variation draws the factors of one copy.
type variation struct{ rng *rand.Rand }

func newVariation(seed uint64) *variation {
	return &variation{rng: rand.New(rand.NewPCG(seed, 0))}
}

// apply changes a decoded site file.
func (v *variation) apply(site map[string]any) {
	v.counts(tables(site["machines"]), sizeSpan)
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
	v.counts(tables(service["servers"]), sizeSpan)
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

// counts scales the numbers of things of each entry, which stay 1 or more.
func (v *variation) counts(entries []map[string]any, most span) {
	factor := v.factor(most)
	for _, entry := range entries {
		scaleBy(entry, "count", factor)
	}
}

// scaleAll scales each amount of a table apart.
func (v *variation) scaleAll(t map[string]any, most span) {
	names := make([]string, 0, len(t))
	for name := range t {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		if !slices.Contains(fixed, name) {
			v.scale(t, name, most)
		}
	}
}

func (v *variation) scale(t map[string]any, name string, most span) {
	scaleBy(t, name, v.factor(most))
}

func (v *variation) factor(most span) float64 {
	return math.Pow(float64(most), 2*v.rng.Float64()-1)
}

// scaleRates scales the requests per second, and with them the callers.
func scaleRates(traffic []map[string]any, factor float64) {
	for _, t := range traffic {
		scaleBy(t, "per_s", factor)
		scaleBy(t, "clients", factor)
	}
}

// scaleBy scales an amount; whole numbers stay whole and 1 or more.
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

// table returns a decoded table, nil where there is none.
func table(x any) map[string]any {
	t, _ := x.(map[string]any)
	return t
}

// tables returns the tables of a decoded array.
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
