package gateway

import (
	"bytes"
	"io"

	"github.com/go-faster/errors"

	core "monsoonlanding/internal/core/gateway"
	"monsoonlanding/internal/wire/http1"
)

const (
	// readBufferBytes bounds one read from a stream.
	readBufferBytes = 4 << 10
	// maxEventBytes bounds one event.
	maxEventBytes = 1 << 20
)

// stream is the state of a streamed answer over all its attempts.
type stream struct {
	// headSent is set once the head is written to the caller: with the first
	// events, or at the end of an answer without events.
	headSent bool
	// attemptBegan is set when the current attempt has relayed an event.
	attemptBegan bool
	// lastID is the ID of the last event relayed.
	lastID string
	// partialBytes is the size of the incomplete event with which the current
	// attempt has ended.
	partialBytes int
}

// relayEvents relays events as they arrive. It relays only complete events, so
// that the stream can resume at another upstream after any of them.
func (h *handler) relayEvents(answer *http1.Answer, d core.Dispatch) error {
	h.stream.attemptBegan, h.stream.partialBytes = false, 0
	var pending []byte
	buffer := make([]byte, readBufferBytes)
	for {
		n, err := answer.Read(buffer)
		pending = append(pending, buffer[:n]...)
		if end := lastEventEnd(pending); end > 0 {
			if err := h.writeEvents(answer, d, pending[:end]); err != nil {
				return err
			}
			pending = append(pending[:0], pending[end:]...)
		}
		if err != nil {
			h.stream.partialBytes = len(pending)
		}
		switch {
		case err == io.EOF:
			return h.endStream(answer, d, pending)
		case err != nil:
			return err
		case len(pending) > maxEventBytes:
			return errors.Wrap(errMalformed, "event exceeds the size limit")
		}
	}
}

// writeEvents writes complete events to the caller.
func (h *handler) writeEvents(answer *http1.Answer, d core.Dispatch, events []byte) error {
	if !h.stream.headSent {
		h.stream.headSent = true
		h.runner.cfg.Protocol.CopyHeader(h.w.Header(), answer.Header())
		h.w.WriteHeader(answer.Status())
	}
	if !h.stream.attemptBegan {
		h.stream.attemptBegan = true
		h.runner.submit(core.Began{Conn: h.conn, Attempt: d.Attempt})
	}
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

// endStream relays the rest of a complete answer after its last event. It also
// writes the head if the answer has no events.
func (h *handler) endStream(answer *http1.Answer, d core.Dispatch, rest []byte) error {
	if len(rest) == 0 && h.stream.headSent {
		return nil
	}
	return h.writeEvents(answer, d, rest)
}

var (
	eventEnd     = []byte("\n\n")
	eventEndCRLF = []byte("\r\n\r\n")
	idField      = []byte("id:")
)

// lastEventEnd returns the length of the complete events at the start of b.
func lastEventEnd(b []byte) int {
	end := 0
	if i := bytes.LastIndex(b, eventEnd); i >= 0 {
		end = i + len(eventEnd)
	}
	if i := bytes.LastIndex(b, eventEndCRLF); i >= 0 {
		end = max(end, i+len(eventEndCRLF))
	}
	return end
}

// lastEventID returns the ID of the last event that has one.
func lastEventID(events []byte) string {
	rest := events
	for {
		i := bytes.LastIndex(rest, idField)
		if i < 0 {
			return ""
		}
		if i == 0 || rest[i-1] == '\n' {
			line, _, _ := bytes.Cut(events[i+len(idField):], []byte("\n"))
			return string(bytes.TrimSpace(line))
		}
		rest = rest[:i]
	}
}
