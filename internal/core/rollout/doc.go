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
// The answers of the new version are compared with those of the old one in the
// same period. Failed and late answers count as bad. If the new version is
// clearly worse, the rollout is reverted at any time; otherwise it is completed
// shortly before its deadline. With too few answers it is not completed, even
// past the deadline: restarted nodes lose their counts, and a late verdict does
// less harm than a bad version.
//
// # Usage
//
//	decision := rollout.Decide(now, rollout.View{OrderedAt: t, TimeLimit: w, New: n, Old: o})
package rollout
