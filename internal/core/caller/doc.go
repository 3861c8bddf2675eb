// Package caller defines the state of one caller's request: the request, its
// answer so far, the refusals that a caller may receive and the events of an
// answer stream.
//
// # Runs and offsets
//
// An answer is a sequence of tokens produced by a run. Tokens are numbered
// from zero, and an offset is valid only within its run. When another node or
// another attempt continues an answer, it starts a new run. The new run names
// its parent and its base, the number of leading tokens that it shares with the
// parent. A caller that has read x tokens of the parent keeps min(x, base) of
// them and continues in the new run, so tokens of two runs are never mixed.
//
// # Refusals
//
// A refusal carries an outcome. NotRun guarantees that the request did not run
// and will not run. Unknown means that it may have run. Ran means that it ran
// but its answer can't be delivered.
//
// # Usage
//
//	a := caller.NewAnswer("run-1", "", nil)
//	added := a.Append(0, []string{"wind ", "is "})
//	common := a.CommonTokens(caller.Position{Run: "run-1", Offset: 1})
//
// Types that are encoded (Request, Refusal, Position and the stream events)
// have exported fields because the encoder requires them.
package caller
