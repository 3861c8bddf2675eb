// Command rig-4 plays the scripted cases of the third review. It starts the project's own program
// as the nodes of a small deployment, and stands in for the platform, the replicas and the clients
// on loopback addresses.
//
// # Usage
//
//	rig-4 -case NAME -program target/monsoonlanding -record FILE
//
// With TROUBLE=0 in the environment the disruption of the case is left out. The exit code is 1 if
// the rule was broken, 0 if it held and 2 if the case could not run.
package main
