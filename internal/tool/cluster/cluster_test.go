package cluster

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"monsoonlanding/internal/core/caller"
	"monsoonlanding/internal/core/node"
	"monsoonlanding/internal/run/clock"
	"monsoonlanding/internal/standin/engine"
	"monsoonlanding/internal/standin/platform"
	"monsoonlanding/internal/standin/service"
	"monsoonlanding/internal/wire/callerhttp"
	"monsoonlanding/internal/wire/operatorhttp"
	"monsoonlanding/internal/wire/peerws"
)

func startCluster(t *testing.T, tokenInterval time.Duration) *Cluster {
	t.Helper()
	c, err := Start(Config{
		Nodes: 3, Zones: []string{"a", "b", "c"}, Teams: []string{"crew"}, Engines: 2, Services: 2,
		Engine:  engine.Config{Slots: 32, FirstTokenLatency: time.Millisecond, EventInterval: tokenInterval},
		Service: service.Config{Slots: 32, Delay: time.Millisecond},
		Log:     zerolog.Nop(),
	})
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(c.Close)
	return c
}

// do sends an HTTP request to a node and returns the response and its body.
func do(t *testing.T, method, url string, header map[string]string, body string) (*http.Response, string) {
	t.Helper()
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	qt.Assert(t, err, qt.IsNil)
	for k, v := range header {
		req.Header.Set(k, v)
	}
	resp, err := http.DefaultClient.Do(req)
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	qt.Assert(t, err, qt.IsNil)
	return resp, string(text)
}

func TestMalformedRequests(t *testing.T) {
	c := startCluster(t, time.Millisecond)
	url := "http://" + c.CallerAddresses()[0] + "/v1/services/plans/requests"
	valid := map[string]string{"Authorization": "Bearer " + TeamKey("crew"), "Idempotency-Key": "k"}
	tests := []struct {
		name   string
		header map[string]string
		body   string
		status int
		reason caller.Reason
	}{
		{"empty idempotency key", map[string]string{"Idempotency-Key": ""}, "{}", 400, callerhttp.ReasonMalformed},
		{"invalid idempotency key", map[string]string{"Idempotency-Key": "a b/c"}, "{}", 400, callerhttp.ReasonMalformed},
		{"invalid JSON", nil, "{", 400, callerhttp.ReasonMalformed},
		{"invalid timeout", map[string]string{"Request-Timeout": "soon"}, "{}", 400, callerhttp.ReasonMalformed},
		{"negative timeout", map[string]string{"Request-Timeout": "-1s"}, "{}", 400, callerhttp.ReasonMalformed},
		{"priority out of range", map[string]string{"Request-Priority": "99"}, "{}", 400, callerhttp.ReasonMalformed},
		{"invalid non-idempotent flag", map[string]string{"Non-Idempotent": "perhaps"}, "{}", 400, callerhttp.ReasonMalformed},
		{"invalid last event id", map[string]string{"Last-Event-ID": "x"}, "{}", 400, callerhttp.ReasonMalformed},
		{"body too large", nil, `"` + strings.Repeat("x", 5<<20) + `"`, 400, callerhttp.ReasonMalformed},
		{"wrong team key", map[string]string{"Authorization": "Bearer nobody"}, "{}", 401, callerhttp.ReasonUnauthorized},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			header := make(map[string]string)
			for k, v := range valid {
				header[k] = v
			}
			for k, v := range test.header {
				header[k] = v
			}
			resp, text := do(t, http.MethodPost, url, header, test.body)
			qt.Assert(t, resp.StatusCode, qt.Equals, test.status, qt.Commentf("%s", text))
			var p callerhttp.Problem
			qt.Assert(t, json.Unmarshal([]byte(text), &p), qt.IsNil)
			qt.Assert(t, p.Reason, qt.Equals, test.reason)
			qt.Assert(t, p.Outcome, qt.Equals, caller.NotRun)
		})
	}
	resp, text := do(t, http.MethodPost, strings.Replace(url, "plans", "nothing", 1), valid, "{}")
	qt.Assert(t, resp.StatusCode, qt.Equals, 404, qt.Commentf("%s", text))
}

