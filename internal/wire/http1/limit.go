package http1

import (
	"io"
	"net"

	"github.com/go-faster/errors"
)

// limitedReader bounds the bytes read from a connection while a limit is set.
type limitedReader struct {
	reader io.Reader
	// pushedBack holds bytes that are read again, before those of the connection and outside the limit.
	pushedBack []byte
	limited    bool
	remaining  int
}

func (l *limitedReader) set(limit int) { l.limited, l.remaining = true, limit }
func (l *limitedReader) clear()        { l.limited = false }

// Read returns errHeadTooLarge when the limit is reached.
func (l *limitedReader) Read(b []byte) (int, error) {
	if len(l.pushedBack) > 0 {
		n := copy(b, l.pushedBack)
		if l.pushedBack = l.pushedBack[n:]; len(l.pushedBack) == 0 {
			l.pushedBack = nil
		}
		return n, nil
	}
	if !l.limited {
		return l.reader.Read(b)
	}
	if l.remaining == 0 {
		return 0, errHeadTooLarge
	}
	n, err := l.reader.Read(b[:min(len(b), l.remaining)])
	l.remaining -= n
	return n, err
}

var errHeadTooLarge = errors.Errorf("head of the answer exceeds %d bytes", MaxHeadBytes)

// ErrTooLarge is the cause of a document that exceeds its size limit.
var ErrTooLarge = errors.New("document exceeds its size limit")

// ReadDocument reads a document of at most limit bytes to its end. Its time is
// bounded by the context of the request.
func ReadDocument(body io.Reader, limit int) ([]byte, error) {
	document, err := io.ReadAll(io.LimitReader(body, int64(limit)+1))
	if err != nil {
		return nil, err
	}
	if len(document) > limit {
		return nil, errors.Wrapf(ErrTooLarge, "read document of more than %d bytes", limit)
	}
	return document, nil
}

// isMalformed reports whether reading an answer failed with err because of its
// bytes, not of the connection.
func isMalformed(err error) bool {
	var netErr net.Error
	return !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) && !errors.As(err, &netErr)
}
