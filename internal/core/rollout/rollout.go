package rollout

import "time"

// State is what the platform is told of a roll-out.
type State string

// States of roll-outs.
const (
	StateActive   State = "active"
	StateComplete State = "complete"
	StateReverted State = "reverted"
)

// Order asks for a service's traffic to be moved to a version.
type Order struct {
	Service string
	Target  string
	Within  time.Duration
	// State is the one written for this target, empty or active before the end.
	State State
	// Revision is the object's in the store.
	Revision int64
}

// Open reports whether the roll-out has no verdict yet.
func (o Order) Open() bool { return o.State != StateComplete && o.State != StateReverted }

// Evidence counts the answers of a version.
type Evidence struct {
	Good int64
	// Failed and Late answers, which began late or far later than usual, are
	// told apart, as all versions are late when the service is short of
	// upstreams, which hides failures in a sum.
	Failed, Late int64
}

// Total returns the number of answers.
func (e Evidence) Total() int64 { return e.Good + e.Failed + e.Late }

// share returns the part that n of the answers are.
func (e Evidence) share(n int64) float64 {
	return float64(n) / float64(max(e.Total(), 1))
}

// View is what is known of a roll-out.
type View struct {
	// Ordered is when the order was first seen.
	Ordered time.Time
	Within  time.Duration
	// New and Old are the answers of the two versions since then, at all nodes.
	New, Old Evidence
}

// Step is what is to be done now.
type Step struct {
	// Share of the requests that go to the new version.
	Share float64
	// Verdict is empty until there is one.
	Verdict State
}

const (
	// trialShare is the new version's share until the end nears; a bad version
	// may get a tenth of the requests in all.
	trialShare = 0.05
	// leastEvidence is the number of answers without which no version is taken.
	leastEvidence = 20
	// unknownShare is the new version's share when the time is nearly over and
	// too little is known of it.
	unknownShare = 0.3
	// switchTime before the end of the time given, all traffic goes over.
	switchTime = 1800 * time.Millisecond
	// verdictTime before its end the verdict is written.
	verdictTime = 800 * time.Millisecond
	// exposeShare of all answers may be the new version's once traffic has
	// gone over; beyond that the verdict is written at once.
	exposeShare = 0.09
	// leastFailed and leastLate are the numbers of answers that can condemn a
	// version.
	leastFailed = 4
	leastLate   = 6
	// failedMargin, lateMargin and factor say how much worse than the old one
	// it has to be.
	failedMargin = 0.05
	lateMargin   = 0.2
	factor       = 2.5
)

// Next returns what is to be done with an open roll-out.
func Next(now time.Time, v View) Step {
	if Condemned(v.New, v.Old) {
		return Step{Verdict: StateReverted}
	}
	left := v.Within - now.Sub(v.Ordered)
	known := v.New.Total() >= leastEvidence
	switch {
	case !known && left <= switchTime:
		return Step{Share: unknownShare}
	case !known:
		return Step{Share: trialShare}
	case left <= verdictTime:
		return Step{Share: 1, Verdict: StateComplete}
	case left <= switchTime && exposed(v) < exposeShare:
		return Step{Share: 1}
	default:
		return Step{Share: trialShare}
	}
}

// exposed returns the new version's share of all answers.
func exposed(v View) float64 {
	return float64(v.New.Total()) / float64(max(v.New.Total()+v.Old.Total(), 1))
}

// Condemned reports whether the new version is clearly worse.
func Condemned(newer, older Evidence) bool {
	return clearly(newer.Failed, leastFailed, newer.share(newer.Failed), older.share(older.Failed), failedMargin) ||
		clearly(newer.Late, leastLate, newer.share(newer.Late), older.share(older.Late), lateMargin)
}

// clearly reports whether n answers, a part of the new version's, are enough
// and so many more than the old one's part that chance does not explain it.
func clearly(n, least int64, newer, older, margin float64) bool {
	return n >= least && newer > older+margin && newer > factor*older
}
