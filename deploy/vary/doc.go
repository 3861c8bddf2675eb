// Vary writes a variation of a deployment: a site file with other numbers of
// VMs, upstreams, slots and teams, other bounds, prices and rates, drawn from
// a seed. Searching for failures on variations shows which constants of the
// product fit only the existing deployments.
//
// # Usage
//
//	go run ./deploy/vary --seed 7 SITE.toml > /tmp/site-7.toml
//
// A variation refers to the same wire file as its original, by absolute path.
// Variations that the bench rejects are to be skipped. The floors of the days
// are copied from the original and do not apply to a variation; only violated
// rules count.
package main
