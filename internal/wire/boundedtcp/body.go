package boundedtcp

import (
	"io"
	"net/http"
	"time"

	"monsoonlanding/internal/core/memory"
)

const (
	// bodyPace is the least number of bytes a second at which a body must arrive, after bodySlack.
	bodyPace  = 16 << 10
	bodySlack = 5 * time.Second
)

// ExtendBody sets by when the next byte of a body must arrive of which n bytes have been read in the
// time elapsed.
func ExtendBody(control *http.ResponseController, elapsed time.Duration, n int64) {
	allowed := bodySlack + time.Duration(float64(n)/bodyPace*float64(time.Second))
	_ = control.SetReadDeadline(time.Now().Add(allowed - elapsed))
}

// AbandonBody lets the server close a connection without waiting for the rest of a body, which net/http
// reads before it answers or closes.
func AbandonBody(control *http.ResponseController) { _ = control.SetReadDeadline(time.Now()) }

// Handler bounds the bodies that a handler reads by itself, of at most maxBody bytes each: their memory is
// taken from the budget before they are read, and they must keep a least pace. A request whose
// body does not fit is answered with 503. The connection counts as unread until its body has been read.
func Handler(next http.Handler, bodies *memory.Budget, maxBody int64) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn := ConnOf(r.Context())
		conn.HeadRead(r.Header)
		if r.ContentLength == 0 {
			conn.RequestRead()
			next.ServeHTTP(w, r)
			return
		}
		size := r.ContentLength
		if size < 0 || size > maxBody {
			size = maxBody
		}
		body := &boundedBody{
			ReadCloser: r.Body, conn: conn, lease: bodies.Lease(memory.Body),
			control: http.NewResponseController(w), begin: time.Now(),
		}
		defer body.end()
		if !body.lease.Grow(size) {
			w.Header().Set("Connection", "close")
			w.Header().Set("Retry-After", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		r.Body = body
		next.ServeHTTP(w, r)
	})
}

// boundedBody is a body whose memory has been taken.
type boundedBody struct {
	io.ReadCloser
	conn    *Conn
	lease   *memory.Lease
	control *http.ResponseController
	begin   time.Time
	n       int64
	whole   bool
}

func (b *boundedBody) Read(p []byte) (int, error) {
	ExtendBody(b.control, time.Since(b.begin), b.n)
	n, err := b.ReadCloser.Read(p)
	b.n += int64(n)
	if err == io.EOF {
		b.whole = true
		_ = b.control.SetReadDeadline(time.Time{})
		b.conn.RequestRead()
		// What the handler keeps of the body is its own to bound.
		b.lease.Release()
	}
	return n, err
}

// end gives back what is taken, and abandons a body that was not read.
func (b *boundedBody) end() {
	b.lease.Release()
	if !b.whole {
		AbandonBody(b.control)
	}
}
