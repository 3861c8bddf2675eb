package gateway

import (
	"io"
	"mime"
	"net/http"

	"github.com/go-faster/errors"

	core "monsoonlanding/internal/core/gateway"
	"monsoonlanding/internal/wire/http1"
)

const (
	// readBufferBytes bounds one read from a stream.
	readBufferBytes = 4 << 10
	// maxEventBytes bounds one event.
	maxEventBytes = 256 << 10
)

// stream is the state of a streamed answer over all its attempts.
type stream struct {
	// attempt measures the current attempt.
	attempt attemptPace
	// lastID is the ID of the last event relayed.
	lastID string
	// partialBytes is the size of the incomplete event with which the current
	// attempt has ended.
	partialBytes int
}

// relayEvents relays events as they arrive. It relays only complete events, so
// that the stream can resume at another upstream after any of them.
func (h *handler) relayEvents(answer *http1.Answer, d core.Dispatch) error {
	h.stream.attempt = attemptPace{}
	added := h.continuationOf(core.Framing(answer.Framing()))
	pending := heldEvents{lease: h.answerLease}
	relayed := 0
	buffer := make([]byte, readBufferBytes)
	for {
		n, err := answer.Read(buffer)
		searched := max(len(pending.bytes)-maxEventEnd, 0)
		if !pending.add(buffer[:n]) {
			return errors.Wrapf(errMalformed, "no memory for an event beyond %d bytes", len(pending.bytes))
		}
		if end := lastEventEnd(pending.bytes[searched:]); end > 0 {
			end += searched
			relayed += end
			if err := added.check(pending.bytes[:end]); err != nil {
				return err
			}
			if err := h.writeEvents(answer, d, pending.bytes[:end]); err != nil {
				return err
			}
			pending.drop(end)
		}
		if err != nil {
			h.stream.partialBytes = len(pending.bytes)
		}
		switch {
		case err == io.EOF:
			return h.endStream(answer, d, pending.bytes)
		case err != nil:
			return err
		case len(pending.bytes) > maxEventBytes:
			return errors.Wrapf(errMalformed, "event exceeds %d bytes", maxEventBytes)
		case relayed > maxAnswerBytes:
			return errors.Wrapf(errMalformed, "stream exceeds %d bytes", maxAnswerBytes)
		}
	}
}

// writeEvents writes complete events to the caller.
func (h *handler) writeEvents(answer *http1.Answer, d core.Dispatch, events []byte) error {
	if h.framing == "" {
		h.writeHead(answer.Status(), answer.Header(), h.streamFraming(answer))
	}
	h.measure(d, events)
	if id := lastEventID(events); id != "" {
		h.stream.lastID = id
	}
	if _, err := h.w.Write(events); err != nil {
		return errors.Wrap(errCallerWrite, err.Error())
	}
	if err := h.control.Flush(); err != nil {
		return errors.Wrap(errCallerWrite, err.Error())
	}
	return nil
}

// streamFraming returns the framing of the caller's stream: that of the first
// upstream's answer, with chunks in place of a length, since the stream may go on
// at another upstream. HTTP/1.0 has no chunks.
func (h *handler) streamFraming(answer *http1.Answer) core.Framing {
	if answer.Framing() == http1.FramingClose || !h.r.ProtoAtLeast(1, 1) {
		return core.FramingClose
	}
	return core.FramingChunks
}

// endStream ends the relay of a stream whose body has ended with rest after its
// last event. It writes the head if the answer has no events.
func (h *handler) endStream(answer *http1.Answer, d core.Dispatch, rest []byte) error {
	switch {
	case isPartialEvent(rest):
		return errors.Wrap(errBrokenOff, "stream ended inside an event")
	case h.framing != "" && len(rest) == 0:
		h.reportPace(d)
		return nil
	case h.framing == "" && answer.Framing() == http1.FramingClose:
		return errors.Wrap(errBrokenOff, "stream closed before its first event")
	}
	return h.writeEvents(answer, d, rest)
}

// isEventStream reports whether an answer on a streaming route consists of
// events. A good answer that names no type does.
func isEventStream(answer *http1.Answer) bool {
	if answer.Status() != http.StatusOK {
		return false
	}
	contentType := answer.Header().Get("Content-Type")
	if contentType == "" {
		return true
	}
	mediaType, _, err := mime.ParseMediaType(contentType)
	return err == nil && mediaType == "text/event-stream"
}
