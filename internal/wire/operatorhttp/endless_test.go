package operatorhttp

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"monsoonlanding/internal/standin/rawhttp"
)

// countingConn counts the bytes that are read from a connection.
type countingConn struct {
	net.Conn
	read *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.read.Add(int64(n))
	return n, err
}

// TestAnswerOfNodeWithoutEnd: an answer without end is an error, and no more than
// its limit is read.
func TestAnswerOfNodeWithoutEnd(t *testing.T) {
	c := qt.New(t)
	// bufferBytes is what the transport may read ahead, and the head of the answer.
	const bufferBytes = 64 << 10
	var read atomic.Int64
	transport := &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := new(net.Dialer).DialContext(ctx, network, address)
		return countingConn{conn, &read}, err
	}}
	address := rawhttp.Start(c, rawhttp.Answer{Head: rawhttp.Unmarked, Body: `{"text":"`, Endless: "x"})
	_, err := NewClient(address, "token", &http.Client{Transport: transport}).Rules(t.Context())
	c.Assert(err, qt.IsNotNil)
	c.Assert(read.Load() <= maxAnswerBytes+bufferBytes, qt.IsTrue, qt.Commentf("%d bytes", read.Load()))
}
