package callerhttp

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"monsoonlanding/internal/core/caller"
	"monsoonlanding/internal/core/node"
	"monsoonlanding/internal/run/clock"
)

// serveEvents answers one request with the given events and then closes the
// channel of events.
func serveEvents(t *testing.T, accept string, events ...caller.StreamEvent) *httptest.ResponseRecorder {
	t.Helper()
	channel := make(chan caller.StreamEvent, len(events))
	for _, e := range events {
		channel <- e
	}
	close(channel)
	h := New(Config{
		Clock:     clock.System{},
		Submit:    func(node.Event) {},
		Open:      func() Connection { return Connection{ID: 1, Events: channel, Close: func() {}} },
		Team:      func(string) (string, bool, bool) { return "crew", true, true },
		OnRefusal: func(caller.Reason) {},
	})
	r := httptest.NewRequest(http.MethodPost, "/v1/services/plans/requests", strings.NewReader("{}"))
	r.Header.Set("Authorization", "Bearer key")
	r.Header.Set("Idempotency-Key", "k")
	r.Header.Set("Accept", accept)
	w := httptest.NewRecorder()
	h.Routes().ServeHTTP(w, r)
	return w
}

// TestClosedConnectionGivesUnknownOutcome checks that a caller gets a problem
// document with an unknown outcome when the node closes the connection before
// anything was written to the caller. This includes the middle of an answer that
// is collected into one document.
func TestClosedConnectionGivesUnknownOutcome(t *testing.T) {
	tokens := caller.Tokens{Run: "r", Tokens: []string{"a"}}
	tests := []struct {
		name, accept string
		events       []caller.StreamEvent
	}{
		{"document without events", "application/json", nil},
		{"document after accepted", "application/json", []caller.StreamEvent{caller.Accepted{}}},
		{"document after tokens", "application/json", []caller.StreamEvent{caller.Accepted{}, tokens}},
		{"stream without events", "text/event-stream", nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			w := serveEvents(t, test.accept, test.events...)
			c.Assert(w.Code, qt.Equals, http.StatusServiceUnavailable)
			var p Problem
			c.Assert(json.Unmarshal(w.Body.Bytes(), &p), qt.IsNil)
			c.Assert(p.Outcome, qt.Equals, caller.Unknown)
		})
	}
}

// TestDocumentAfterRestart checks that a document does not mix tokens of two
// runs when another run continues the answer.
func TestDocumentAfterRestart(t *testing.T) {
	c := qt.New(t)
	w := serveEvents(t, "application/json",
		caller.Accepted{},
		caller.Tokens{Run: "r1", Tokens: []string{"a", "b", "c"}},
		caller.Restarted{Run: "r2", Keep: 2},
		caller.Tokens{Run: "r2", Offset: 2, Tokens: []string{"C", "d"}},
		caller.Done{Run: "r2", Count: 4},
	)
	var d Document
	c.Assert(json.Unmarshal(w.Body.Bytes(), &d), qt.IsNil)
	c.Assert(d, qt.DeepEquals, Document{Run: "r2", Count: 4, Text: "abCd"})
}

// TestStreamIDsAreResumePositions checks that an event ID in a stream parses as
// the position after the event.
func TestStreamIDsAreResumePositions(t *testing.T) {
	c := qt.New(t)
	w := serveEvents(t, "text/event-stream",
		caller.Accepted{Instance: "i"},
		caller.Tokens{Run: "r1", Tokens: []string{"a", "b"}},
		caller.Done{Run: "r1", Count: 2},
	)
	c.Assert(w.Code, qt.Equals, http.StatusOK)
	c.Assert(w.Body.String(), qt.Contains, "id: r1:2\n")
	p, err := parsePosition("r1:2")
	c.Assert(err, qt.IsNil)
	c.Assert(p, qt.Equals, caller.Position{Run: "r1", Offset: 2})
}

// TestRefusalBeforeStreamIsProblemDocument checks that a refusal before the
// first event is a problem document, whether or not the caller accepts a stream.
func TestRefusalBeforeStreamIsProblemDocument(t *testing.T) {
	c := qt.New(t)
	refusal := caller.Refusal{Outcome: caller.NotRun, Reason: caller.ReasonQueueFull, Step: "admit", RetryAfter: 1500e6}
	for _, accept := range []string{"text/event-stream", "application/json"} {
		w := serveEvents(t, accept, caller.Failed{Refusal: refusal})
		c.Assert(w.Code, qt.Equals, http.StatusTooManyRequests)
		c.Assert(w.Header().Get("Retry-After"), qt.Equals, "2")
		c.Assert(w.Header().Get("Content-Type"), qt.Equals, "application/problem+json")
	}
}
