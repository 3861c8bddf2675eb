package http1

import (
	"bufio"
	"io"
	"net/http"

	"github.com/go-faster/errors"
)

// readHead reads the head of the next final answer and skips informational (1xx)
// ones.
func (a *Answer) readHead() error {
	a.conn.limit.set(MaxHeadBytes)
	defer a.conn.limit.clear()
	for {
		if err := a.conn.checkNextHead(a.hold); err != nil {
			return a.readError("head", err)
		}
		resp, err := http.ReadResponse(a.conn.reader, &http.Request{Method: a.method})
		if err != nil {
			return a.readError("head", err)
		}
		if resp.StatusCode >= http.StatusOK {
			a.response = resp
			return nil
		}
	}
}

// checkNextHead reads the next head, checks it against the grammar and puts it back for net/http,
// which reads much that is no head.
func (c *conn) checkNextHead(hold func(int64) bool) error {
	head, err := readCheckedHead(c.reader, hold)
	if err != nil {
		return err
	}
	// Bytes that are buffered are there without a read.
	rest, _ := c.reader.Peek(c.reader.Buffered())
	c.limit.pushedBack = append(head, rest...)
	c.reader.Reset(c.limit)
	return nil
}

// unread returns the number of bytes that have arrived on the connection and have not been read.
func (c *conn) unread() int { return c.reader.Buffered() + len(c.limit.pushedBack) }

const (
	// freeHeadBytes is the size up to which a head is read without asking for memory.
	freeHeadBytes = 4 << 10
	// headCopies is the number of times that the bytes of a head are in memory while net/http reads them.
	headCopies = 3
)

var errNoMemory = errors.New("no memory for the head of the answer")

// readCheckedHead reads a head up to its empty line. It ends at the first line that is none of a head. hold is
// Request.Hold.
func readCheckedHead(r *bufio.Reader, hold func(int64) bool) ([]byte, error) {
	var head []byte
	check := headCheck{}
	held := freeHeadBytes
	for begin := 0; ; {
		piece, err := r.ReadSlice('\n')
		if hold != nil && len(head)+len(piece) > held {
			if !hold(int64(headCopies * held)) {
				return nil, errNoMemory
			}
			held *= 2
		}
		head = append(head, piece...)
		if err == bufio.ErrBufferFull {
			continue
		}
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return nil, err
		}
		isLast, err := check.line(head[begin:])
		if err != nil {
			return nil, err
		}
		if isLast {
			return head, nil
		}
		begin = len(head)
	}
}
