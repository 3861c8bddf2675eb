// Vary writes a variation of a deployment: a site file with other numbers of
// VMs, upstreams, slots and teams, other bounds, prices and rates, drawn from
// a seed. Hunts on such copies show which constants of the product fit only
// the deployments at hand.
//
// # Usage
//
//	go run ./deploy/vary --seed 7 SITE.toml > /tmp/site-7.toml
//
// A copy names the same wire file as its original, by its absolute path. A
// copy that the bench refuses is left out. The floors of a copy's days are
// those of the original and mean nothing for it; only broken rules count.
package main
