// Package relayhttp carries callers' requests from a node to another one over HTTP/1.1.
//
// # Requests
//
// A node that can't reach the upstreams sends a request to the peer address of another node
// as its caller sent it, with headers of its own: the token of all nodes, the name of the node
// that passes it on, and the number of upstreams that may still run it.
//
// # Answers
//
// The answer says what it is: the upstream's own, passed on unchanged; a refusal, which proves
// that the request has not run there and will not; or a failure after which it may have run.
// An answer that doesn't say so proves nothing.
//
// # Usage
//
//	relayhttp.Request{Token: token, From: "node-a", Attempts: 1}.Set(header)
//	request, ok := relayhttp.Parse(r.Header, token)
//	relayhttp.OutcomeAnswer.Set(w.Header())
//	outcome := relayhttp.Take(answer.Header())
package relayhttp
