// Package emulator plays load patterns on nodes, engines and callers in
// virtual time.
//
// The nodes are the reducers of core/gateway themselves; messages between
// them, engines, plain services and callers are modelled. A run of a minute
// takes less than a second and is the same for the same seed, so that a
// decision under load can be tested where it is made, and ways of deciding can
// be compared.
//
// # Model
//
// An engine reads prompts one after the other and generates for all requests
// in its batch at once, in steps that grow with the batch and are held up by
// prompts that are read. It keeps the prompt parts it has read. A plain
// service works on as many requests as it has slots and queues the others.
// Callers repeat a refused request once, at the time they were told.
//
// # Patterns
//
// A [Pattern] says how many requests of each kind arrive when, from which
// teams and about what, and what happens to nodes and engines meanwhile.
//
// # Usage
//
//	report := emulator.Run(emulator.Setup{Nodes: 6, Engines: 8, Seed: 1}, emulator.Burst())
//	fmt.Println(report.Kinds["plan"].InTime)
package emulator
