package placement

import "time"

// Candidate describes an upstream that may take a request.
type Candidate struct {
	// Wait is the expected delay caused by requests placed there earlier.
	Wait time.Duration
	// Work is the usual time of the request's own work until its answer begins, Excess how much
	// longer that takes there now than at the fastest upstream.
	Work, Excess time.Duration
	// Recompute is the time to prefill the shared prompt parts that are not in
	// this upstream's cache.
	Recompute time.Duration
	// BeyondRoom reports whether as many requests run there as it takes well.
	BeyondRoom bool
	// Probe is set if the request finds out whether the upstream is still slow.
	Probe bool
	// Running is the number of requests of all nodes that run there.
	Running int
	// TotalPlaced is the total number of requests that this node has sent there.
	TotalPlaced int
	// Errors is the moving average of its error rate, from 0 to 1.
	Errors float64
	// OtherZone reports whether it is outside the node's own zone.
	OtherZone bool
	// Unlisted reports whether its entry is currently missing from the
	// platform's list of upstreams.
	Unlisted bool
	// Cold is the additional time that a request is expected to take there because the
	// upstream is cold, 0 if it is not.
	Cold time.Duration
}

// slowDown lets work at the candidate take a multiple of its usual time.
func (c *Candidate) slowDown(factor float64) {
	c.Wait = scale(c.Wait, factor)
	c.Excess = scale(c.Work, factor-1)
}

// Cost returns the cost of a candidate; the one with the lowest cost is chosen.
type Cost func(Candidate) time.Duration

// LeastTime returns the expected time of a request at an upstream, less the
// time at an idle one that is in the node's own zone and has the shared prompt
// parts cached. It includes the delay that the request causes to others there.
func LeastTime(c Candidate) time.Duration {
	cost := c.Wait + c.Excess + c.Cold + recomputeWeight*c.Recompute
	if c.BeyondRoom {
		cost += beyondRoomCost
	}
	cost += time.Duration(c.Errors * float64(errorCost))
	if c.Probe {
		cost -= probeBonus
	}
	if c.OtherZone {
		cost += otherZoneCost
	}
	if c.Unlisted {
		cost += unlistedCost
	}
	return cost
}

// RoundRobin uses the upstreams in turn. It serves as a baseline for experiments.
func RoundRobin(c Candidate) time.Duration { return time.Duration(c.TotalPlaced) * time.Second }

// LeastLoaded prefers the upstream with the fewest requests. It serves as a
// baseline for experiments.
func LeastLoaded(c Candidate) time.Duration { return time.Duration(c.Running) * time.Second }

// PrefixOnly prefers an upstream that has the shared prompt parts cached. It
// serves as a baseline for experiments.
func PrefixOnly(c Candidate) time.Duration { return c.Recompute }
