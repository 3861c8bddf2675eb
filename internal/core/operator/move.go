package operator

import (
	"fmt"
	"math"
	"sort"
	"time"
)

// Verdict is the final result of a move. It never changes once it is set.
type Verdict string

// Verdicts on a move. VerdictNone means that the move is in progress.
const (
	VerdictNone       Verdict = ""
	VerdictDone       Verdict = "done"
	VerdictRolledBack Verdict = "rolled_back"
)

// MoveState is the state of a move as stored in the platform's object API.
type MoveState struct {
	Name    string  `cbor:"1,keyasint" json:"name"`
	Service string  `cbor:"2,keyasint" json:"service"`
	From    string  `cbor:"3,keyasint" json:"from"`
	To      string  `cbor:"4,keyasint" json:"to"`
	Stage   int     `cbor:"5,keyasint" json:"stage"`
	Verdict Verdict `cbor:"6,keyasint" json:"verdict"`
	// Revision is the number of changes so far; of two states, the one with the
	// higher revision is current.
	Revision     uint64    `cbor:"7,keyasint" json:"step"`
	Started      time.Time `cbor:"8,keyasint" json:"started"`
	StageStarted time.Time `cbor:"9,keyasint" json:"stage_from"`
	// Reason is the reason for the last change, as one sentence.
	Reason string `cbor:"10,keyasint" json:"why"`
	// Rule is the line that requested the move and Comment is its comment.
	Rule      string     `cbor:"11,keyasint" json:"rule"`
	Comment   string     `cbor:"12,keyasint" json:"comment"`
	Decisions []Decision `cbor:"13,keyasint" json:"decisions"`
	// Boost multiplies the stage's share if traffic is low. BoostChanged is the
	// time of its last change.
	Boost        float64   `cbor:"14,keyasint" json:"boost"`
	BoostChanged time.Time `cbor:"15,keyasint" json:"boost_from"`
}

// Decision is an entry of a move's history. By is the node that decided, and
// Share is the new version's share after the decision.
type Decision struct {
	At     time.Time `cbor:"1,keyasint" json:"at"`
	By     string    `cbor:"2,keyasint" json:"by"`
	Share  float64   `cbor:"3,keyasint" json:"share"`
	Reason string    `cbor:"4,keyasint" json:"why"`
}

// stage is a share of traffic and the conditions for advancing to the next
// stage.
type stage struct {
	share float64
	// timeShare is the minimum duration of the stage, as a fraction of the time
	// between the start and the deadline of the move.
	timeShare float64
	// confidence is the log-likelihood ratio in favour of the new version that
	// is required to advance.
	confidence float64
}

// stages are the stages of every move. Their time shares leave a quarter of the
// time for collecting evidence.
var stages = []stage{
	{share: 0.01, timeShare: 0.20, confidence: 1.5},
	{share: 0.05, timeShare: 0.15, confidence: 2.5},
	{share: 0.25, timeShare: 0.15, confidence: 4},
	{share: 0.50, timeShare: 0.10, confidence: 5.3},
	{share: 1.00, timeShare: 0.15, confidence: 5.3},
}

const (
	// rollbackRatio is the log-likelihood ratio against the new version at which
	// a move is rolled back; rollbackRouteRatio is that for a single route.
	rollbackRatio      = 5.3
	rollbackRouteRatio = 6.5
	// minBadRate is the rate of bad outcomes that is accepted from every version.
	minBadRate = 0.01
	// equalRateFactor, multiplied by the old version's rate of bad outcomes, is
	// the rate up to which the new version counts as equally good.
	equalRateFactor = 1.3
	// badRateFactor and badRateOffset derive the rate of bad outcomes of a bad
	// version from the rate that counts as equally good.
	badRateFactor = 2
	badRateOffset = 0.03
	// maxBoostsPerStage bounds the number of times that a share is doubled
	// within the minimum duration of its stage.
	maxBoostsPerStage = 4
	// minConfidenceFactor is the lower bound of confidenceFactor, the fraction
	// of a stage's confidence that is required.
	minConfidenceFactor = 0.3
	// priorCount is the weight of minBadRate in the old version's rate, as a
	// number of outcomes.
	priorCount = 50
	// maxDecisions bounds the number of decisions stored with a move.
	maxDecisions = 50
)

// Tally counts the outcomes of one version.
type Tally struct {
	Good uint64 `json:"good"`
	// Bad counts failed and late outcomes.
	Bad uint64 `json:"bad"`
}

