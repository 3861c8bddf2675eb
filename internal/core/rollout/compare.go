package rollout

import "gonum.org/v1/gonum/stat/distuv"

const (
	// failedTolerance and lateTolerance are the excess of the new version's
	// fraction of failed or late answers over the old one's that is no reason to
	// revert.
	failedTolerance = 0.02
	lateTolerance   = 0.05
	// maxFailedExcess and maxLateExcess are the excesses that must be ruled out
	// before a rollout is completed.
	maxFailedExcess = 0.1
	maxLateExcess   = 0.2
	// worseLevel and soundLevel are the error rates of the two tests: of one look
	// at a version that is within the tolerance, and of completing one that has the
	// excess to be ruled out. The counts are looked at again with each answer, so
	// worseLevel is the smaller one.
	worseLevel = 0.001
	soundLevel = 0.02
	// suspectLevel is the level of Worse below which a version that is not proved
	// sound gets no more traffic to prove it.
	suspectLevel = 0.05
	// minFailed and minLate are the minimum numbers of failed and of late
	// answers to revert a rollout.
	minFailed = 4
	minLate   = 6
)

// Comparison is the result of one-sided exact binomial tests of the new version's
// failed and late answers against the old version's fractions.
type Comparison struct {
	// Worse is the probability of at least as many bad answers if the new version
	// were within the tolerance, for the kind of bad answer for which it is lower.
	Worse float64
	// Sound is the probability of at most as many bad answers if the new version
	// had the excess to be ruled out, for the kind for which it is higher.
	Sound float64
}

// Compare tests the new version's answers against the old one's.
func Compare(newer, older Evidence) Comparison {
	newer, older = newer.bounded(), older.bounded()
	failed, late := fraction(older.Failed, older.Total()), fraction(older.Late, older.Total())
	c := Comparison{
		Worse: 1,
		Sound: max(
			atMost(newer.Failed, newer.Total(), failed+maxFailedExcess),
			atMost(newer.Late, newer.Total(), late+maxLateExcess)),
	}
	if newer.Failed >= minFailed {
		c.Worse = min(c.Worse, atLeast(newer.Failed, newer.Total(), failed+failedTolerance))
	}
	if newer.Late >= minLate {
		c.Worse = min(c.Worse, atLeast(newer.Late, newer.Total(), late+lateTolerance))
	}
	return c
}

// IsWorse reports whether the new version is worse than the old one beyond
// tolerance, so that the rollout must be reverted.
func (c Comparison) IsWorse() bool { return c.Worse < worseLevel }

// IsSuspect reports whether the new version may well be worse.
func (c Comparison) IsSuspect() bool { return c.Worse < suspectLevel }

// IsSound reports whether it is proved that the new version is not much worse than
// the old one, so that the rollout may be completed.
func (c Comparison) IsSound() bool { return !c.IsWorse() && c.Sound < soundLevel }

// fraction estimates a fraction from counts, by the rule of succession, so that
// few answers of the old version don't stand for certainty.
func fraction(bad, total int64) float64 { return float64(bad+1) / float64(total+2) }

// atLeast returns the probability of bad or more bad answers among total.
func atLeast(bad, total int64, p float64) float64 {
	if p >= 1 || bad <= 0 {
		return 1
	}
	return distuv.Binomial{N: float64(total), P: p}.Survival(float64(bad) - 1)
}

// atMost returns the probability of bad or fewer bad answers among total.
func atMost(bad, total int64, p float64) float64 {
	if p >= 1 && bad < total {
		return 0
	}
	return distuv.Binomial{N: float64(total), P: min(p, 1)}.CDF(float64(bad))
}
