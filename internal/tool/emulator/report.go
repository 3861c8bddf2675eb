package emulator

import "monsoonlanding/internal/core/gateway"

// Report is what callers and engines saw.
type Report struct {
	// Kinds is by route, Teams by team; each counts callers, not submissions.
	Kinds, Teams map[string]*Tally
	// Refusals counts refused submissions by reason.
	Refusals map[gateway.Reason]int
	// RefusedWithRoom counts refusals for overload while half of the slots of
	// all engines were free and no prompt waited anywhere.
	RefusedWithRoom int
	// HeldLongest is the longest time that a submission waited for a refusal,
	// as a part of its goal.
	HeldLongest float64
	// Read counts prompt tokens that engines read, Reread those of shared
	// parts that another engine kept.
	Read, Reread int
	// Broken lists the promises that were not kept.
	Broken []string
	// Seconds counts callers and those in time by the second of their arrival.
	Seconds []Tally
}

// Worth returns the worth of all answers as a part of what they would be worth
// if all were in time.
func (r *Report) Worth() float64 {
	got, owed := 0.0, 0.0
	for _, t := range r.Kinds {
		owed += t.Worth * float64(t.Callers)
		got += t.Worth * (float64(t.InTime) + lateWorth*float64(t.Late))
	}
	return got / max(owed, 1)
}

// Tally counts callers by what became of them.
type Tally struct {
	Callers, InTime, Late, Refused, Failed int
	// Worth is that of an answer in time, where all are of one kind.
	Worth float64
}

// Share returns the part of the callers that were answered in time.
func (t *Tally) Share() float64 {
	if t.Callers == 0 {
		return 1
	}
	return float64(t.InTime) / float64(t.Callers)
}

// All sums the kinds.
func (r *Report) All() Tally {
	var all Tally
	for _, t := range r.Kinds {
		all.Callers += t.Callers
		all.InTime += t.InTime
		all.Late += t.Late
		all.Refused += t.Refused
		all.Failed += t.Failed
	}
	return all
}

// Worst returns the least share in time of any five seconds in a row.
func (r *Report) Worst() float64 {
	const span = 5
	worst := 1.0
	for i := 0; i+span <= len(r.Seconds); i++ {
		var sum Tally
		for _, s := range r.Seconds[i : i+span] {
			sum.Callers += s.Callers
			sum.InTime += s.InTime
		}
		worst = min(worst, sum.Share())
	}
	return worst
}
