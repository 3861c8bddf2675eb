package gateway

import (
	"bytes"
	"strconv"

	"github.com/go-faster/errors"

	core "monsoonlanding/internal/core/gateway"
)

// A stream that goes on after a break takes nothing but its next events from the next upstream. An
// answer that ends with its connection may have the head of another answer in its body.

// continuation checks what an attempt adds to a stream.
type continuation struct {
	// resumed is set if the caller's answer had begun before the attempt.
	resumed bool
	// lines is set if each line must be one of an event.
	lines bool
	// lastID is the ID of the event before the next one.
	lastID string
}

// continuationOf returns the checks for an answer with the given framing.
func (h *handler) continuationOf(framing core.Framing) continuation {
	resumed := h.framing != ""
	return continuation{resumed: resumed, lines: resumed || framing == core.FramingClose, lastID: h.stream.lastID}
}

// check returns an error if complete events can't follow those before them.
func (c *continuation) check(events []byte) error {
	if !c.lines {
		return nil
	}
	var event eventLines
	for len(events) > 0 {
		line := events
		if end := bytes.IndexFunc(events, isLineEnd); end >= 0 {
			line, events = events[:end], events[end:]
			events = events[lineEndLength(events):]
		} else {
			events = nil
		}
		if len(line) > 0 {
			event.add(line)
			continue
		}
		if err := c.endEvent(event); err != nil {
			return err
		}
		event = eventLines{}
	}
	return nil
}

// endEvent checks an event against the one before it.
func (c *continuation) endEvent(e eventLines) error {
	switch {
	case e.invalid != "":
		return errors.Wrapf(errMalformed, "got line %q in a stream, expected one of an event", e.invalid)
	case !c.resumed || !e.hasFields || c.lastID == "":
		return nil
	case e.id == "":
		return errors.Wrap(errMalformed, "got an event without an ID, expected the rest of a stream")
	case !follows(e.id, c.lastID):
		return errors.Wrapf(errMalformed, "got event %q after event %q", e.id, c.lastID)
	}
	c.lastID = e.id
	return nil
}

// follows reports whether an ID may come after another one. IDs increase if they are numbers.
func follows(id, last string) bool {
	n, err := strconv.ParseInt(id, 10, 64)
	m, err2 := strconv.ParseInt(last, 10, 64)
	return err != nil || err2 != nil || n > m
}

// eventLines is what the lines of an event say.
type eventLines struct {
	hasFields bool
	id        string
	// invalid is the begin of the first line that is none of an event.
	invalid string
}

// maxShownBytes bounds the part of an invalid line that an error has.
const maxShownBytes = 40

func (e *eventLines) add(line []byte) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	switch {
	case len(name) == 0:
		// It is a comment.
		return
	case !isFieldName(name) && e.invalid == "":
		e.invalid = string(line[:min(len(line), maxShownBytes)])
	case string(name) == "id":
		e.id = string(bytes.TrimSpace(value))
	}
	e.hasFields = true
}

// isFieldName reports whether a line of an event may begin with a name: of lower-case letters,
// digits and hyphens.
func isFieldName(name []byte) bool {
	for _, b := range name {
		if (b < 'a' || b > 'z') && (b < '0' || b > '9') && b != '-' {
			return false
		}
	}
	return true
}

// lineEndLength returns the length of the line end at the start of b.
func lineEndLength(b []byte) int {
	if bytes.HasPrefix(b, []byte("\r\n")) {
		return 2
	}
	return 1
}
