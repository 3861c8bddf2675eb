package placement

import "time"

// Candidate is what is known of an upstream that may take a request.
type Candidate struct {
	// Wait is how long work that was placed before delays the request.
	Wait time.Duration
	// Reread is the time to read shared prompt parts that another engine keeps.
	Reread time.Duration
	// Running counts the requests there, of all nodes.
	Running int
	// Placed counts the requests that this node has ever sent there.
	Placed int
	// Errors is the share of errors among its latest answers, from 0 to 1.
	Errors float64
	// OtherZone says that it is not in the node's own zone.
	OtherZone bool
	// Unlisted says that its entry is missing from the list for the moment.
	Unlisted bool
}

// Cost ranks upstreams; the least costly one is taken.
type Cost func(Candidate) time.Duration

// LeastTime is the time that a request is expected to take at an upstream
// beyond an idle one next to the node, with what its choice costs others.
func LeastTime(c Candidate) time.Duration {
	cost := c.Wait + rereadWeight*c.Reread
	cost += time.Duration(c.Errors * float64(errorCost))
	if c.OtherZone {
		cost += otherZoneCost
	}
	if c.Unlisted {
		cost += unlistedCost
	}
	return cost
}

// RoundRobin takes the upstreams in turn, to compare with.
func RoundRobin(c Candidate) time.Duration { return time.Duration(c.Placed) * time.Second }

// LeastLoaded takes the one with the fewest requests, to compare with.
func LeastLoaded(c Candidate) time.Duration { return time.Duration(c.Running) * time.Second }

// PrefixOnly takes one that keeps the shared parts, to compare with.
func PrefixOnly(c Candidate) time.Duration { return c.Reread }