// Add returns the sum of two tallies.
func (t Tally) Add(o Tally) Tally { return Tally{Good: t.Good + o.Good, Bad: t.Bad + o.Bad} }

// Comparison holds the outcomes of both versions on one route, or on all routes
// together.
type Comparison struct {
	Route string `json:"route"`
	Old   Tally  `json:"old"`
	New   Tally  `json:"new"`
}

// Ratio returns the log-likelihood ratio of a sequential probability ratio test.
// It is positive if the new version is more likely to be bad than as good as the
// old one.
func (c Comparison) Ratio() float64 {
	equal := c.equalRate()
	// The caps of both rates keep the logarithm of 1-rate finite.
	bad := math.Min(equal*badRateFactor+badRateOffset, 0.95)
	if equal >= bad {
		return 0
	}
	return float64(c.New.Bad)*math.Log(bad/equal) + float64(c.New.Good)*math.Log((1-bad)/(1-equal))
}

// equalRate returns the rate of bad outcomes up to which the new version counts
// as equally good as the old one.
func (c Comparison) equalRate() float64 {
	total := float64(c.Old.Good + c.Old.Bad)
	old := (float64(c.Old.Bad) + minBadRate*priorCount) / (total + priorCount)
	return math.Min(math.Max(old*equalRateFactor, minBadRate), 0.9)
}

func (c Comparison) String() string {
	return fmt.Sprintf("%d of %d bad against %d of %d", c.New.Bad, c.New.Bad+c.New.Good, c.Old.Bad, c.Old.Bad+c.Old.Good)
}

// Evidence holds the outcomes that all nodes have counted in a move.
type Evidence struct {
	All    Comparison   `json:"all"`
	Routes []Comparison `json:"routes"`
}

// NewEvidence returns the evidence of the given routes with their sum. It sorts
// routes by name.
func NewEvidence(routes []Comparison) Evidence {
	e := Evidence{All: Comparison{Route: "all"}, Routes: routes}
	sort.Slice(e.Routes, func(i, j int) bool { return e.Routes[i].Route < e.Routes[j].Route })
	for _, r := range routes {
		e.All.Old = e.All.Old.Add(r.Old)
		e.All.New = e.All.New.Add(r.New)
	}
	return e
}

// RollbackReason returns the reason to roll the new version back, if there is
// one.
func (e Evidence) RollbackReason() (string, bool) {
	if e.All.Ratio() >= rollbackRatio {
		return "the new version is worse: " + e.All.String(), true
	}
	for _, r := range e.Routes {
		if r.Ratio() >= rollbackRouteRatio {
			return fmt.Sprintf("the new version is worse on route %s: %s", r.Route, r), true
		}
	}
	return "", false
}

// StartMove returns the state of a move that starts now.
func StartMove(now time.Time, name string, rule MoveRule, src Source) MoveState {
	return MoveState{
		Name: name, Service: rule.Service, From: rule.From, To: rule.To, Revision: 1,
		Started: now, StageStarted: now, Boost: 1, BoostChanged: now, Rule: src.rule, Comment: src.comment,
		Reason: "started",
	}
}

// Share returns the fraction of the service's new requests that the new version
// receives.
func (s MoveState) Share() float64 {
	switch s.Verdict {
	case VerdictDone:
		return 1
	case VerdictRolledBack:
		return 0
	}
	return math.Min(stages[min(s.Stage, len(stages)-1)].share*math.Max(s.Boost, 1), 1)
}

// Next returns the state that follows from the evidence, and false if nothing
// changes. stopReason is the reason for which a node stopped the new version, or
// empty if none did.
func (s MoveState) Next(now time.Time, by string, rule MoveRule, e Evidence, stopReason string) (MoveState, bool) {
	if s.Verdict != VerdictNone {
		return s, false
	}
	if stopReason != "" {
		return s.end(now, by, VerdictRolledBack, stopReason), true
	}
	if reason, bad := e.RollbackReason(); bad {
		return s.end(now, by, VerdictRolledBack, reason), true
	}
	if !now.Before(rule.By) {
		return s.endAtDeadline(now, by, rule, e), true
	}
	if s.lacksEvidence(now, rule, e) {
		next := s
		next.Boost *= 2
		next.BoostChanged = now
		next.record(now, by, "little traffic, the share is doubled: "+e.All.String())
		return next, true
	}
	if !s.canAdvance(now, rule, e) {
		return s, false
	}
	if s.Stage == len(stages)-1 {
		return s.end(now, by, VerdictDone, "the new version held at all shares: "+e.All.String()), true
	}
	next := s
	next.Stage++
	next.StageStarted = now
	next.Boost, next.BoostChanged = 1, now
	next.record(now, by, "as good as the old version: "+e.All.String())
	return next, true
}

