// Package http1 sends requests to upstreams over pooled HTTP/1.1 connections.
//
// # Why not net/http's client
//
// A gateway must know whether any byte of a request was written, must not retry
// a request on its own, and must detect bytes that follow a complete answer.
// net/http's client does not offer this. The package uses net/http to parse
// answers and to write headers, and manages the connections itself.
//
// # Connections
//
// A connection carries one request at a time. It returns to the pool if the
// answer was complete, a length or chunks marked its end, and no bytes follow
// it. It stays there for a fraction of the upstream's own idle timeout. Before
// the pool reuses a connection, it checks that the connection is still open and
// has no unread bytes.
//
// # Whose answer
//
// An upstream may send an answer a second time, late: where the answer to the next
// request is expected. A connection therefore remembers the IDs of the requests that it
// has carried. A request never gets a connection that has carried it, answers that name
// an earlier request are skipped, and Own reports whether an answer is that to the
// request. A request without an ID has a connection of its own.
//
// # Heads
//
// net/http takes much for a head that is none. The bytes of each head are checked against the
// grammar of RFC 9112 before net/http reads them (grammar.go); CheckedTransport does what it can for
// clients of net/http.
//
// # Ends of answers
//
// Read returns io.EOF at the end that the answer's framing gives. With FramingClose
// that is an orderly close of the connection, which a crashed upstream causes, too. Such an end
// before the request has been written is none: the writer may have been told of a reset.
//
// # Limits
//
// The head of an answer is bounded in bytes and fields, a body by its reader; the time of both
// is bounded by the context. Request.Hold is asked for the memory of a long head. An [Error] says whether the bytes that arrived are no
// answer.
//
// # Usage
//
//	pool := http1.New(http1.Config{Clock: clock, AnswerID: answerID})
//	answer, err := pool.Do(ctx, "10.0.0.1:8080", &http1.Request{ID: "a1", Method: "GET", Target: "/"})
//	if err != nil {
//		notRun := !http1.Written(err)
//	}
//	defer answer.Close()
//	io.Copy(w, answer)
package http1
