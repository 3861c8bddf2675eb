package quarantine

import "time"

const (
	// minProbeInterval is the time after the last crash until a request with a
	// quarantined trait is let through. It doubles with each further crash, up to
	// maxProbeInterval.
	minProbeInterval = time.Minute
	maxProbeInterval = 10 * time.Minute
	// probeTimeout is the time after which a probe without result is repeated.
	probeTimeout = 15 * time.Second
)

// Admission is the decision on a request.
type Admission string

// Decisions on requests.
const (
	Admitted Admission = "admitted"
	// AdmittedAsProbe: the request has a quarantined trait and is to show whether
	// that is sound.
	AdmittedAsProbe Admission = "probe"
	Refused         Admission = "refused"
)

// Admit decides whether a request with the traits may reach an upstream. mayProbe
// reports whether this node may let a single request with a trait through when a
// probe is due.
func (r *Register) Admit(now time.Time, traits []Trait, mayProbe func(Trait) bool) Admission {
	var due []*entry
	for _, t := range traits {
		e := r.entries[t]
		if e == nil || !e.quarantined {
			continue
		}
		if !e.probeDue(now) || !mayProbe(t) {
			return Refused
		}
		due = append(due, e)
	}
	if len(due) == 0 {
		return Admitted
	}
	for _, e := range due {
		e.probeSentAt = now
	}
	return AdmittedAsProbe
}

// Refuses reports whether a request with the traits may not reach an upstream, a
// probe aside.
func (r *Register) Refuses(traits []Trait) bool {
	for _, t := range traits {
		if e := r.entries[t]; e != nil && e.quarantined {
			return true
		}
	}
	return false
}

func (e *entry) probeDue(now time.Time) bool {
	if !e.probeSentAt.IsZero() && now.Sub(e.probeSentAt) < probeTimeout {
		return false
	}
	interval := minProbeInterval
	for n := e.trait.crashesNeeded(); n < len(e.crashes) && interval < maxProbeInterval; n++ {
		interval *= 2
	}
	return now.Sub(e.lastCrash()) >= min(interval, maxProbeInterval)
}

// Quarantined returns the number of crashes for each quarantined trait.
func (r *Register) Quarantined() map[Trait]int {
	held := make(map[Trait]int)
	for t, e := range r.entries {
		if e.quarantined {
			held[t] = len(e.crashes)
		}
	}
	return held
}
