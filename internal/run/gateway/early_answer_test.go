package gateway

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"monsoonlanding/internal/standin/rawhttp"
)

const (
	// uploadBytes is the size of the uploads of these tests, more than the kernel holds for a connection.
	uploadBytes = 3 << 20
	// uploadPlays is the number of uploads per row: which end meets the reset first is left to chance.
	uploadPlays = 40
	// readOfUpload is how much of an upload an upstream reads that answers early.
	readOfUpload = 200 << 10
)

// upload sends a long body to a path of a node.
func upload(c *qt.C, server *httptest.Server, path string) (*http.Response, error) {
	req, err := http.NewRequest(http.MethodPost, server.URL+path, strings.NewReader(strings.Repeat("u", uploadBytes)))
	c.Assert(err, qt.IsNil)
	req.Host = "h"
	return server.Client().Do(req)
}

// TestPartOfEarlyAnswerIsNotWhole: an upstream answered a long upload at once, without a length, and reset the
// connection while the upload was being written. The caller got the part that had been sent as a whole answer.
func TestPartOfEarlyAnswerIsNotWhole(t *testing.T) {
	part := strings.Repeat("x", 3000)
	for _, row := range []struct{ name, path, head, body string }{
		{"document", unsafePath, plainHead, part},
		{"document, repeated", safePath, plainHead, part},
		{"long document", unsafePath, plainHead, strings.Repeat(part, 200)},
		{"events", oncePath, streamHead, threeEvents},
		{"upstream's error", unsafePath, "HTTP/1.1 500 Internal Server Error\r\n" + plainHead, part},
	} {
		t.Run(row.name, func(t *testing.T) {
			c := qt.New(t)
			answer := rawhttp.Answer{Head: row.head + rawhttp.Unmarked, Body: row.body, Early: readOfUpload, Reset: true}
			server := serveNode(c, newTestRunner(rawhttp.Start(c, answer)))
			for range uploadPlays {
				resp, err := upload(c, server, row.path)
				if err != nil {
					continue
				}
				body, err := io.ReadAll(resp.Body)
				_ = resp.Body.Close()
				whole := err == nil && strings.HasPrefix(string(body), row.body[:20])
				c.Assert(whole, qt.IsFalse, qt.Commentf("status %d, %d bytes", resp.StatusCode, len(body)))
			}
		})
	}
}

// TestWholeEarlyAnswerIsRelayed: an upstream that answers before it has read the upload, and reads on, has its
// answer relayed in any framing.
func TestWholeEarlyAnswerIsRelayed(t *testing.T) {
	for name, framing := range map[string]string{"length": rawhttp.Length(len(document)) + rawhttp.Unmarked, "close": rawhttp.Unmarked} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			answer := rawhttp.Answer{Head: plainHead + framing, Body: document, Early: uploadBytes}
			server := serveNode(c, newTestRunner(rawhttp.Start(c, answer)))
			for range uploadPlays / 4 {
				resp, err := upload(c, server, unsafePath)
				c.Assert(err, qt.IsNil)
				body, err := io.ReadAll(resp.Body)
				c.Assert(err, qt.IsNil)
				c.Assert(string(body), qt.Equals, document)
			}
		})
	}
}
