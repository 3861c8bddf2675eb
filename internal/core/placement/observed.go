package placement

import "time"

// observed is a value that an upstream names in its answers, as it was observed last by any
// node.
type observed struct {
	limit      RateLimit
	observedAt time.Time
	// own is what this node has observed last, at ownAt.
	own   RateLimit
	ownAt time.Time
}

// record records what an answer to an attempt names, or that it names nothing, and reports
// whether it counts. Answers overtake each other: one to an attempt that was dispatched before
// a value was named does not lift it.
func (o *observed) record(now, dispatched time.Time, named RateLimit) (counts bool) {
	if !named.Named && (!o.limit.Named || !dispatched.After(o.observedAt)) {
		return false
	}
	o.own, o.ownAt = named, now
	return true
}

// report returns what this node has observed itself, for its peers.
func (o *observed) report(now time.Time, upstream string) (ObservedLimit, bool) {
	if o.ownAt.IsZero() || !o.own.Named && now.Sub(o.ownAt) > liftRetention {
		return ObservedLimit{}, false
	}
	return ObservedLimit{Upstream: upstream, Limit: o.own, Age: now.Sub(o.ownAt)}, true
}

// merge reports whether a peer's observation is later than the latest one, and its time.
func (o *observed) merge(now time.Time, reported ObservedLimit) (at time.Time, counts bool) {
	at = now.Add(-reported.Age)
	return at, at.After(o.observedAt)
}
