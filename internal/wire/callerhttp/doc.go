// Package callerhttp serves callers over HTTP with server-sent events.
//
// # Requests
//
//	GET    /v1/addresses                     list the addresses to use, with a time to live
//	POST   /v1/services/{service}/requests   send a request
//	GET    /v1/requests/{key}                read its answer, or continue reading it
//	DELETE /v1/requests/{key}                cancel it
//
// A request carries the team's bearer key, an Idempotency-Key and optionally
// Request-Timeout (a duration such as "30s"), Request-Priority (an integer)
// and Non-Idempotent ("true"). With Accept: text/event-stream the answer is a
// stream of the events accepted, token, restarted, moved, done and failed. An
// event ID has the form run:offset; a caller resumes the stream after that
// position by sending the ID as Last-Event-ID. Without that Accept header the
// answer is one JSON document. A refusal is a problem document
// (application/problem+json) that includes an outcome and a reason.
//
// # Usage
//
//	h := callerhttp.New(callerhttp.Config{...})
//	http.ListenAndServe(address, h.Routes())
//
// Client is the matching client. It resumes a broken call at another address on
// its own.
package callerhttp
