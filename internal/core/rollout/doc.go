// Package rollout decides how much of a service's traffic goes to a new
// version of its upstreams, and whether the version is taken or given up.
//
// # Load pattern
//
// A version may be bad from the start, later, under load or on one route only,
// and what it got before it showed counts too. So it gets a small share for
// nearly all of the time given, then all traffic for a moment, as the old
// upstreams stop at once when the version is declared complete.
//
// # Verdict
//
// Answers of the new version are compared with those of the old one in the
// same time. Failures and late answers count as bad. A clear difference gives
// the version up at any time; otherwise it is complete shortly before the time
// is over. With too few answers no version is taken: restarted nodes lose their
// counts, and a verdict that comes late does less harm than a bad version.
//
// # Usage
//
//	step := rollout.Next(now, rollout.View{Ordered: t, Within: w, New: n, Old: o})
package rollout
