package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"monsoonlanding/internal/standin/rawhttp"
)

// maxCutTries bounds the tries until a request has reached the upstream.
const maxCutTries = 50

// cutUpstream answers the requests to /X/N by the first N bytes of an answer, and closes or resets
// the connection.
func cutUpstream(c *qt.C, answer string, reset bool, arrivals *atomic.Int64) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		arrivals.Add(1)
		_, _ = io.Copy(io.Discard, r.Body)
		conn, _, err := w.(http.Hijacker).Hijack()
		c.Check(err, qt.IsNil)
		var cut int
		_, err = fmt.Sscanf(r.URL.Path[strings.LastIndex(r.URL.Path, "/")+1:], "%d", &cut)
		c.Check(err, qt.IsNil)
		_, _ = io.WriteString(conn, answer[:cut])
		if reset {
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
		_ = conn.Close()
	}
}

// TestHeadThatIsCutAnywhere: an upstream that stopped in the middle of its answer's head and closed
// gave callers elsewhere a 200 with an empty or short body, framed as whole. Whatever was read of the
// head, no caller gets a success, at the node that took the request or through another one.
func TestHeadThatIsCutAnywhere(t *testing.T) {
	heads := map[string]string{
		"length":   streamHead + rawhttp.Length(len(threeEvents)),
		"chunks":   streamHead + rawhttp.Chunked,
		"unmarked": rawhttp.Unmarked + plainHead,
		"bare":     "X-Any: 1\r\nContent-Length: 1000\r\n",
		"interim":  "\r\nHTTP/1.1 200 OK\r\n" + rawhttp.Length(3),
	}
	for name, head := range heads {
		statusLine := "HTTP/1.1 200 OK\r\n"
		if name == "interim" {
			statusLine = "HTTP/1.1 103 Early Hints\r\n"
		}
		answer := statusLine + head + "\r\n"
		for _, path := range []string{"/o/", "/d/"} {
			for _, row := range []struct{ reset, relayed bool }{{}, {reset: true}, {relayed: true}} {
				t.Run(fmt.Sprintf("%s%sreset=%t/relayed=%t", name, path, row.reset, row.relayed), func(t *testing.T) {
					t.Parallel()
					c := qt.New(t)
					var arrivals atomic.Int64
					upstream := cutUpstream(c, answer, row.reset, &arrivals)
					server, _ := newTestNode(c, upstream)
					for cut := range len(answer) {
						// The node that requests are passed on to counts as silent after a second.
						before := arrivals.Load()
						for try := 0; arrivals.Load() == before && try < maxCutTries; try++ {
							if row.relayed {
								server, _ = newCutOffNode(c, upstream)
							}
							checkNoSuccess(c, server, path, cut, answer)
						}
					}
					c.Assert(arrivals.Load() >= int64(len(answer)), qt.IsTrue)
				})
			}
		}
	}
}

// checkNoSuccess sends a request whose answer is cut, and checks that its caller gets no success.
func checkNoSuccess(c *qt.C, server *httptest.Server, path string, cut int, answer string) {
	resp, err := get(c, context.Background(), server, path+fmt.Sprint(cut))
	if err != nil {
		return
	}
	body, _ := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	c.Assert(resp.StatusCode/100, qt.Not(qt.Equals), 2, qt.Commentf("%d bytes %q: body %q", cut, answer[:cut], body))
}
