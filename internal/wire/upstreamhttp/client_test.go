package upstreamhttp

import (
	"context"
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
	"monsoonlanding/internal/core/upstream"
	"monsoonlanding/internal/standin/rawhttp"
)

// run dispatches a request to a handler and returns the last event reported.
func run(t *testing.T, kind upstream.Kind, h http.HandlerFunc) node.Event {
	t.Helper()
	s := httptest.NewServer(h)
	defer s.Close()
	return runAt(strings.TrimPrefix(s.URL, "http://"), kind)
}

// runAt dispatches a request to an address and returns the last event reported.
func runAt(address string, kind upstream.Kind) node.Event {
	return runWithTimeout(address, kind, time.Second)
}

// runWithTimeout is runAt with a progress timeout.
func runWithTimeout(address string, kind upstream.Kind, progress time.Duration) node.Event {
	var last node.Event
	New(&http.Client{Transport: &http.Transport{}}).Run(context.Background(), node.Dispatch{
		Attempt:         1,
		Upstream:        upstream.Upstream{Address: address, Kind: kind},
		Request:         caller.Request{Body: []byte("{}")},
		ProgressTimeout: progress,
	}, func(e node.Event) { last = e })
	return last
}

func TestFailureCauses(t *testing.T) {
	token := "event: token\ndata: {\"offset\":0,\"tokens\":[\"a\"]}\n\n"
	tests := []struct {
		name    string
		kind    upstream.Kind
		handler http.HandlerFunc
		cause   node.Cause
	}{
		{"busy", upstream.Engine, func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = fmt.Fprint(w, `{"reason":"busy"}`)
		}, node.CauseBusy},
		{"leaving", upstream.Plain, func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = fmt.Fprint(w, `{"reason":"leaving"}`)
		}, node.CauseLeaving},
		{"503 without a reason", upstream.Plain, func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusServiceUnavailable)
		}, node.CauseError},
		{"rejected", upstream.Plain, func(w http.ResponseWriter, _ *http.Request) {
			http.Error(w, "no such seat", http.StatusConflict)
		}, node.CauseRejected},
		{"internal error", upstream.Engine, func(w http.ResponseWriter, _ *http.Request) {
			http.Error(w, "oh", http.StatusInternalServerError)
		}, node.CauseError},
		{"crashed before the answer", upstream.Plain, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, node.CauseCrashed},
		{"crashed in the answer", upstream.Engine, func(w http.ResponseWriter, _ *http.Request) {
			_, _ = fmt.Fprint(w, token)
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}, node.CauseCrashed},
		{"end without done", upstream.Engine, func(w http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprint(w, token) }, node.CauseCrashed},
		{"stalled before the answer", upstream.Plain, func(_ http.ResponseWriter, r *http.Request) {
			select {
			case <-r.Context().Done():
			case <-time.After(3 * time.Second):
			}
		}, node.CauseStalled},
		{"stalled in the answer", upstream.Engine, func(w http.ResponseWriter, r *http.Request) {
			// Without it, the server does not see that the client leaves.
			_, _ = io.ReadAll(r.Body)
			_, _ = fmt.Fprint(w, token)
			_ = http.NewResponseController(w).Flush()
			<-r.Context().Done()
		}, node.CauseStalled},
		{"invalid JSON", upstream.Plain, func(w http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprint(w, "<html>") }, node.CauseError},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			e, ok := run(t, test.kind, test.handler).(node.UpstreamFailed)
			c.Assert(ok, qt.IsTrue)
			c.Assert(e.Cause, qt.Equals, test.cause, qt.Commentf("%s", e.Detail))
		})
	}
}

func TestConnectionRefused(t *testing.T) {
	c := qt.New(t)
	s := httptest.NewServer(http.NotFoundHandler())
	s.Close()
	e, ok := runAt(strings.TrimPrefix(s.URL, "http://"), upstream.Plain).(node.UpstreamFailed)
	c.Assert(ok, qt.IsTrue)
	c.Assert(e.Cause, qt.Equals, node.CauseConnect)
}

func TestCompleteAnswers(t *testing.T) {
	c := qt.New(t)
	engine := run(t, upstream.Engine, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprint(w, "event: token\ndata: {\"offset\":0,\"tokens\":[\"a\"]}\n\nevent: done\ndata: {\"count\":1}\n\n")
	})
	c.Assert(engine, qt.DeepEquals, node.Event(node.UpstreamDone{Attempt: 1, Count: 1}))
	plain := run(t, upstream.Plain, func(w http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprint(w, `{"seat":12}`) })
	c.Assert(plain, qt.DeepEquals, node.Event(node.UpstreamDone{Attempt: 1, Result: []byte(`{"seat":12}`)}))
}

