package boundedtcp

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"monsoonlanding/internal/core/memory"
)

// TestHandlerBoundsBodies: bodies that stop short held memory for as long as their clients stayed.
func TestHandlerBoundsBodies(t *testing.T) {
	c := qt.New(t)
	budget := memory.New(1 << 20)
	server := httptest.NewServer(Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 600_000))
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		fmt.Fprint(w, len(body))
	}), budget, 600_000))
	c.Cleanup(server.Close)
	post := func(body io.Reader) (int, string) {
		resp, err := http.Post(server.URL, "text/plain", body)
		c.Assert(err, qt.IsNil)
		defer func() { _ = resp.Body.Close() }()
		answer, err := io.ReadAll(resp.Body)
		c.Assert(err, qt.IsNil)
		return resp.StatusCode, string(answer)
	}
	status, answer := post(strings.NewReader(strings.Repeat("x", 600_000)))
	c.Assert(status, qt.Equals, http.StatusOK)
	c.Assert(answer, qt.Equals, "600000")
	status, answer = post(io.MultiReader(strings.NewReader("in pieces")))
	c.Assert(status, qt.Equals, http.StatusOK)
	c.Assert(answer, qt.Equals, "9")

	held := budget.Lease(memory.Body)
	c.Assert(held.Grow(500_000), qt.IsTrue)
	status, _ = post(strings.NewReader(strings.Repeat("x", 400_000)))
	c.Assert(status, qt.Equals, http.StatusServiceUnavailable)
	status, _ = post(strings.NewReader("small"))
	c.Assert(status, qt.Equals, http.StatusOK)
	held.Release()
	c.Assert(budget.Taken()[memory.Body], qt.Equals, int64(0))
}
