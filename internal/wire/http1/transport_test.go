package http1

import (
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"monsoonlanding/internal/standin/rawhttp"
)

// TestCheckedTransportTakesNoOddHead: the clients of the store, the cloud and engines took an answer whose status
// or header names are none.
func TestCheckedTransportTakesNoOddHead(t *testing.T) {
	body := `{"a":1}`
	length := rawhttp.Length(len(body))
	for name, row := range map[string]struct {
		head string
		want error
	}{
		"ordinary":               {length, nil},
		"conflict":               {"HTTP/1.1 409 Conflict\r\n" + length, nil},
		"status 000":             {"HTTP/1.1 000 Odd\r\n" + length, errStatusLine},
		"status 600":             {"HTTP/1.1 600 Odd\r\n" + length, errStatusLine},
		"blank before the colon": {"Content-Length : 3\r\n" + length, errFieldLine},
		"blank in a name":        {"O dd: 3\r\n" + length, errFieldLine},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			client := &http.Client{Transport: CheckedTransport(&http.Transport{})}
			response, err := client.Get("http://" + rawhttp.Start(c, rawhttp.Answer{Head: row.head, Body: body}))
			if row.want != nil {
				c.Assert(err, qt.ErrorIs, row.want)
				return
			}
			c.Assert(err, qt.IsNil)
			c.Assert(response.Body.Close(), qt.IsNil)
		})
	}
}
