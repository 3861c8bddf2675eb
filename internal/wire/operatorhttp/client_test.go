package operatorhttp

import (
	"context"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"monsoonlanding/internal/core/node"
	"monsoonlanding/internal/standin/rawhttp"
)

func newTestClient(c *qt.C, answer rawhttp.Answer) *Client {
	address := rawhttp.Start(c, answer)
	return NewClient(address, "token", http.DefaultClient)
}

// TestCutAnswerOfNodeIsAnError: an operator must not read a cut answer as empty
// rules or as a change that was applied.
func TestCutAnswerOfNodeIsAnError(t *testing.T) {
	ctx := context.Background()
	for _, body := range []string{"", `{"revision":7,"te`, `[{"revision":7`} {
		t.Run(body, func(t *testing.T) {
			c := qt.New(t)
			client := newTestClient(c, rawhttp.Answer{Head: rawhttp.Unmarked, Body: body})
			_, err := client.Rules(ctx)
			c.Assert(err, qt.IsNotNil)
			_, err = client.History(ctx)
			c.Assert(err, qt.IsNotNil)
			_, err = client.Apply(ctx, 7, "", "e", "a")
			c.Assert(err, qt.IsNotNil)
		})
	}
}

func TestOutcomeOfRefusedChangeIsReturned(t *testing.T) {
	c := qt.New(t)
	client := newTestClient(c, rawhttp.Answer{Head: "HTTP/1.1 409 Conflict\r\n" + rawhttp.Unmarked, Body: `{"outcome":"conflict","revision":8}`})
	result, err := client.Apply(context.Background(), 7, "", "e", "a")
	c.Assert(err, qt.IsNil)
	c.Assert(result, qt.DeepEquals, ApplyResult{Outcome: node.ApplyOutcome("conflict"), Revision: 8})
}