func TestWrongTokensAreRejected(t *testing.T) {
	c := startCluster(t, time.Millisecond)
	_, peers, operators := c.Node(0).Addresses()
	for _, path := range []string{"/v1/status", "/v1/rules", "/debug/vars", "/v1/rules/history"} {
		resp, _ := do(t, http.MethodGet, "http://"+operators+path, map[string]string{"Authorization": "Bearer wrong"}, "")
		qt.Assert(t, resp.StatusCode, qt.Equals, http.StatusUnauthorized, qt.Commentf("%s", path))
	}
	resp, _ := do(t, http.MethodGet, "http://"+peers+peerws.Path, map[string]string{"Authorization": "Bearer wrong"}, "")
	qt.Assert(t, resp.StatusCode, qt.Equals, http.StatusUnauthorized)
	resp, text := do(t, http.MethodGet, "http://"+operators+"/debug/vars", map[string]string{"Authorization": "Bearer " + token}, "")
	qt.Assert(t, resp.StatusCode, qt.Equals, http.StatusOK)
	for _, reason := range caller.Reasons() {
		qt.Assert(t, strings.Contains(text, string(reason)), qt.IsTrue, qt.Commentf("%s", reason))
	}
	resp, _ = do(t, http.MethodGet, "http://"+operators+"/readyz", nil, "")
	qt.Assert(t, resp.StatusCode, qt.Equals, http.StatusOK)
}

// TestAnswerIsReadableAtAllNodes sends a request to one node and reads its
// answer from the other nodes, completely and from an offset.
func TestAnswerIsReadableAtAllNodes(t *testing.T) {
	c := startCluster(t, time.Millisecond)
	header := map[string]string{"Authorization": "Bearer " + TeamKey("crew"), "Idempotency-Key": "anywhere"}
	body := `{"prompt": "x", "max_tokens": 50}`
	_, first := do(t, http.MethodPost, "http://"+c.CallerAddresses()[0]+"/v1/services/plans/requests", header, body)
	var whole callerhttp.Document
	qt.Assert(t, json.Unmarshal([]byte(first), &whole), qt.IsNil)
	qt.Assert(t, whole.Text, qt.Equals, strings.Join(engine.Answer([]byte(body)), ""))
	for _, address := range c.CallerAddresses()[1:] {
		_, text := do(t, http.MethodGet, "http://"+address+"/v1/requests/anywhere", header, "")
		var again callerhttp.Document
		qt.Assert(t, json.Unmarshal([]byte(text), &again), qt.IsNil)
		qt.Assert(t, again, qt.DeepEquals, whole)
	}
	header["Last-Event-ID"] = whole.Run + ":48"
	header["Accept"] = "text/event-stream"
	_, text := do(t, http.MethodGet, "http://"+c.CallerAddresses()[1]+"/v1/requests/anywhere", header, "")
	qt.Assert(t, strings.Contains(text, `"offset":48`), qt.IsTrue, qt.Commentf("%s", text))
	qt.Assert(t, strings.Contains(text, `"offset":0`), qt.IsFalse)
}

// TestStreamsCutInOrderAreContinued: an engine answers without length or chunks
// and closes each connection in order inside an event. Its answers go on at the
// other engine, and callers receive all tokens.
func TestStreamsCutInOrderAreContinued(t *testing.T) {
	c := startCluster(t, time.Millisecond)
	c.Engine(0).Engine.SetFault(engine.FaultCut)
	for i := range 20 {
		key := fmt.Sprintf("cut-%d", i)
		header := map[string]string{"Authorization": "Bearer " + TeamKey("crew"), "Idempotency-Key": key}
		body := fmt.Sprintf(`{"prompt": %q, "max_tokens": 30}`, key)
		resp, text := do(t, http.MethodPost, "http://"+c.CallerAddresses()[i%3]+"/v1/services/plans/requests", header, body)
		qt.Assert(t, resp.StatusCode, qt.Equals, http.StatusOK, qt.Commentf("%s", text))
		var d callerhttp.Document
		qt.Assert(t, json.Unmarshal([]byte(text), &d), qt.IsNil)
		qt.Assert(t, d.Text, qt.Equals, strings.Join(engine.Answer([]byte(body)), ""))
	}
	started, _ := c.Engine(0).Engine.Runs()
	qt.Assert(t, started > 0, qt.IsTrue)
}

