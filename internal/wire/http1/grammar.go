package http1

import (
	"bytes"
	"net/http"
	"strconv"

	"github.com/go-faster/errors"
)

// The head of an answer by RFC 9112:
//
//	head        = status-line *field-line line-end
//	status-line = "HTTP/1." DIGIT SP status [ SP reason ] line-end
//	status      = 3DIGIT, from 100 to 599, not 101
//	reason      = *( HTAB / SP / VCHAR / obs-text )
//	field-line  = token ":" value line-end
//	value       = *( HTAB / SP / VCHAR / obs-text )
//	line-end    = [ CR ] LF
//
// Neither a reason nor a value contains the begin of a status line: an answer that was broken off in its
// head, and the next one on its connection, make one line. The body is framed in one way.

const (
	statusPrefix = "HTTP/1."
	// statusBegin is the length of a status line up to its status.
	statusBegin = len("HTTP/1.1 200")
	minStatus   = 100
	maxStatus   = 599
	// maxFields bounds the fields of a head: each takes many times the bytes of a short line.
	maxFields = 256
)

var (
	errStatusLine = errors.New("status line is malformed")
	errFieldLine  = errors.New("header line is malformed")
	errTooMany    = errors.Errorf("head has more than %d fields", maxFields)
	errJoined     = errors.New("head contains another status line")
	errFraming    = errors.New("head frames its body in more than one way")
)

// headCheck checks the lines of a head, one after the other.
type headCheck struct {
	hasStatus bool
	// isHTTP10 is set for HTTP/1.0, which has no chunks.
	isHTTP10                 bool
	fields, lengths, codings int
}

// line checks the next line, with its end. It returns true for the empty line that ends a head.
func (c *headCheck) line(line []byte) (isLast bool, err error) {
	line = bytes.TrimSuffix(line, []byte("\n"))
	line = bytes.TrimSuffix(line, []byte("\r"))
	switch {
	case !c.hasStatus:
		c.hasStatus = true
		return false, c.statusLine(line)
	case len(line) == 0:
		return true, c.framing()
	default:
		return false, c.fieldLine(line)
	}
}

func (c *headCheck) statusLine(line []byte) error {
	if !isStatusBegin(line) {
		return errors.Wrapf(errStatusLine, "got %q", excerpt(line))
	}
	c.isHTTP10 = line[len(statusPrefix)] == '0'
	status, _ := strconv.Atoi(string(line[statusBegin-3 : statusBegin]))
	if status < minStatus || status > maxStatus || status == http.StatusSwitchingProtocols {
		return errors.Wrapf(errStatusLine, "got status %03d", status)
	}
	reason := line[statusBegin:]
	if len(reason) > 0 && reason[0] != ' ' || !isText(reason) {
		return errors.Wrapf(errStatusLine, "got %q", excerpt(line))
	}
	return checkNotJoined(reason)
}

func (c *headCheck) fieldLine(line []byte) error {
	name, value, ok := bytes.Cut(line, []byte(":"))
	if !ok || !isToken(name) || !isText(value) {
		return errors.Wrapf(errFieldLine, "got %q", excerpt(line))
	}
	if c.fields++; c.fields > maxFields {
		return errTooMany
	}
	switch {
	case bytes.EqualFold(name, []byte("Content-Length")):
		c.lengths++
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		c.codings++
	}
	return checkNotJoined(value)
}

// framing checks that at most one field frames the body.
func (c *headCheck) framing() error {
	if c.lengths+c.codings > 1 || c.codings > 0 && c.isHTTP10 {
		return errors.Wrapf(errFraming, "got %d lengths and %d codings", c.lengths, c.codings)
	}
	return nil
}

// checkNotJoined returns an error if the text contains the begin of a status line.
func checkNotJoined(text []byte) error {
	for rest := text; ; {
		i := bytes.Index(rest, []byte(statusPrefix))
		if i < 0 {
			return nil
		}
		if isStatusBegin(rest[i:]) {
			return errors.Wrapf(errJoined, "got %q", excerpt(text))
		}
		rest = rest[i+len(statusPrefix):]
	}
}

// isStatusBegin reports whether b begins like a status line, up to three digits of a status.
func isStatusBegin(b []byte) bool {
	if len(b) < statusBegin || !bytes.HasPrefix(b, []byte(statusPrefix)) {
		return false
	}
	b = b[len(statusPrefix):statusBegin]
	return isDigit(b[0]) && b[1] == ' ' && isDigit(b[2]) && isDigit(b[3]) && isDigit(b[4])
}

func isDigit(c byte) bool { return '0' <= c && c <= '9' }

// isText reports whether b has no control bytes but tabs.
func isText(b []byte) bool {
	for _, c := range b {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

// isToken reports whether b is the name of a field.
func isToken(b []byte) bool {
	for _, c := range b {
		if !isTokenChar(c) {
			return false
		}
	}
	return len(b) > 0
}

func isTokenChar(c byte) bool {
	switch {
	case isDigit(c), 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z':
		return true
	default:
		return bytes.IndexByte([]byte("!#$%&'*+-.^_`|~"), c) >= 0
	}
}

// maxExcerpt bounds what an error quotes of a line.
const maxExcerpt = 80

func excerpt(line []byte) []byte { return line[:min(len(line), maxExcerpt)] }
