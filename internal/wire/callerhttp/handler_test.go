package callerhttp

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"monsoonlanding/internal/core/caller"
	"monsoonlanding/internal/core/node"
	"monsoonlanding/internal/run/clock"
	"monsoonlanding/internal/standin/rawhttp"
)

// serveEvents answers one request with the given events and a closed connection.
func serveEvents(t *testing.T, accept string, events ...caller.StreamEvent) *httptest.ResponseRecorder {
	t.Helper()
	r := httptest.NewRequest(http.MethodPost, "/v1/services/plans/requests", strings.NewReader("{}"))
	r.Header.Set("Authorization", "Bearer key")
	r.Header.Set("Idempotency-Key", "k")
	r.Header.Set("Accept", accept)
	w := httptest.NewRecorder()
	newEventHandler(events...).Routes().ServeHTTP(w, r)
	return w
}

// newEventHandler returns a handler that answers one request with the given
// events and then closes the channel of events.
func newEventHandler(events ...caller.StreamEvent) *Handler {
	channel := make(chan caller.StreamEvent, len(events))
	for _, e := range events {
		channel <- e
	}
	close(channel)
	return New(Config{
		Clock:     clock.System{},
		Submit:    func(node.Event) {},
		Open:      func() Connection { return Connection{ID: 1, Events: channel, Close: func() {}} },
		Team:      func(string) (string, bool, bool) { return "crew", true, true },
		OnRefusal: func(caller.Reason) {},
	})
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

// TestStreamWithoutItsEndIsAborted: a node that closes a connection before the
// last event must not end the HTTP answer as complete.
func TestStreamWithoutItsEndIsAborted(t *testing.T) {
	tokens := caller.Tokens{Run: "r", Tokens: []string{"a"}}
	for _, test := range []struct {
		last  caller.StreamEvent
		whole bool
	}{
		{tokens, false},
		{caller.Restarted{Run: "r2"}, false},
		{caller.Done{Run: "r", Count: 1}, true},
		{caller.Moved{Address: "10.0.0.1:1"}, true},
		{caller.Failed{Refusal: caller.Refusal{Reason: caller.ReasonHolderLost}}, true},
	} {
		t.Run(fmt.Sprintf("%T", test.last), func(t *testing.T) {
			c := qt.New(t)
			server := httptest.NewServer(newEventHandler(caller.Accepted{}, tokens, test.last).Routes())
			defer server.Close()
			req, err := http.NewRequest(http.MethodGet, server.URL+"/v1/requests/k", nil)
			c.Assert(err, qt.IsNil)
			req.Header.Set("Authorization", "Bearer key")
			req.Header.Set("Accept", "text/event-stream")
			resp, err := server.Client().Do(req)
			c.Assert(err, qt.IsNil)
			defer func() { _ = resp.Body.Close() }()
			_, err = io.Copy(io.Discard, resp.Body)
			c.Assert(err == nil, qt.Equals, test.whole, qt.Commentf("%v", err))
		})
	}
}

// TestCallerResumesAfterEndWithoutDone: a caller takes a stream as whole only
// after its done event, whatever marks the end of the HTTP answer.
func TestCallerResumesAfterEndWithoutDone(t *testing.T) {
	token := "event: token\nid: r:1\ndata: {\"run\":\"r\",\"offset\":0,\"tokens\":[\"a\"]}\n\n"
	done := "event: done\nid: r:1\ndata: {\"run\":\"r\",\"count\":1}\n\n"
	stream := "Content-Type: text/event-stream\r\n"
	for name, cut := range map[string]rawhttp.Answer{
		"chunks":                    {Head: stream + rawhttp.Chunked, Body: rawhttp.Chunk(token) + rawhttp.Chunk("")},
		"chunks, inside done":       {Head: stream + rawhttp.Chunked, Body: rawhttp.Chunk(token+done[:len(done)-1]) + rawhttp.Chunk("")},
		"close":                     {Head: stream + rawhttp.Unmarked, Body: token},
		"close, inside done":        {Head: stream + rawhttp.Unmarked, Body: token + done[:len(done)-1]},
		"close, reset":              {Head: stream + rawhttp.Unmarked, Body: token, Reset: true},
		"length, closed early":      {Head: stream + rawhttp.Length(len(token)+1), Body: token},
		"refusal, cut, close":       {Head: "HTTP/1.1 503 x\r\n" + rawhttp.Unmarked, Body: `{"reason":"queue_full"`},
		"list of addresses instead": {Head: rawhttp.Unmarked, Body: `{"addresses":[`},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			node := rawhttp.Start(c, cut, rawhttp.Answer{Head: stream + rawhttp.Unmarked, Body: rest(cut, token) + done})
			list := `{"ttl_seconds":60,"addresses":[{"address":"` + node + `"}]}`
			seed := rawhttp.Start(c, rawhttp.Answer{Head: rawhttp.Unmarked, Body: list})
			client := NewClient([]string{seed}, "key", &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, clock.System{})
			result, err := client.Do(context.Background(), Call{Service: "plans", Key: "k", Timeout: 5 * time.Second}, nil)
			c.Assert(err, qt.IsNil)
			c.Assert(result.Refusal, qt.IsNil)
			c.Assert(result.Tokens, qt.DeepEquals, []string{"a"})
			c.Assert(result.Resumed >= 1, qt.IsTrue)
		})
	}
}

// rest returns the token event unless an answer has it already.
func rest(cut rawhttp.Answer, token string) string {
	if strings.Contains(cut.Body, token) {
		return ""
	}
	return token
}
