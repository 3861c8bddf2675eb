package gateway

import (
	"io"
	"net/http"
	"strconv"

	"github.com/go-faster/errors"

	core "monsoonlanding/internal/core/gateway"
	"monsoonlanding/internal/core/memory"
	"monsoonlanding/internal/wire/boundedtcp"
	"monsoonlanding/internal/wire/http1"
	"monsoonlanding/internal/wire/relayhttp"
)

const (
	// maxBufferedBytes bounds an answer that is held in memory. A longer document is
	// relayed while it is read.
	maxBufferedBytes = 256 << 10
	// maxAnswerBytes bounds all that is relayed of an attempt.
	maxAnswerBytes = 64 << 20
)

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
	body, isWhole, err := h.readBegin(answer)
	if err != nil {
		return err
	}
	if !isWhole {
		return errors.Wrapf(errMalformed, "upstream's error is not held beyond %d bytes, %d of memory are taken for it",
			len(body), h.answerLease.Size())
	}
	h.setAnswer(answer, body)
	return nil
}

// releaseAnswer gives back what was held of the answer to the attempt before.
func (h *handler) releaseAnswer() {
	h.answer = nil
	h.answerLease.Release()
	h.headLease.Release()
}

func (h *handler) setAnswer(answer *http1.Answer, body []byte) {
	h.answer = &bufferedAnswer{
		status: answer.Status(), header: answer.Header(), body: body, framing: core.Framing(answer.Framing()),
	}
}

// relayDocument reads the answer to its end before relaying any of it, so that the
// request can be retried if the connection breaks. What is longer than
// maxBufferedBytes is relayed as it arrives.
func (h *handler) relayDocument(answer *http1.Answer, d core.Dispatch) error {
	h.runner.submit(core.Began{Conn: h.conn, Attempt: d.Attempt, Signals: h.signals, Connect: h.connect})
	if answer.Length() > maxAnswerBytes {
		return errors.Wrapf(errMalformed, "got an answer of %d bytes, expected at most %d", answer.Length(), maxAnswerBytes)
	}
	begin, isWhole, err := h.readBegin(answer)
	if err != nil {
		return err
	}
	if !isWhole {
		return h.relayLong(answer, begin)
	}
	h.setAnswer(answer, begin)
	h.writeBuffered()
	return nil
}

// readBegin reads an answer to its end, or as far as it is held in memory.
func (h *handler) readBegin(answer *http1.Answer) (begin []byte, isWhole bool, err error) {
	for _, limit := range []int64{memory.SmallBytes, maxBufferedBytes} {
		if !h.answerLease.Grow(limit - h.answerLease.Size()) {
			return begin, false, nil
		}
		more, err := io.ReadAll(io.LimitReader(answer, limit-int64(len(begin))+1))
		if err != nil {
			return nil, false, err
		}
		begin = append(begin, more...)
		if int64(len(begin)) <= limit {
			return begin, true, nil
		}
	}
	return begin, false, nil
}

// relayLong relays an answer of which the begin has been read.
func (h *handler) relayLong(answer *http1.Answer, begin []byte) error {
	if length := answer.Length(); length >= 0 {
		h.w.Header().Set("Content-Length", strconv.FormatInt(length, 10))
	}
	h.writeHead(answer.Status(), answer.Header(), core.Framing(answer.Framing()))
	rest := &callerWriter{w: h.w}
	if _, err := rest.Write(begin); err != nil {
		return err
	}
	n, err := io.Copy(rest, io.LimitReader(answer, int64(maxAnswerBytes-len(begin)+1)))
	switch {
	case err != nil:
		return err
	case int(n)+len(begin) > maxAnswerBytes:
		return errors.Wrapf(errMalformed, "answer exceeds %d bytes", maxAnswerBytes)
	}
	if h.framing == core.FramingClose {
		_ = h.control.Flush()
	}
	h.finish()
	return nil
}

// callerWriter writes to the caller. Its errors are caused by errCallerWrite.
type callerWriter struct{ w io.Writer }

func (c *callerWriter) Write(b []byte) (int, error) {
	n, err := c.w.Write(b)
	if err != nil {
		return n, errors.Wrap(errCallerWrite, err.Error())
	}
	return n, nil
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
	h.setOutcome(relayhttp.OutcomeAnswer)
	if framing == core.FramingClose {
		// net/http then writes no chunks and closes the connection after the body.
		h.w.Header().Set("Transfer-Encoding", "identity")
		h.resetOnClose(true)
	}
	h.w.WriteHeader(status)
}

// resetOnClose sets whether a close of the caller's connection resets it.
func (h *handler) resetOnClose(on bool) {
	conn := boundedtcp.TCPOf(h.r.Context())
	if conn == nil {
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
