package http1

import (
	"bufio"
	"bytes"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// heads has a row for each way in which the head of an answer can be wrong, and for those that are right
// although they look odd.
var heads = []struct {
	name, head string
	want       error
}{
	{"ordinary", "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 3\r\n\r\n", nil},
	{"no fields", "HTTP/1.1 204 No Content\r\n\r\n", nil},
	{"no reason", "HTTP/1.1 200 \r\n\r\n", nil},
	{"no reason and no blank", "HTTP/1.1 200\r\n\r\n", nil},
	{"lines end with LF", "HTTP/1.1 200 OK\nA: b\n\n", nil},
	{"empty value", "HTTP/1.1 200 OK\r\nA:\r\n\r\n", nil},
	{"bytes above ASCII in reason and value", "HTTP/1.1 200 d\xc3\xa9j\xc3\xa0\r\nA: \xe9\r\n\r\n", nil},
	{"tab in a value", "HTTP/1.1 200 OK\r\nA: b\tc\r\n\r\n", nil},
	{"all characters of a token", "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~0aZ: b\r\n\r\n", nil},
	{"version in a value", "HTTP/1.1 200 OK\r\nVia: HTTP/1.1 gate, HTTP/1.1 2nd\r\n\r\n", nil},
	{"HTTP/1.0", "HTTP/1.0 200 OK\r\n\r\n", nil},

	{"status 000", "HTTP/1.1 000 \r\n\r\n", errStatusLine},
	{"status +99", "HTTP/1.1 +99 OK\r\n\r\n", errStatusLine},
	{"status 099", "HTTP/1.1 099 OK\r\n\r\n", errStatusLine},
	{"status 600", "HTTP/1.1 600 OK\r\n\r\n", errStatusLine},
	{"status 999", "HTTP/1.1 999 OK\r\n\r\n", errStatusLine},
	{"status of two digits", "HTTP/1.1 20 OK\r\n\r\n", errStatusLine},
	{"status of four digits", "HTTP/1.1 2000 OK\r\n\r\n", errStatusLine},
	{"status of letters", "HTTP/1.1 2x0 OK\r\n\r\n", errStatusLine},
	{"another protocol, not asked for", "HTTP/1.1 101 Switching Protocols\r\n\r\n", errStatusLine},
	{"no status", "HTTP/1.1 \r\n\r\n", errStatusLine},
	{"two blanks", "HTTP/1.1  200 OK\r\n\r\n", errStatusLine},
	{"blank before", " HTTP/1.1 200 OK\r\n\r\n", errStatusLine},
	{"other protocol", "HTTP/2.0 200 OK\r\n\r\n", errStatusLine},
	{"lower case", "http/1.1 200 OK\r\n\r\n", errStatusLine},
	{"empty line first", "\r\nHTTP/1.1 200 OK\r\n\r\n", errStatusLine},
	{"NUL in the reason", "HTTP/1.1 200 O\x00K\r\n\r\n", errStatusLine},
	{"CR in the reason", "HTTP/1.1 200 O\rK\r\n\r\n", errStatusLine},

	{"blank before the colon", "HTTP/1.1 200 OK\r\nContent-Length : 10\r\n\r\n", errFieldLine},
	{"tab before the colon", "HTTP/1.1 200 OK\r\nContent-Length\t: 10\r\n\r\n", errFieldLine},
	{"blank in a name", "HTTP/1.1 200 OK\r\nContent Length: 10\r\n\r\n", errFieldLine},
	{"control byte in a name", "HTTP/1.1 200 OK\r\nA\x01b: c\r\n\r\n", errFieldLine},
	{"DEL in a name", "HTTP/1.1 200 OK\r\nA\x7fb: c\r\n\r\n", errFieldLine},
	{"byte above ASCII in a name", "HTTP/1.1 200 OK\r\nA\xe9: c\r\n\r\n", errFieldLine},
	{"no name", "HTTP/1.1 200 OK\r\n: c\r\n\r\n", errFieldLine},
	{"no colon", "HTTP/1.1 200 OK\r\nAbc\r\n\r\n", errFieldLine},
	{"folded", "HTTP/1.1 200 OK\r\nA: b\r\n c\r\n\r\n", errFieldLine},
	{"folded, with a colon", "HTTP/1.1 200 OK\r\nA: b\r\n\tc: d\r\n\r\n", errFieldLine},
	{"NUL in a value", "HTTP/1.1 200 OK\r\nA: b\x00\r\n\r\n", errFieldLine},
	{"CR in a value", "HTTP/1.1 200 OK\r\nA: b\rc\r\n\r\n", errFieldLine},
	{"ESC in a value", "HTTP/1.1 200 OK\r\nA: \x1b[1m\r\n\r\n", errFieldLine},

	{"two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\ncontent-length: 3\r\n\r\n", errFraming},
	{"length and chunks", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", errFraming},
	{"chunks twice", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n", errFraming},
	{"chunks in HTTP/1.0", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", errFraming},

	{"joined in the reason", "HTTP/1.1 200 OKHTTP/1.1 500 Internal Server Error\r\n\r\n", errJoined},
	{"joined at the reason", "HTTP/1.1 200 HTTP/1.1 500 Internal Server Error\r\n\r\n", errJoined},
	{"joined in a value", "HTTP/1.1 200 OK\r\nDate: MonHTTP/1.1 503 Service Unavailable\r\n\r\n", errJoined},
	{"joined in the status", "HTTP/1.1 20HTTP/1.1 500 Internal Server Error\r\n\r\n", errStatusLine},
	{"joined in a name", "HTTP/1.1 200 OK\r\nDaHTTP/1.1 500 Error: odd\r\n\r\n", errFieldLine},
	{"joined between lines", "HTTP/1.1 200 OK\r\nHTTP/1.1 500 Error: odd\r\n\r\n", errFieldLine},
}

// TestHeadThatIsNoneIsRejected guards against answers whose head is no head of RFC 9112: a lenient parser
// skipped some as informational, ignored lines of others and joined two answers into one.
func TestHeadThatIsNoneIsRejected(t *testing.T) {
	for _, row := range heads {
		t.Run(row.name, func(t *testing.T) {
			c := qt.New(t)
			head, err := readCheckedHead(bufio.NewReader(strings.NewReader(row.head+"body\r\n")), nil)
			if row.want == nil {
				c.Assert(err, qt.IsNil)
				c.Assert(string(head), qt.Equals, row.head)
				return
			}
			c.Assert(err, qt.ErrorIs, row.want)
			c.Assert(isMalformed(err), qt.IsTrue)
		})
	}
}

// TestHeadBrokenOffAtAnyByteJoinsNothing: an answer that was broken off in its head, and the next one behind it,
// are never taken as one answer.
func TestHeadBrokenOffAtAnyByteJoinsNothing(t *testing.T) {
	first := "HTTP/1.1 200 OK\r\nDate: Mon, 07 Dec 2026 00:00:00 GMT\r\nContent-Length: 3\r\nName: a\r\n\r\n"
	second := "HTTP/1.1 500 Internal Server Error\r\nName: b\r\nContent-Length: 2\r\n\r\noh"
	for cut := 1; cut < len(first)-len("\r\n"); cut++ {
		_, err := readCheckedHead(bufio.NewReader(strings.NewReader(first[:cut]+second)), nil)
		qt.Check(t, err, qt.IsNotNil, qt.Commentf("%q", first[:cut]))
	}
}

// FuzzHead holds that what passes as a head is read by net/http as one, with names that are tokens and a status
// in its range.
func FuzzHead(f *testing.F) {
	for _, row := range heads {
		f.Add([]byte(row.head))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		head, err := readCheckedHead(bufio.NewReader(bytes.NewReader(data)), nil)
		if err != nil {
			return
		}
		if !bytes.HasPrefix(data, head) {
			t.Fatalf("got %q of %q", head, data)
		}
		response, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(data)), nil)
		if err != nil {
			// What is left to net/http is the meaning of the fields that frame the body.
			return
		}
		if response.StatusCode < minStatus || response.StatusCode > maxStatus {
			t.Fatalf("got status %d", response.StatusCode)
		}
		for name := range response.Header {
			if !isToken([]byte(name)) {
				t.Fatalf("got name %q", name)
			}
		}
	})
}
