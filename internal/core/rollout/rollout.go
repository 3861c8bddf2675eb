package rollout

import (
	"time"

	"monsoonlanding/internal/core/store"
)

// State is the state of a rollout as published to the platform.
type State string

// States of rollouts.
const (
	StateActive   State = "active"
	StateComplete State = "complete"
	StateReverted State = "reverted"
)

// Order is an operator's order to move a service's traffic to a version.
type Order struct {
	Service string
	// Target is the new version.
	Target string
	// TimeLimit is the time from the order to the deadline.
	TimeLimit time.Duration
	// State is the state stored for this target, empty or active before the
	// verdict.
	State State
	// Revision is the revision of the order's object in the store.
	Revision store.Revision
}

// Open reports whether the rollout has no verdict yet.
func (o Order) Open() bool { return o.State != StateComplete && o.State != StateReverted }

// Evidence counts the answers of a version.
type Evidence struct {
	Good int64
	// Failed and Late are counted separately, because a shortage of upstreams
	// makes answers of all versions late, and a common sum would hide the
	// failures. An answer is late if it began after the route's latency goal or
	// far later than usual, or if its events come far more slowly than usual.
	Failed, Late int64
}

// maxCount bounds each count of answers, so that sums don't overflow.
const maxCount = 1 << 40

// Total returns the number of answers.
func (e Evidence) Total() int64 { return e.Good + e.Failed + e.Late }

// Plus returns the sum of two counts, each of them within its bounds: peers may report any
// number.
func (e Evidence) Plus(other Evidence) Evidence {
	e, other = e.bounded(), other.bounded()
	return Evidence{Good: e.Good + other.Good, Failed: e.Failed + other.Failed, Late: e.Late + other.Late}.bounded()
}

// bounded returns the counts, each at least 0 and at most maxCount.
func (e Evidence) bounded() Evidence {
	bound := func(count int64) int64 { return min(max(count, 0), maxCount) }
	return Evidence{Good: bound(e.Good), Failed: bound(e.Failed), Late: bound(e.Late)}
}

// View is the state of a rollout, the input of Decide.
type View struct {
	// OrderedAt is when the order was received.
	OrderedAt time.Time
	// TimeLimit is the time from the order to the deadline.
	TimeLimit time.Duration
	// New and Old count the answers of the two versions since the order, at all
	// nodes.
	New, Old Evidence
}

// Decision is a decision on a rollout.
type Decision struct {
	// Share is the share of requests that go to the new version.
	Share float64
	// Verdict is StateComplete or StateReverted, or empty if still undecided.
	Verdict State
}

const (
	// trialShare is the new version's share of requests during the trial; a bad
	// version may get at most a tenth of the requests of the whole rollout.
	trialShare = 0.05
	// minAnswers is the minimum number of answers of the new version to complete
	// a rollout.
	minAnswers = 20
	// unprovenShare is the new version's share of requests from provingLead before
	// the deadline on, also past it, while its answers prove too little.
	unprovenShare = 0.3
	provingLead   = 5 * time.Second
	// switchLead is the time before the deadline at which the new version gets
	// all requests.
	switchLead = 1800 * time.Millisecond
	// verdictLead is the time before the deadline at which the rollout is
	// completed.
	verdictLead = 800 * time.Millisecond
	// maxExposure is the new version's share of all answers, before the verdict,
	// from which on it gets only trialShare of the requests. It is below the
	// tenth that a bad version may get.
	maxExposure = 0.09
)

// Decide returns the decision on an open rollout.
func Decide(now time.Time, v View) Decision {
	v.New, v.Old = v.New.bounded(), v.Old.bounded()
	compared := Compare(v.New, v.Old)
	if compared.IsWorse() {
		return Decision{Verdict: StateReverted}
	}
	left := v.TimeLimit - now.Sub(v.OrderedAt)
	proven := v.New.Total() >= minAnswers && compared.IsSound()
	switch {
	case !proven && left <= provingLead && !compared.IsSuspect():
		return Decision{Share: unprovenShare}
	case !proven:
		return Decision{Share: trialShare}
	case left <= verdictLead:
		return Decision{Share: 1, Verdict: StateComplete}
	case left <= switchLead && exposure(v) < maxExposure:
		return Decision{Share: 1}
	default:
		return Decision{Share: trialShare}
	}
}

// exposure returns the new version's share of all answers.
func exposure(v View) float64 {
	return float64(v.New.Total()) / float64(max(v.New.Total()+v.Old.Total(), 1))
}
