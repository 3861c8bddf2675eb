package http1

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// Framing is how an answer's head says where its body ends.
type Framing string

// Framings of answers.
const (
	// FramingLength: the head has the length, or the answer has no body.
	FramingLength Framing = "length"
	// FramingChunks: the body comes in chunks, and the last one is marked.
	FramingChunks Framing = "chunks"
	// FramingClose: the body ends with the connection. A body that was cut by an
	// orderly close cannot be told from a whole one.
	FramingClose Framing = "close"
)

// Answer is an upstream's answer. Its head has been read, its body has not.
type Answer struct {
	pool       *Pool
	conn       *conn
	connection Connection
	// dialed is set if the connection was opened for this exchange.
	dialed bool
	method string
	// id is that of the request.
	id string
	// extra counts the copies of earlier answers that came before this one.
	extra    int
	response *http.Response
	// writeResult receives the result of writing a request with a large body.
	// Such a request is written while the answer is read. The channel is nil for
	// other requests.
	writeResult chan error
	// stop cancels the callback that interrupts the connection when the context
	// ends. It returns false if the callback has been started already.
	stop     func() bool
	complete bool
	failed   bool
	// maxIdle and hold are those of the request.
	maxIdle int
	hold    func(bytes int64) bool
}

// Status returns the status code.
func (a *Answer) Status() int { return a.response.StatusCode }

// Dialed reports whether the connection was opened for this exchange.
func (a *Answer) Dialed() bool { return a.dialed }

// Connection describes the connection of an exchange, for logs.
type Connection struct {
	// Number identifies the connection in this process, 0 if none was opened.
	Number uint64
	// Exchanges is the number of requests that it carried before.
	Exchanges int
}

// Connection returns the connection of the exchange.
func (a *Answer) Connection() Connection { return a.connection }

// Extra returns the number of copies of earlier answers that came before this one and were
// skipped.
func (a *Answer) Extra() int { return a.extra }

// Names returns the ID of the request that the answer names, empty if it names none.
func (a *Answer) Names() string {
	if a.pool.cfg.AnswerID == nil {
		return ""
	}
	return a.pool.cfg.AnswerID(a.response.Header)
}

// Own reports whether the answer is that to the request of this exchange: it names that request,
// or it names none and the connection has carried no other one.
func (a *Answer) Own() bool {
	id := a.Names()
	if a.pool.cfg.AnswerID == nil || id == a.id {
		return true
	}
	return id == "" && a.connection.Exchanges == 0
}

// Header returns the headers.
func (a *Answer) Header() http.Header { return a.response.Header }

// Framing returns how the end of the body is marked.
func (a *Answer) Framing() Framing { return FramingOf(a.response) }

// FramingOf returns how the end of a response's body is marked. net/http reads a
// compressed body, which has an end of its own, without its length.
func FramingOf(r *http.Response) Framing {
	switch {
	case len(r.TransferEncoding) > 0 || r.Uncompressed:
		return FramingChunks
	case r.ContentLength >= 0 || r.Body == http.NoBody:
		return FramingLength
	default:
		return FramingClose
	}
}

// Read reads the body. It returns io.EOF at its end, which proves that the body is
// complete only if the framing marks it.
func (a *Answer) Read(b []byte) (int, error) {
	n, err := a.response.Body.Read(b)
	switch {
	case err == io.EOF && a.Framing() == FramingClose && !a.awaitRequestWritten():
		a.failed = true
		err = a.readError("body", errCutWhileWriting)
	case err == io.EOF:
		a.complete = true
	case err != nil:
		a.failed = true
		err = a.readError("body", err)
	}
	return n, err
}

// readError returns the error of a step in which reading the answer failed.
func (a *Answer) readError(step string, err error) error {
	return &Error{Step: step, Peer: a.conn.address, Connection: a.connection, Written: true, Malformed: isMalformed(err), Err: err}
}

// Length returns the length of the body, -1 if the head does not have it.
func (a *Answer) Length() int64 { return a.response.ContentLength }

// Drain reads up to limit bytes of a body that is not used, within a time, so that
// the connection can be reused if the answer ends there.
func (a *Answer) Drain(limit int64, within time.Duration) error {
	if err := a.conn.SetReadDeadline(time.Now().Add(within)); err != nil {
		return err
	}
	if _, err := io.CopyN(io.Discard, a, limit); err != nil && err != io.EOF {
		return err
	}
	return a.conn.SetReadDeadline(time.Time{})
}

// Close ends the exchange. The connection returns to the pool if the answer was
// read to its end and no bytes follow it; otherwise it is closed.
func (a *Answer) Close() {
	if !a.reusable() {
		a.discard()
		return
	}
	if !a.stop() {
		_ = a.conn.Close()
		return
	}
	a.pool.put(a.conn, idleTimeout(a.response.Header), a.maxIdle)
}

func (a *Answer) reusable() bool {
	if a.failed || !a.complete || a.response.Close || a.conn.unread() > 0 {
		return false
	}
	if !a.pool.mayCarryMore(a.conn, a.id) {
		return false
	}
	return a.Framing() != FramingClose && a.requestWritten()
}

// errCutWhileWriting is the cause of a body that ends with its connection before the request has been
// written. The kernel reports a reset once, to the writer, and the reader then finds an orderly end.
var errCutWhileWriting = errors.Wrap(io.ErrUnexpectedEOF, "connection ended before the request was written")

// awaitRequestWritten ends the writing of the request, and reports whether it had been written whole.
func (a *Answer) awaitRequestWritten() bool {
	if a.writeResult == nil {
		return true
	}
	_ = a.conn.SetWriteDeadline(time.Unix(1, 0))
	err := <-a.writeResult
	a.writeResult <- err
	return err == nil
}

// requestWritten reports whether the complete request has been written.
func (a *Answer) requestWritten() bool {
	if a.writeResult == nil {
		return true
	}
	select {
	case err := <-a.writeResult:
		return err == nil
	default:
		return false
	}
}

// Reject marks the answer as one that its reader can't use. Its connection is not reused.
func (a *Answer) Reject() { a.failed = true }

// discard closes the connection without returning it to the pool.
func (a *Answer) discard() {
	a.stop()
	_ = a.conn.Close()
}

// idleTimeout returns the time for which a connection may stay idle in the
// pool, according to the upstream's Keep-Alive header.
func idleTimeout(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return time.Duration(float64(seconds) * idleFraction * float64(time.Second))
		}
	}
	return defaultIdleTimeout
}
