package http1

import (
	"net/http"

	"github.com/go-faster/errors"
)

// checkedTransport is a net/http transport whose answers are checked for what net/http accepts although it is
// no answer. It sees neither lines that net/http has joined nor those without a name.
type checkedTransport struct{ next http.RoundTripper }

// CheckedTransport returns a transport that fails where an answer's status is out of range or the name of a
// header is none.
func CheckedTransport(next http.RoundTripper) http.RoundTripper { return &checkedTransport{next: next} }

// RoundTrip sends the request and checks the head of the answer.
func (t *checkedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := t.next.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := checkResponse(response); err != nil {
		_ = response.Body.Close()
		return nil, errors.Wrapf(err, "answer of %s", r.URL.Host)
	}
	return response, nil
}

// CloseIdleConnections closes the connections that carry no request.
func (t *checkedTransport) CloseIdleConnections() {
	if c, ok := t.next.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}

func checkResponse(r *http.Response) error {
	if r.StatusCode < minStatus || r.StatusCode > maxStatus {
		return errors.Wrapf(errStatusLine, "got status %03d", r.StatusCode)
	}
	for name := range r.Header {
		if !isToken([]byte(name)) {
			return errors.Wrapf(errFieldLine, "got name %q", excerpt([]byte(name)))
		}
	}
	return nil
}
