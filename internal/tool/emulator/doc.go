// Package emulator simulates nodes, engines and callers under load patterns in
// virtual time.
//
// The nodes run the reducers of core/gateway; engines, plain services, callers
// and all messages are modelled. A simulated minute takes less than a second,
// and the same seed gives the same run, so decisions under load can be tested
// in the code that makes them, and placement policies can be compared.
//
// # Model
//
// An engine prefills prompts one after the other and generates for all
// requests in its batch at once, in steps that take longer for larger batches
// and while prompts are prefilled. It caches the prompt parts that it has
// prefilled. A plain service runs as many requests as it has slots and queues
// the others. Callers retry a refused request once, after the delay given in
// the refusal, unless the pattern sets CallerRetries.
//
// # Patterns
//
// A [Pattern] sets the arrival rate of each kind of request, the distribution
// of requests over teams, prompts and nodes, and the faults of nodes, engines
// and the network. [SlowMachines] are slow for short times, and may report it.
//
// # Usage
//
//	report := emulator.Run(emulator.DefaultSetup(1), emulator.Burst())
//	fmt.Println(report.Kinds["plan"].InTime)
package emulator
