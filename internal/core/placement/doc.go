// Package placement chooses the upstream that a request is sent to.
//
// # Load
//
// A Set counts what this node has running at each upstream and adds what
// peers have told of theirs. For model engines the load is the prompt tokens
// that are not prefilled yet, the requests in the batch and the memory that
// they take; for plain services it is the number of requests.
//
// # Choice
//
// Each candidate gets a cost, the time that the request is expected to take
// there beyond an idle upstream that keeps nothing of its prompt. A shared
// part of a prompt that the engine has read lately lowers it. Where no engine
// has, a rendezvous hash of the part names the one that all nodes prefer, so
// that the part is read once. Failures raise the cost, and several in a row
// eject an upstream for a while.
//
// # Speed
//
// How fast the engines of a service read prompts is learnt from the times
// between dispatches and first events, as engines of other deployments are
// slower or faster than those at hand.
//
// # Usage
//
//	s := placement.New("node-a", "zone-1", placement.LeastTime, rng)
//	s.Put(u)
//	u, ok := s.Pick(now, placement.Query{Service: "plans", Prompt: prompt})
//	s.Started(now, u.ID, 7, prompt)
//	s.Began(now, u.ID, 7)
//	s.Ended(now, u.ID, 7, placement.Succeeded)
package placement
