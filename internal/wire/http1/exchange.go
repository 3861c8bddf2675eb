package http1

import (
	"bufio"
	"io"

	"github.com/go-faster/errors"
)

const (
	// maxExtraAnswers bounds the copies of earlier answers that are skipped in an exchange.
	maxExtraAnswers = 16
	// maxExtraBytes bounds the body of each.
	maxExtraBytes = 256 << 10
)

// exchange writes the request and reads the head of the answer. A large body is
// written in a goroutine.
func (a *Answer) exchange(r *Request) error {
	if len(r.Body) > asyncBodyBytes {
		a.writeResult = make(chan error, 1)
		go func() { a.writeResult <- a.writeRequest(r) }()
	} else if err := a.writeRequest(r); err != nil {
		return err
	}
	return a.readOwnHead()
}

func (a *Answer) writeRequest(r *Request) error {
	counted := &countingWriter{w: a.conn}
	if err := r.write(bufio.NewWriterSize(counted, asyncBodyBytes)); err != nil {
		return &Error{Step: "write", Peer: a.conn.address, Connection: a.connection, Written: counted.written > 0, Err: err}
	}
	return nil
}

// readOwnHead reads the head of the answer to the request. It skips copies of answers to
// earlier requests on the connection, behind which the request's own one follows.
func (a *Answer) readOwnHead() error {
	for {
		if err := a.readHead(); err != nil {
			return err
		}
		if !a.isExtra() {
			return nil
		}
		if err := a.skip(); err != nil {
			return a.readError("extra answer", err)
		}
	}
}

// isExtra reports whether the answer is a copy of one to an earlier request on the connection.
func (a *Answer) isExtra() bool {
	id := a.Names()
	return id != "" && id != a.id && a.conn.carried.contains(id)
}

// skip reads the body of an answer that belongs to no request.
func (a *Answer) skip() error {
	if a.extra++; a.extra > maxExtraAnswers {
		return errTooManyExtra
	}
	n, err := io.Copy(io.Discard, io.LimitReader(a.response.Body, maxExtraBytes+1))
	if err == nil && n > maxExtraBytes {
		return errExtraTooLarge
	}
	return err
}

var (
	errTooManyExtra  = errors.Errorf("more than %d answers to earlier requests", maxExtraAnswers)
	errExtraTooLarge = errors.Errorf("answer to an earlier request exceeds %d bytes", maxExtraBytes)
)
