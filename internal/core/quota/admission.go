package quota

// RankCount is the number of ranks of urgency.
const RankCount = 10

// Demand is what requests ask of a quota, in units by rank of urgency; rank 0 is the most urgent.
type Demand [RankCount]float64

// Sum returns the demand of all ranks.
func (d Demand) Sum() float64 {
	sum := 0.0
	for _, units := range d {
		sum += units
	}
	return sum
}

// Verdict is the decision on a request.
type Verdict string

// Verdicts.
const (
	VerdictAdmitted Verdict = "admitted"
	// VerdictSpent: the quota is spent, as far as this node knows or expects.
	VerdictSpent Verdict = "spent"
	// VerdictReserved: what is left is reserved for more urgent requests of the team.
	VerdictReserved Verdict = "reserved"
)

// Admission decides on requests of a team whose demand may be several times its quota and comes
// to many nodes, which learn of each other's spending with a delay. A node can't know which
// requests its peers admit meanwhile, but all can divide what is left alike: each rank gets the
// part of it that the more urgent ones leave, and each of its requests the same chance,
// whatever its size.
type Admission struct {
	// Left is the number of units left, without what peers have not reported yet.
	Left float64
	// Overdraft is the part of the tolerance that may be spent although peers may have spent it
	// unreported. Debt is a further part: a single request may exceed Left and Overdraft by it, and
	// it covers what less urgent requests have probably spent, so that this refuses no more urgent ones.
	Overdraft, Debt float64
	// Usual is the mean cost of the team's requests.
	Usual float64
	// Unreported is what peers have probably been asked for since their latest reports.
	Unreported Demand
	// Expected is what all nodes are asked for within the time for which a reserve is kept.
	Expected Demand
}

// minorFraction is the fraction of the usual cost up to which a request is admitted while anything is
// left, the debt included: refusing it would save next to nothing for others.
const minorFraction = 0.1

// Need returns the units to keep for a rank: what peers have probably been asked for in it since
// their reports, or what is expected, whichever is more.
func (a Admission) Need(rank int) float64 { return max(a.Unreported[rank], a.Expected[rank]) }

// Reserve returns the number of units reserved for requests that are more urgent than a rank.
func (a Admission) Reserve(rank int) float64 {
	sum := 0.0
	for i := range rank {
		sum += a.Need(i)
	}
	return sum
}

// credit returns the part of Debt that is used for what less urgent requests have just spent.
func (a Admission) credit(rank int) float64 {
	sum := 0.0
	for i := rank + 1; i < RankCount; i++ {
		sum += a.Need(i)
	}
	return min(sum, a.Debt)
}

// Decide decides on a request. The draw is a random number from 0 to 1.
func (a Admission) Decide(rank int, cost, draw float64) Verdict {
	left := a.Left + a.Overdraft + a.credit(rank)
	if a.Left+a.Overdraft+a.Debt < cost {
		return VerdictSpent
	}
	if cost <= minorFraction*a.Usual {
		return VerdictAdmitted
	}
	if left <= 0 {
		return VerdictSpent
	}
	room := left - a.Reserve(rank)
	switch {
	case room > draw*a.Unreported[rank]:
		return VerdictAdmitted
	case left > draw*a.Unreported[rank]:
		return VerdictReserved
	default:
		return VerdictSpent
	}
}
