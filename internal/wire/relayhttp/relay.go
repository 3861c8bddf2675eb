package relayhttp

import (
	"crypto/subtle"
	"net/http"
	"strconv"
)

// Headers of requests and answers between nodes.
const (
	headerToken    = "Monsoonlanding-Token"
	headerFrom     = "Monsoonlanding-Relay-From"
	headerAttempts = "Monsoonlanding-Relay-Attempts"
	headerOutcome  = "Monsoonlanding-Relay-Outcome"
)

// Request is what a node adds to a request that it passes on.
type Request struct {
	// Token authenticates nodes to each other.
	Token string
	// From is the name of the node that passes the request on.
	From string
	// Attempts is the number of upstreams that may run the request.
	Attempts int
}

// Set adds the request's headers.
func (r Request) Set(h http.Header) {
	h.Set(headerToken, r.Token)
	h.Set(headerFrom, r.From)
	h.Set(headerAttempts, strconv.Itoa(r.Attempts))
}

// IsRelayed reports whether a request claims to be passed on by a node.
func IsRelayed(h http.Header) bool { return h.Get(headerFrom) != "" }

// Parse removes the headers of Set and returns what they say. It reports false if the token is
// wrong or a value is invalid.
func Parse(h http.Header, token string) (Request, bool) {
	attempts, err := strconv.Atoi(h.Get(headerAttempts))
	r := Request{Token: h.Get(headerToken), From: h.Get(headerFrom), Attempts: attempts}
	for _, name := range []string{headerToken, headerFrom, headerAttempts} {
		h.Del(name)
	}
	valid := err == nil && attempts > 0 && r.From != ""
	return r, valid && subtle.ConstantTimeCompare([]byte(r.Token), []byte(token)) == 1
}

// Outcome is what an answer to a request that was passed on is.
type Outcome string

// Outcomes.
const (
	// OutcomeAnswer: the upstream's answer.
	OutcomeAnswer Outcome = "answer"
	// OutcomeRefused: the request has not run and will not.
	OutcomeRefused Outcome = "refused"
	// OutcomeFailed: the request may have run.
	OutcomeFailed Outcome = "failed"
)

// Set adds the outcome to the head of an answer.
func (o Outcome) Set(h http.Header) { h.Set(headerOutcome, string(o)) }

// Take removes the outcome from the head of an answer and returns it, empty if there is none.
func Take(h http.Header) Outcome {
	o := Outcome(h.Get(headerOutcome))
	h.Del(headerOutcome)
	return o
}