// TestEndsOfAnswers has a row for each way in which an engine's or a plain
// service's answer ends.
func TestEndsOfAnswers(t *testing.T) {
	token := "event: token\ndata: {\"offset\":0,\"tokens\":[\"a\"]}\n\n"
	done := "event: done\ndata: {\"count\":1}\n\n"
	document := `{"seat":12}`
	engine, plain := upstream.Engine, upstream.Plain
	for _, test := range []struct {
		name   string
		kind   upstream.Kind
		answer rawhttp.Answer
		// cause is the failure, empty for a whole answer.
		cause node.Cause
	}{
		{"engine, chunks, whole", engine, rawhttp.Answer{Head: rawhttp.Chunked, Body: rawhttp.Chunk(token+done) + rawhttp.Chunk("")}, ""},
		{"engine, chunks, without done", engine, rawhttp.Answer{Head: rawhttp.Chunked, Body: rawhttp.Chunk(token) + rawhttp.Chunk("")}, node.CauseCrashed},
		{"engine, chunks, inside done", engine, rawhttp.Answer{Head: rawhttp.Chunked, Body: rawhttp.Chunk(token+done[:len(done)-1]) + rawhttp.Chunk("")}, node.CauseCrashed},
		{"engine, close, whole", engine, rawhttp.Answer{Head: rawhttp.Unmarked, Body: token + done}, ""},
		{"engine, close, without done", engine, rawhttp.Answer{Head: rawhttp.Unmarked, Body: token}, node.CauseCrashed},
		{"engine, close, inside done", engine, rawhttp.Answer{Head: rawhttp.Unmarked, Body: token + done[:len(done)-1]}, node.CauseCrashed},
		{"engine, close, reset", engine, rawhttp.Answer{Head: rawhttp.Unmarked, Body: token, Reset: true}, node.CauseCrashed},
		{"engine, length, closed early", engine, rawhttp.Answer{Head: rawhttp.Length(len(token) + 1), Body: token}, node.CauseCrashed},
		{"plain, length, whole", plain, rawhttp.Answer{Head: rawhttp.Length(len(document)), Body: document}, ""},
		{"plain, length, closed early", plain, rawhttp.Answer{Head: rawhttp.Length(len(document) + 1), Body: document}, node.CauseCrashed},
		{"plain, chunks, closed early", plain, rawhttp.Answer{Head: rawhttp.Chunked, Body: rawhttp.Chunk(document)}, node.CauseCrashed},
		{"plain, close, whole", plain, rawhttp.Answer{Head: rawhttp.Unmarked, Body: document}, ""},
		{"plain, close, cut", plain, rawhttp.Answer{Head: rawhttp.Unmarked, Body: document[:5]}, node.CauseCrashed},
		{"plain, close, number", plain, rawhttp.Answer{Head: rawhttp.Unmarked, Body: "12"}, node.CauseCrashed},
		{"plain, close, reset", plain, rawhttp.Answer{Head: rawhttp.Unmarked, Body: document, Reset: true}, node.CauseCrashed},
		{"plain, length, number", plain, rawhttp.Answer{Head: rawhttp.Length(2), Body: "12"}, ""},
		{"503, close, cut", plain, rawhttp.Answer{Head: "HTTP/1.1 503 x\r\n" + rawhttp.Unmarked, Body: `{"reason":"busy"`}, node.CauseError},
		{"503, close, whole", plain, rawhttp.Answer{Head: "HTTP/1.1 503 x\r\n" + rawhttp.Unmarked, Body: `{"reason":"busy"}`}, node.CauseBusy},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			address := rawhttp.Start(c, test.answer)
			e := runAt(address, test.kind)
			failed, isFailed := e.(node.UpstreamFailed)
			c.Assert(isFailed, qt.Equals, test.cause != "", qt.Commentf("%+v", e))
			c.Assert(failed.Cause, qt.Equals, test.cause, qt.Commentf("%+v", e))
		})
	}
}

// TestCutLoadReportIsNoReport: what is missing must not count as no load.
func TestCutLoadReportIsNoReport(t *testing.T) {
	for body, whole := range map[string]bool{`{"running":3,"waiting":1}`: true, `{"running":3`: false, "": false, "null": false} {
		t.Run(body, func(t *testing.T) {
			c := qt.New(t)
			address := rawhttp.Start(c, rawhttp.Answer{Head: rawhttp.Unmarked, Body: body})
			_, err := New(http.DefaultClient).Load(context.Background(), upstream.Upstream{Address: address}, time.Now())
			c.Assert(err == nil, qt.Equals, whole, qt.Commentf("%v", err))
		})
	}
}
