package gateway

import (
	"context"
	"io"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	core "monsoonlanding/internal/core/gateway"
	"monsoonlanding/internal/core/peer"
	"monsoonlanding/internal/core/quarantine"
	"monsoonlanding/internal/standin/rawhttp"
)

// TestWrongHeadReachesNoReader guards against a reader of answers that takes a head which is none: each way in
// which a head is wrong, against each reader of an upstream's answer.
func TestWrongHeadReachesNoReader(t *testing.T) {
	length := rawhttp.Length(len(document))
	sound := rawhttp.Answer{Head: plainHead + length, Body: document}
	begun := rawhttp.Answer{Head: streamHead + rawhttp.Chunked, Body: rawhttp.Chunk(threeEvents)}
	rest := rawhttp.Answer{Head: streamHead + rawhttp.Chunked, Body: rawhttp.Chunk(event(4)) + rawhttp.Chunk("")}
	for _, way := range rawhttp.WrongHeads() {
		wrong := func(status, fields, body string) rawhttp.Answer {
			return rawhttp.Answer{Head: way.Head(status, fields), Body: body}
		}
		streamed := wrong("200 OK", streamHead+rawhttp.Length(len(threeEvents)), threeEvents)
		resumed := wrong("200 OK", streamHead+rawhttp.Length(len(event(4))), event(4))
		for _, test := range []answerEnd{
			{"document", unsafePath, []rawhttp.Answer{wrong("200 OK", plainHead+length, document)}, failed},
			{"document, repeated", safePath, []rawhttp.Answer{wrong("200 OK", plainHead+length, document), sound}, received{200, "length", document, true}},
			{"events", oncePath, []rawhttp.Answer{streamed}, failed},
			{"events, resumed", resumePath, []rawhttp.Answer{begun, resumed, rest}, received{200, "chunks", threeEvents + event(4), true}},
			{"error", unsafePath, []rawhttp.Answer{wrong("500 Internal Server Error", plainHead+length, document)}, failed},
			{"refusal", unsafePath, []rawhttp.Answer{wrong("503 Service Unavailable", plainHead+length, document)}, failed},
		} {
			test.name = way.Name + "/" + test.name
			test.run(t)
		}
	}
}

// TestWrongHeadOfNodeReachesNobody is the same for the answer of a node that a request is passed on to.
func TestWrongHeadOfNodeReachesNobody(t *testing.T) {
	for _, way := range rawhttp.WrongHeads() {
		t.Run(way.Name, func(t *testing.T) {
			c := qt.New(t)
			answer := rawhttp.Answer{Head: way.Head("200 OK", plainHead+rawhttp.Length(len(document))), Body: document}
			r := newTestRunner("127.0.0.1:1")
			r.submit(core.UpstreamProbed{Upstream: "u0"})
			r.submit(core.PeerReceived{From: "b", Message: peer.Status{
				Node: "b", Start: 1, Zone: "z", PeerAddress: rawhttp.Start(c, answer),
				Ready: true, ConfigVersion: 1, Reaches: true, TakesRelays: true, Time: time.Now(),
				Reached: []peer.ReachedUpstream{{Process: quarantine.ProcessID("u0", time.Time{})}},
			}})
			resp, err := get(c, context.Background(), serveNode(c, r), unsafePath)
			c.Assert(err, qt.IsNil)
			body, err := io.ReadAll(resp.Body)
			c.Assert(err, qt.IsNil)
			c.Assert(string(body), qt.Equals, failed.body)
		})
	}
}