// endAtDeadline ends a move that is undecided at its deadline, as its rule
// requires.
func (s MoveState) endAtDeadline(now time.Time, by string, rule MoveRule, e Evidence) MoveState {
	if rule.OnDeadline == DeadlineFinish {
		return s.end(now, by, VerdictDone, "the deadline came first and the rule says finish: "+e.All.String())
	}
	return s.end(now, by, VerdictRolledBack, "the deadline came first and the rule says rollback: "+e.All.String())
}

// canAdvance reports whether the stage has reached its minimum duration and the
// required confidence.
func (s MoveState) canAdvance(now time.Time, rule MoveRule, e Evidence) bool {
	st := stages[s.Stage]
	minDuration := s.minDuration(rule)
	return now.Sub(s.StageStarted) >= minDuration && e.All.Ratio() <= -st.confidence*s.confidenceFactor(now, rule)
}

// lacksEvidence reports whether evidence in favour of the new version comes too
// slowly to advance in time, so that the share should be doubled. It returns
// false if the doubled share would reach that of the stage after the next one,
// or if the evidence is halfway to a rollback.
func (s MoveState) lacksEvidence(now time.Time, rule MoveRule, e Evidence) bool {
	if s.Stage >= len(stages)-2 || 2*s.Share() >= stages[s.Stage+2].share {
		return false
	}
	minDuration := s.minDuration(rule)
	ratio := e.All.Ratio()
	if now.Sub(s.BoostChanged) < minDuration/maxBoostsPerStage || ratio >= rollbackRatio/2 {
		return false
	}
	expected := stages[s.Stage].confidence * float64(now.Sub(s.StageStarted)) / float64(minDuration)
	return -ratio < expected
}

// minDuration returns the minimum duration of the current stage.
func (s MoveState) minDuration(rule MoveRule) time.Duration {
	return time.Duration(stages[s.Stage].timeShare * float64(rule.By.Sub(s.Started)))
}

// confidenceFactor returns the fraction of the current stage's confidence that
// is required. It is below 1 if the time left is shorter than the minimum
// duration of the remaining stages. That happens if traffic is low, and a larger
// share then puts few requests at risk.
func (s MoveState) confidenceFactor(now time.Time, rule MoveRule) float64 {
	planned := 0.0
	for _, st := range stages[s.Stage:] {
		planned += st.timeShare
	}
	left := float64(rule.By.Sub(now)) / float64(rule.By.Sub(s.Started))
	return min(max(left/planned, minConfidenceFactor), 1)
}

func (s MoveState) end(now time.Time, by string, v Verdict, reason string) MoveState {
	s.Verdict = v
	s.record(now, by, reason)
	return s
}

func (s *MoveState) record(now time.Time, by, reason string) {
	s.Revision++
	s.Reason = reason
	recent := s.Decisions[max(0, len(s.Decisions)-maxDecisions+1):]
	s.Decisions = append(append([]Decision{}, recent...), Decision{At: now, By: by, Share: s.Share(), Reason: reason})
}

// Summary returns the status of the move as one sentence for operators.
func (s MoveState) Summary(now time.Time, rule MoveRule, e Evidence) string {
	switch s.Verdict {
	case VerdictDone:
		return fmt.Sprintf("done: %s gets version %s; %s", s.Service, s.To, s.Reason)
	case VerdictRolledBack:
		return fmt.Sprintf("rolled back: %s stays on version %s; %s", s.Service, s.From, s.Reason)
	}
	return fmt.Sprintf("%.0f%% of %s get version %s; %s; %s left", 100*s.Share(), s.Service, s.To, s.waitReason(now, rule, e), rule.By.Sub(now).Round(time.Second))
}

// waitReason returns the reason why the move stays in its stage.
func (s MoveState) waitReason(now time.Time, rule MoveRule, e Evidence) string {
	st := stages[s.Stage]
	if e.All.Ratio() > -st.confidence*s.confidenceFactor(now, rule) {
		return "waiting for evidence, " + e.All.String()
	}
	minDuration := s.minDuration(rule)
	return fmt.Sprintf("the stage lasts another %s", max(minDuration-now.Sub(s.StageStarted), 0).Round(time.Second))
}
