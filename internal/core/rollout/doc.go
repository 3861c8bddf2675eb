// Package rollout decides the share of a service's traffic that goes to a new
// version of its upstreams, and whether the rollout is completed or reverted.
//
// # Traffic shift
//
// A version may be bad from the start, later, under load or on one route only,
// and requests that it served badly before detection count as well. So it gets
// a small share of the traffic for most of the rollout, then all traffic for a
// short time, because the old upstreams stop as soon as the rollout is
// complete.
//
// # Verdict
//
// The failed and the late answers of the new version are compared with those of
// the old one in the same period, by one-sided exact binomial tests. The rollout is
// reverted at any time if the new version is worse beyond a tolerance. It is
// completed shortly before its deadline if it is proved that the new version is not
// much worse: the old upstreams stop then, and lack of evidence is no evidence,
// since a slow version gives less of it. With too few answers, or with answers that
// leave it open, the rollout is not completed, even past the deadline; a version
// that is not suspect gets more traffic then, one that is keeps its small share.
// Restarted nodes lose their counts, and a late verdict does less harm than a bad
// version.
//
// # Usage
//
//	decision := rollout.Decide(now, rollout.View{OrderedAt: t, TimeLimit: w, New: n, Old: o})
package rollout
