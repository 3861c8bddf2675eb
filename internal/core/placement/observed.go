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

// ownObserved returns what this node has observed itself of the upstreams, for its peers.
func (s *Set) ownObserved(now time.Time, of func(*member) *observed) []ObservedLimit {
	var list []ObservedLimit
	for _, m := range s.sorted {
		if o, ok := of(m).report(now, m.ID); ok {
			list = append(list, o)
		}
	}
	return list
}

// mergeObserved sets those of a peer's observations that are later than the latest ones.
func (s *Set) mergeObserved(now time.Time, reported []ObservedLimit, of func(*member) *observed, set func(*member, time.Time, RateLimit)) {
	for _, o := range reported {
		m := s.members[o.Upstream]
		if m == nil {
			continue
		}
		if at, counts := of(m).merge(now, o); counts {
			set(m, at, o.Limit)
		}
	}
}
