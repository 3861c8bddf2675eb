package gateway

import (
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/go-faster/errors"

	core "monsoonlanding/internal/core/gateway"
	"monsoonlanding/internal/core/memory"
	"monsoonlanding/internal/wire/boundedtcp"
	"monsoonlanding/internal/wire/relayhttp"
)

const (
	// firstPieceBytes is the memory taken first for a body of unknown length.
	firstPieceBytes = 4 << 10
	// busyRetryAfter is the time after which a caller may come back that was refused for lack of memory.
	busyRetryAfter = time.Second
)

var (
	errNoMemory = errors.New("no memory for the body")
	errTooLarge = errors.New("body exceeds the limit")
	errSlowBody = errors.New("body arrives too slowly")
)

// readBody reads the request's body within the limits and answers it itself if it can't. It reports
// whether the body has been read.
func (h *handler) readBody() bool {
	conn := boundedtcp.ConnOf(h.r.Context())
	conn.HeadRead(h.r.Header)
	// A small body is read first, so that its connection can be kept whatever the answer is.
	if h.r.ContentLength < 0 || h.r.ContentLength > memory.SmallBytes {
		if reason := h.runner.checkHead(h.request); reason != "" {
			h.refuseUnread(reason, 0)
			return false
		}
	}
	body, err := h.receiveBody()
	if err == nil {
		// The deadline bounded the body only.
		_ = h.control.SetReadDeadline(time.Time{})
		conn.RequestRead()
		h.body = body
		return true
	}
	switch {
	case errors.Is(err, errTooLarge):
		lingerOnClose(h.w)
		h.refuseInvalid(http.StatusRequestEntityTooLarge, core.ReasonTooLarge, err)
	case errors.Is(err, errNoMemory):
		h.runner.intake.turnAway(h.runner.cfg.Clock.Now(), intakeBodyMemory)
		h.refuseUnread(core.ReasonNoMemory, busyRetryAfter)
	case errors.Is(err, errSlowBody):
		h.runner.intake.turnAway(h.runner.cfg.Clock.Now(), intakeSlowBody)
		h.refuseInvalid(http.StatusRequestTimeout, core.ReasonSlowBody, err)
	default:
		h.refuseInvalid(http.StatusBadRequest, core.ReasonBadRequest, err)
	}
	return false
}

// lingerOnClose lets the connection be closed for writing first and as a whole half a second later, so
// that a caller which still sends reads its answer instead of a reset. net/http does so for a body that a
// MaxBytesReader has found too large.
func lingerOnClose(w http.ResponseWriter) {
	beyond := http.MaxBytesReader(w, io.NopCloser(strings.NewReader("x")), 0)
	_, _ = beyond.Read(make([]byte, 1))
}

// receiveBody reads the body into memory that is taken from the budget.
func (h *handler) receiveBody() ([]byte, error) {
	limit := h.runner.bodyLimit()
	size := h.r.ContentLength
	if size > limit {
		return nil, errors.Wrapf(errTooLarge, "got %d bytes, expected at most %d", size, limit)
	}
	isKnown := size >= 0
	if !isKnown {
		size = min(firstPieceBytes, limit)
	}
	if !h.bodyLease.Grow(size) {
		return nil, errNoMemory
	}
	body := make([]byte, size)
	begin := h.runner.cfg.Clock.Now()
	for n := 0; ; {
		switch {
		case int64(n) > limit:
			return nil, errors.Wrapf(errTooLarge, "got more than %d bytes", limit)
		case n == len(body) && isKnown:
			return body, nil
		case n == len(body):
			// The byte beyond the limit shows that the body is too long.
			larger := min(2*int64(n), limit+1)
			if !h.bodyLease.Grow(larger - int64(n)) {
				return nil, errNoMemory
			}
			body = append(make([]byte, 0, larger), body...)[:larger]
		}
		boundedtcp.ExtendBody(h.control, h.runner.cfg.Clock.Now().Sub(begin), int64(n))
		m, err := h.r.Body.Read(body[n:])
		n += m
		switch {
		case err == io.EOF && isKnown && n < len(body):
			return nil, io.ErrUnexpectedEOF
		case err == io.EOF && int64(n) <= limit:
			return body[:n], nil
		case errors.Is(err, os.ErrDeadlineExceeded):
			return nil, errors.Wrapf(errSlowBody, "got %d bytes", n)
		case err != nil && err != io.EOF:
			return nil, err
		}
	}
}

// refuseUnread refuses a request whose body has not been read and closes the connection. The request
// has not run.
func (h *handler) refuseUnread(reason core.Reason, wait time.Duration) {
	boundedtcp.AbandonBody(h.control)
	count(core.Count{Counter: core.CountRefusal, Label: string(reason)})
	h.w.Header().Set("Connection", "close")
	h.setOutcome(relayhttp.OutcomeRefused)
	h.runner.cfg.Protocol.WriteRefusal(h.w, h.request.ID, reason, wait)
}
