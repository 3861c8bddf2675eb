package http1

import (
	"bytes"
	"net/http"
	"strconv"

	"github.com/go-faster/errors"
)

// The head of an answer by RFC 9112:
//
//	head        = status-line *( line line-end ) line-end
//	status-line = "HTTP/1." DIGIT SP status [ SP reason ] line-end
//	status      = 3DIGIT, from 100 to 599, not 101
//	reason      = *( HTAB / SP / VCHAR / obs-text )
//	line-end    = [ CR ] LF

const (
	statusPrefix = "HTTP/1."
	// statusBegin is the length of a status line up to its status.
	statusBegin = len("HTTP/1.1 200")
	minStatus   = 100
	maxStatus   = 599
)

var errStatusLine = errors.New("status line is malformed")

// headCheck checks the lines of a head, one after the other.
type headCheck struct {
	hasStatus bool
}

// line checks the next line, with its end. It returns true for the empty line that ends a head.
func (c *headCheck) line(line []byte) (isLast bool, err error) {
	line = bytes.TrimSuffix(line, []byte("\n"))
	line = bytes.TrimSuffix(line, []byte("\r"))
	switch {
	case !c.hasStatus:
		c.hasStatus = true
		return false, checkStatusLine(line)
	case len(line) == 0:
		return true, nil
	default:
		return false, nil
	}
}

func checkStatusLine(line []byte) error {
	if !isStatusBegin(line) {
		return errors.Wrapf(errStatusLine, "got %q", excerpt(line))
	}
	status, _ := strconv.Atoi(string(line[statusBegin-3 : statusBegin]))
	if status < minStatus || status > maxStatus || status == http.StatusSwitchingProtocols {
		return errors.Wrapf(errStatusLine, "got status %03d", status)
	}
	reason := line[statusBegin:]
	if len(reason) > 0 && reason[0] != ' ' || !isText(reason) {
		return errors.Wrapf(errStatusLine, "got %q", excerpt(line))
	}
	return nil
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

// maxExcerpt bounds what an error quotes of a line.
const maxExcerpt = 80

func excerpt(line []byte) []byte { return line[:min(len(line), maxExcerpt)] }
