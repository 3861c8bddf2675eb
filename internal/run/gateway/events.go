package gateway

import (
	"bytes"

	"monsoonlanding/internal/core/memory"
)

// heldEvents is what has been read of a stream and not been relayed. What is beyond one read is taken
// from the budget.
type heldEvents struct {
	bytes []byte
	lease *memory.Lease
}

// add appends bytes. It returns false if there is no memory for them.
func (e *heldEvents) add(b []byte) bool {
	size := len(e.bytes) + len(b)
	if size > cap(e.bytes) {
		grown := max(2*cap(e.bytes), size, readBufferBytes)
		if grown > readBufferBytes && !e.lease.Grow(int64(grown)-e.lease.Size()) {
			return false
		}
		e.bytes = append(make([]byte, 0, grown), e.bytes...)
	}
	e.bytes = append(e.bytes, b...)
	return true
}

// drop removes n bytes from the begin. What a long event has taken is given back after it.
func (e *heldEvents) drop(n int) {
	rest := e.bytes[n:]
	if cap(e.bytes) > memory.SmallBytes && len(rest) <= readBufferBytes {
		e.bytes = append(make([]byte, 0, readBufferBytes), rest...)
		e.lease.Release()
		return
	}
	e.bytes = append(e.bytes[:0], rest...)
}

// isPartialEvent reports whether the bytes after the last event of a stream
// belong to another event. Whole lines of comment don't.
func isPartialEvent(rest []byte) bool {
	if len(rest) > 0 && !isLineEnd(rune(rest[len(rest)-1])) {
		return true
	}
	for _, line := range bytes.FieldsFunc(rest, isLineEnd) {
		if line[0] != ':' {
			return true
		}
	}
	return false
}

// eventEnds are the ways in which an empty line ends an event; a line ends with
// LF, CR LF or CR.
var eventEnds = [][]byte{[]byte("\n\n"), []byte("\n\r\n"), []byte("\r\r")}

// maxEventEnd is the length of the longest of eventEnds.
const maxEventEnd = 3

var idField = []byte("id:")

// lastEventEnd returns the length of the complete events at the start of b.
func lastEventEnd(b []byte) int {
	end := 0
	for _, eventEnd := range eventEnds {
		if i := bytes.LastIndex(b, eventEnd); i >= 0 {
			end = max(end, i+len(eventEnd))
		}
	}
	return end
}

// countEvents returns the number of complete events in b.
func countEvents(b []byte) int {
	n := 0
	for _, eventEnd := range eventEnds {
		n += bytes.Count(b, eventEnd)
	}
	return n
}

// lastEventID returns the ID of the last event that has one.
func lastEventID(events []byte) string {
	rest := events
	for {
		i := bytes.LastIndex(rest, idField)
		if i < 0 {
			return ""
		}
		if i == 0 || isLineEnd(rune(rest[i-1])) {
			id := events[i+len(idField):]
			if end := bytes.IndexFunc(id, isLineEnd); end >= 0 {
				id = id[:end]
			}
			return string(bytes.TrimSpace(id))
		}
		rest = rest[:i]
	}
}

func isLineEnd(r rune) bool { return r == '\n' || r == '\r' }
