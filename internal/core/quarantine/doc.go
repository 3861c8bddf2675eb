// Package quarantine finds out which trait of requests crashes upstreams, and
// keeps requests with that trait from them.
//
// # Traits
//
// A request has one trait per prompt part that other requests may share, and one
// for its whole content. Its team, key and route are no traits: sound requests
// share them.
//
// # Evidence
//
// A crash breaks all attempts at an upstream, at all nodes. Each attempt that had
// not yet answered for a while is evidence against the traits of its request; one
// whose answer had begun without a whole event is stronger evidence than its
// neighbours. An upstream that still answers afterwards has not crashed. Each run
// that goes on beyond the begin of its answer is evidence for the traits of its
// request.
//
// # Verdict
//
// Traits that share crashes compete: the one that explains most crashes is
// quarantined, at equal numbers the one with the fewest sound runs, then the most
// specific one. The others are judged by the crashes that are left. All nodes
// exchange their evidence and come to the same verdict.
//
// # Release
//
// Some time after the last crash, one node lets one request with a quarantined
// trait through. If it is sound, the trait is released; if it crashes an upstream,
// the next one follows after twice the time.
//
// # Usage
//
//	r := quarantine.New()
//	traits := quarantine.Traits([]string{"part-1", "part-2"}, contentHash)
//	r.RecordCrash(now, quarantine.ProcessID("engine-1", startedAt), traits, quarantine.SignHead)
//	r.RecordLife(now, quarantine.ProcessID("engine-2", startedAt))
//	r.RecordSound(now, traits, false)
//	r.Judge(now, settleTime)
//	if admission := r.Admit(now, traits, mayProbe); admission == quarantine.Refused {
//		refuse()
//	}
package quarantine
