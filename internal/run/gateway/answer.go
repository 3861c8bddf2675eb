package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"

	"github.com/go-faster/errors"

	core "monsoonlanding/internal/core/gateway"
	"monsoonlanding/internal/wire/http1"
)

// maxAnswerBytes bounds an answer that is buffered in memory.
const maxAnswerBytes = 64 << 20

// bufferedAnswer is an answer of an upstream that has been read to its end.
type bufferedAnswer struct {
	status  int
	header  http.Header
	body    []byte
	framing core.Framing
}

// bufferAnswer reads an answer to its end into h.answer. An upstream's error is
// relayed from there if no other attempt succeeds.
func (h *handler) bufferAnswer(answer *http1.Answer) error {
	body, err := readBody(answer)
	if err != nil {
		return err
	}
	h.answer = &bufferedAnswer{
		status: answer.Status(), header: answer.Header(), body: body, framing: core.Framing(answer.Framing()),
	}
	return nil
}

func readBody(answer *http1.Answer) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(answer, maxAnswerBytes+1))
	if err != nil {
		return nil, err
	}
	if len(body) > maxAnswerBytes {
		return nil, errors.Wrap(errMalformed, "answer exceeds the size limit")
	}
	return body, nil
}

// relayBuffered reads the answer to its end before relaying any of it, so that
// the request can be retried if the connection breaks.
func (h *handler) relayBuffered(answer *http1.Answer, d core.Dispatch) error {
	h.runner.submit(core.Began{Conn: h.conn, Attempt: d.Attempt, RateLimit: h.rateLimit})
	if err := h.bufferAnswer(answer); err != nil {
		return err
	}
	h.writeBuffered()
	return nil
}

// writeBuffered writes the buffered answer to the caller. One that ended with its
// connection may have been cut, so the caller gets it without a length, too.
func (h *handler) writeBuffered() {
	a := h.answer
	if a.framing != core.FramingClose {
		h.w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	}
	h.writeHead(a.status, a.header, a.framing)
	// A write error means that the caller has disconnected.
	_, _ = h.w.Write(a.body)
	if h.framing == core.FramingClose {
		_ = h.control.Flush()
	}
	h.finish()
}

// writeHead writes the head of the caller's answer. If only the close of the
// connection marks the end of the answer, a close before finish resets the
// connection, also when this process dies.
func (h *handler) writeHead(status int, header http.Header, framing core.Framing) {
	h.framing = framing
	h.runner.cfg.Protocol.CopyHeader(h.w.Header(), header)
	if framing == core.FramingClose {
		// net/http then writes no chunks and closes the connection after the body.
		h.w.Header().Set("Transfer-Encoding", "identity")
		h.resetOnClose(true)
	}
	h.w.WriteHeader(status)
}

// connectionKey is the context key of a caller's connection.
type connectionKey struct{}

// withConnection returns a context that holds a caller's connection.
func withConnection(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, conn)
}

// resetOnClose sets whether a close of the caller's connection resets it.
func (h *handler) resetOnClose(on bool) {
	conn, ok := h.r.Context().Value(connectionKey{}).(*net.TCPConn)
	if !ok {
		return
	}
	// 0 discards unsent data and resets; a negative value restores the default.
	linger := -1
	if on {
		linger = 0
	}
	if err := conn.SetLinger(linger); err != nil {
		h.runner.log.Warn().Str("step", "relay").Str("request", h.request.ID).Err(err).Msg("linger of caller's connection not set")
	}
}
