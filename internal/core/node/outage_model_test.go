package node

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Models of alternative ways of claiming: the number of bookings that an outage
// of the object API refuses, and the number left open when a node dies during
// it.
const (
	// modelRate is the number of bookings per second.
	modelRate = 5.0
	// modelTimeout is the timeout of a booking.
	modelTimeout = 8 * time.Second
	// modelLease is the duration of a lease and modelRenewal the interval at
	// which it is renewed.
	modelLease   = 10 * time.Second
	modelRenewal = 3 * time.Second
	modelNodes   = 7
	// modelReclaims is the fraction of the nodes that are reclaimed during an
	// outage.
	modelReclaims = 0.41
)

// modelOutcome counts the bookings affected by an outage.
type modelOutcome struct{ refused, unknown int }

// leasedShards models a node that grants claims on its own while it holds the
// lease of its shard.
func leasedShards(outage time.Duration, rng *rand.Rand) modelOutcome {
	var out modelOutcome
	for i := range int(modelRate * outage.Seconds()) {
		at := time.Duration(float64(i) / modelRate * float64(time.Second))
		lease := modelLease - time.Duration(rng.Int64N(int64(modelRenewal)))
		if at > lease && at+modelTimeout < outage {
			out.refused++
		}
	}
	return out
}

// boundKeys models keys that belong to the node that accepted them. Nothing is
// refused, but the outcome of the requests that a node was running when it died
// stays unknown. So does the outcome of every later retry of a key that the node
// had accepted within the retention period.
func boundKeys(outage time.Duration, rng *rand.Rand) modelOutcome {
	var out modelOutcome
	for range int(modelRate * outage.Seconds()) {
		if rng.Float64() < modelReclaims {
			out.unknown++
		}
	}
	return out
}

// witnesses models claims granted by a majority of a fixed set of nodes. With
// 41% of the nodes reclaimed, a set of seven keeps its majority unless more
// than three of its nodes are reclaimed.
func witnesses(outage time.Duration, rng *rand.Rand) modelOutcome {
	var out modelOutcome
	lost := 0
	for range modelNodes {
		if rng.Float64() < modelReclaims {
			lost++
		}
	}
	if lost > modelNodes/2 {
		out.refused = int(modelRate * outage.Seconds())
	}
	return out
}

// BenchmarkOutageAlternatives measures the mean of 1,000 outages for each
// model. 41% of the nodes are reclaimed during each outage.
func BenchmarkOutageAlternatives(b *testing.B) {
	models := map[string]func(time.Duration, *rand.Rand) modelOutcome{
		"leased-shards": leasedShards, "bound-keys": boundKeys, "witnesses": witnesses,
	}
	for name, model := range models {
		for _, outage := range []time.Duration{30 * time.Second, 10 * time.Minute} {
			b.Run(name+"/"+outage.String(), func(b *testing.B) {
				for b.Loop() {
					rng := rand.New(rand.NewPCG(1, 1))
					const rounds = 1000
					var sum modelOutcome
					for range rounds {
						out := model(outage, rng)
						sum.refused += out.refused
						sum.unknown += out.unknown
					}
					b.ReportMetric(float64(sum.refused)/rounds, "refused")
					b.ReportMetric(float64(sum.unknown)/rounds, "unknown-on-resend")
				}
			})
		}
	}
}