// TestStopCompletesAnswers stops a node while it streams an answer: the answer
// is complete, and the node is no longer in the list of addresses.
func TestStopCompletesAnswers(t *testing.T) {
	c := startCluster(t, 5*time.Millisecond)
	header := map[string]string{"Authorization": "Bearer " + TeamKey("crew"), "Idempotency-Key": "stop"}
	body := `{"prompt": "x", "max_tokens": 100}`
	time.AfterFunc(100*time.Millisecond, c.Node(0).Stop)
	resp, text := do(t, http.MethodPost, "http://"+c.CallerAddresses()[0]+"/v1/services/plans/requests", header, body)
	qt.Assert(t, resp.StatusCode, qt.Equals, http.StatusOK)
	var d callerhttp.Document
	qt.Assert(t, json.Unmarshal([]byte(text), &d), qt.IsNil)
	qt.Assert(t, d.Count, qt.Equals, 100)
	list, err := callerhttp.NewClient(c.CallerAddresses()[1:], TeamKey("crew"), http.DefaultClient, clock.System{}).Addresses(context.Background())
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, list.Addresses, qt.HasLen, 2)
}

// TestConcurrentRulesChanges has two operators edit the same revision: one change
// is accepted and the other is a conflict.
func TestConcurrentRulesChanges(t *testing.T) {
	c := startCluster(t, time.Millisecond)
	ctx := context.Background()
	type result struct {
		applied operatorhttp.ApplyResult
		err     error
	}
	results := make(chan result)
	for i, author := range []string{"one", "two"} {
		go func() {
			applied, err := c.Operator(i).Apply(ctx, 1, Rules([]string{"crew"}, author), author, author)
			results <- result{applied, err}
		}()
	}
	first, second := <-results, <-results
	qt.Assert(t, first.err, qt.IsNil)
	qt.Assert(t, second.err, qt.IsNil)
	outcomes := map[node.ApplyOutcome]int{first.applied.Outcome: 1}
	outcomes[second.applied.Outcome]++
	qt.Assert(t, outcomes, qt.DeepEquals, map[node.ApplyOutcome]int{node.ApplyAccepted: 1, node.ApplyConflict: 1})
}

// TestRulesWithLostPlatformResponse has the platform lose its response to a
// write of the rules: the change is still reported as accepted.
func TestRulesWithLostPlatformResponse(t *testing.T) {
	c := startCluster(t, time.Millisecond)
	c.Platform().SetFaults(platform.Faults{DropAnswerEvery: 1})
	a, err := c.Operator(0).Apply(context.Background(), 1, Rules([]string{"crew"}, "lost"), "lost", "x")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, a.Outcome, qt.Equals, node.ApplyAccepted)
	qt.Assert(t, a.Revision, qt.Equals, uint64(2))
}

// TestInvalidRulesChangeNothing applies rules with an error: they are rejected
// and the revision in force stays.
func TestInvalidRulesChangeNothing(t *testing.T) {
	c := startCluster(t, time.Millisecond)
	ctx := context.Background()
	a, err := c.Operator(0).Apply(ctx, 1, "service.x = { kind = \"plain\" }\n", "bad", "x")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, a.Outcome, qt.Equals, node.ApplyInvalid)
	qt.Assert(t, a.Problems, qt.HasLen, 1)
	rules, err := c.Operator(0).Rules(ctx)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, rules.Revision, qt.Equals, uint64(1))
}
