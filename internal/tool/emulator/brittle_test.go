package emulator

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// brittlePattern lets the upstreams of a service say for half a minute that they are brittle,
// while there is more to do than they can.
func brittlePattern(service string, rejections float64) Pattern {
	kinds := typicalMix(1)
	for i := range kinds {
		if plain := kinds[i].SharedTokens == 0; plain == (service == plainService) {
			kinds[i].Rate *= 2
		} else {
			kinds[i].Rate /= 4
		}
	}
	return Pattern{
		Name: "brittle", Length: 45 * time.Second, Kinds: kinds,
		// Three plain upstreams serve 300 requests a second, 40 arrive.
		RateFactor: func(at time.Duration, route string) float64 {
			switch {
			case at < 16*time.Second || at >= 30*time.Second:
				return 1
			case route == "book":
				return 12
			default:
				return 3
			}
		},
		Brittle: &BrittleUpstreams{Service: service, Rejections: rejections, From: 8 * time.Second, To: 40 * time.Second},
	}
}

// TestBrittleUpstreamsDoNotFall: upstreams that say that they are brittle were offered what
// they have no room for, by all nodes, and fell over (LIMIT).
func TestBrittleUpstreamsDoNotFall(t *testing.T) {
	for _, row := range []struct {
		name       string
		service    string
		rejections float64
		change     func(*Setup, *Pattern)
	}{
		{"plain", plainService, 4, nil},
		{"plain, hardly any", plainService, 1, nil},
		{"plain, many nodes", plainService, 4, func(s *Setup, _ *Pattern) { s.Nodes = 40 }},
		{"plain, eager retries", plainService, 4, func(_ *Setup, p *Pattern) { p.CallerRetries = 3 }},
		{"plain, callers at few nodes", plainService, 4, func(_ *Setup, p *Pattern) { p.PickNode = Shift().PickNode }},
		{"plain, nodes restart", plainService, 4, func(_ *Setup, p *Pattern) { p.RestartAt = 20 * time.Second }},
		{"plain, partition", plainService, 4, func(_ *Setup, p *Pattern) {
			p.PartitionedNodes, p.PartitionAt, p.PartitionDuration = 2, 18*time.Second, 5*time.Second
		}},
		{"engines", modelService, 4, nil},
		{"engines, many nodes", modelService, 4, func(s *Setup, _ *Pattern) { s.Nodes = 40 }},
	} {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			for seed := range *plays {
				setup, p := DefaultSetup(seed+1), brittlePattern(row.service, row.rejections)
				if row.change != nil {
					row.change(&setup, &p)
				}
				r := Run(setup, p)
				c.Check(r.Violations, qt.HasLen, 0, qt.Commentf("seed %d", seed+1))
				t.Logf("seed %d: %v", seed+1, r.Kinds["book"])
			}
		})
	}
}

// TestBrittleUpstreamsAreUsed: within what brittle upstreams bear, callers are served as usual,
// wherever they are.
func TestBrittleUpstreamsAreUsed(t *testing.T) {
	for name, change := range map[string]func(*Setup, *Pattern){
		"evenly":     func(*Setup, *Pattern) {},
		"few nodes":  func(_ *Setup, p *Pattern) { p.PickNode = Shift().PickNode },
		"many nodes": func(s *Setup, _ *Pattern) { s.Nodes = 40 },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			setup, p := DefaultSetup(1), Steady()
			p.Brittle = &BrittleUpstreams{Service: plainService, Rejections: 4, From: 5 * time.Second, To: 28 * time.Second}
			change(&setup, &p)
			r := Run(setup, p)
			qt.Check(t, r.Violations, qt.HasLen, 0)
			served := r.Kinds["book"].InTimeFraction()
			qt.Check(t, served >= 0.97, qt.IsTrue, qt.Commentf("%.3f", served))
		})
	}
}
