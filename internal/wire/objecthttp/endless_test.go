package objecthttp

import (
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"monsoonlanding/internal/standin/rawhttp"
)

// TestAnswersWithoutEnd: a value or a list without end is an error, and no more than
// its limit is read.
func TestAnswersWithoutEnd(t *testing.T) {
	// socketBytes is what the kernel may hold of bytes that nobody has read.
	const socketBytes = 16 << 20
	chunk := rawhttp.Chunk(string(make([]byte, 1<<14)))
	for name, do := range map[string]func(*Client) error{
		"value": func(client *Client) error {
			_, err := client.Get(t.Context(), "rules/current")
			return err
		},
		"list": func(client *Client) error {
			_, err := client.List(t.Context(), "moves/")
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var sent atomic.Int64
			answer := rawhttp.Answer{Head: revisionHead + rawhttp.Chunked, Body: rawhttp.Chunk(`["`), Endless: chunk, Sent: &sent}
			c.Check(do(newClient(c, answer)), qt.IsNotNil)
			c.Check(sent.Load() <= maxListBytes+socketBytes, qt.IsTrue, qt.Commentf("%d bytes", sent.Load()))
		})
	}
}
