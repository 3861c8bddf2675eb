// Package quota enforces the quotas of teams across all nodes.
//
// # Bucket
//
// A quota is a rate and a burst. A token bucket refills at the rate up to the
// burst, so that any interval admits at most the burst plus the rate times its
// length. A process that starts while other nodes may have admitted requests
// does not know the level, so it starts with a nearly empty bucket; otherwise a
// restart of all nodes would give every team its burst twice.
//
// # Sharing
//
// A quota is shared by all nodes. Each node subtracts from its bucket the cost
// of the requests that it admits and of those that peers report. A peer without
// recent contact may admit requests up to its static share, so the other nodes
// do not use that share; a node without contact to any peer is limited to its
// own static share. Both sides of a network partition thus stay within the
// quota together.
//
// # Admission
//
// Near a limit a node doesn't know what its peers admit until their next reports. An [Admission]
// divides what is left among all of them by urgency; [Returns] names the time at which a refused
// request may come back.
//
// # Usage
//
//	b := quota.New(limit, level, now)
//	a := quota.Admission{Left: b.Available(now, share), Unreported: unreported}
//	if a.Decide(rank, cost, rng.Float64()) == quota.VerdictAdmitted {
//		b.Spend(now, cost, share)
//	}
//	b.Spend(now, peersCost, share)
package quota
