package http1

import (
	"bufio"
	"io"
	"net/http"
	"strconv"

	"github.com/go-faster/errors"
)

// Request is a request with its complete body.
type Request struct {
	// ID is the ID by which the answer names the request. Without one, the exchange has a
	// connection of its own.
	ID     string
	Method string
	// Target is the path and query, unchanged from the caller's request.
	Target string
	Host   string
	// Header must not contain Content-Length, Host or connection headers.
	Header http.Header
	Body   []byte
	// Admit is asked when the connection is open and nothing has been written yet. The
	// exchange fails with ErrWithheld if it returns false. nil admits all requests.
	Admit func() bool
	// Hold is asked for memory before more than a few KB of a head are held, which takes several times
	// their size. The exchange fails if it returns false. nil: heads have their own bound only.
	Hold func(bytes int64) bool
	// MaxIdle bounds the idle connections to the upstream after the exchange, 0 for
	// no bound.
	MaxIdle int
}

// write writes the request, with a Content-Length header for its body, and
// flushes w.
func (r *Request) write(w *bufio.Writer) error {
	if _, err := w.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n"); err != nil {
		return err
	}
	if err := r.Header.Write(w); err != nil {
		return err
	}
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		if _, err := w.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n"); err != nil {
			return err
		}
	}
	if _, err := w.WriteString("\r\n"); err != nil {
		return err
	}
	if _, err := w.Write(r.Body); err != nil {
		return err
	}
	return w.Flush()
}

// Error describes a failed exchange.
type Error struct {
	// Step is the step that failed: connect, admit, write, head or body.
	Step string
	// Peer is the upstream's address.
	Peer string
	// Connection is the connection of the exchange, zero if there was none.
	Connection Connection
	// Written is set if the upstream may have received the request.
	Written bool
	// Malformed is set if the bytes that arrived are no answer or exceed a limit.
	Malformed bool
	Err       error
}

// Error returns the step, the peer and the cause.
func (e *Error) Error() string { return e.Step + " " + e.Peer + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Written reports whether the upstream may have received the request that
// failed with err. It returns true for an error that is not an *Error.
func Written(err error) bool {
	var e *Error
	return !errors.As(err, &e) || e.Written
}

// stepConnect is the step of an Error of an exchange without a connection.
const stepConnect = "connect"

// stepAdmit is the step of an Error of an exchange that Request.Admit has ended.
const stepAdmit = "admit"

// ConnectFailed reports whether err shows that no connection could be opened.
func ConnectFailed(err error) bool {
	var e *Error
	return errors.As(err, &e) && e.Step == stepConnect
}

// Malformed reports whether err shows that the bytes that arrived are no answer.
func Malformed(err error) bool {
	var e *Error
	return errors.As(err, &e) && e.Malformed
}

// ErrWithheld is the cause of an exchange that Request.Admit has ended before the request was
// written.
var ErrWithheld = errors.New("request withheld before it was written")

// countingWriter counts the bytes written to w.
type countingWriter struct {
	w       io.Writer
	written int
}

func (c *countingWriter) Write(b []byte) (int, error) {
	n, err := c.w.Write(b)
	c.written += n
	return n, err
}
