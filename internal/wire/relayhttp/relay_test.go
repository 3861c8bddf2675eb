package relayhttp

import (
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestRelayedRequestIsAuthenticated: only a node with the token can pass requests on, and its
// headers go no further.
func TestRelayedRequestIsAuthenticated(t *testing.T) {
	valid := Request{Token: "t", From: "node-a", Attempts: 2}
	for name, row := range map[string]struct {
		change func(http.Header)
		ok     bool
	}{
		"valid":              {func(http.Header) {}, true},
		"wrong token":        {func(h http.Header) { h.Set(headerToken, "x") }, false},
		"no token":           {func(h http.Header) { h.Del(headerToken) }, false},
		"no node":            {func(h http.Header) { h.Del(headerFrom) }, false},
		"no attempts":        {func(h http.Header) { h.Del(headerAttempts) }, false},
		"attempts negative":  {func(h http.Header) { h.Set(headerAttempts, "-1") }, false},
		"attempts no number": {func(h http.Header) { h.Set(headerAttempts, "two") }, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			h := http.Header{"Other": {"o"}}
			valid.Set(h)
			row.change(h)
			r, ok := Parse(h, "t")
			c.Assert(ok, qt.Equals, row.ok)
			if ok {
				c.Assert(r, qt.Equals, valid)
			}
			c.Assert(h, qt.DeepEquals, http.Header{"Other": {"o"}})
		})
	}
}

func TestOutcomeIsTakenOffTheAnswer(t *testing.T) {
	c := qt.New(t)
	h := http.Header{}
	c.Assert(Take(h), qt.Equals, Outcome(""))
	OutcomeFailed.Set(h)
	c.Assert(Take(h), qt.Equals, OutcomeFailed)
	c.Assert(h, qt.HasLen, 0)
}
