package objecthttp

import (
	"context"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"monsoonlanding/internal/core/platform"
	"monsoonlanding/internal/standin/rawhttp"
)

func newClient(c *qt.C, answer rawhttp.Answer) *Client {
	address := rawhttp.Start(c, answer)
	return New("http://"+address, "token", http.DefaultClient)
}

const revisionHead = RevisionHeader + ": 7\r\n"

// TestCutValueIsNoValue: a value has no structure that would show that its end is
// missing, so that only the framing of the answer marks it.
func TestCutValueIsNoValue(t *testing.T) {
	long := strings.Repeat("x", MaxValueBytes+1)
	for _, test := range []struct {
		name   string
		answer rawhttp.Answer
		value  string
	}{
		{"length, whole", rawhttp.Answer{Head: revisionHead + rawhttp.Length(5), Body: "value"}, "value"},
		{"length, closed early", rawhttp.Answer{Head: revisionHead + rawhttp.Length(5), Body: "val"}, ""},
		{"chunks, whole", rawhttp.Answer{Head: revisionHead + rawhttp.Chunked, Body: rawhttp.Chunk("value") + rawhttp.Chunk("")}, "value"},
		{"chunks, closed early", rawhttp.Answer{Head: revisionHead + rawhttp.Chunked, Body: rawhttp.Chunk("val")}, ""},
		{"close", rawhttp.Answer{Head: revisionHead + rawhttp.Unmarked, Body: "value"}, ""},
		{"close, reset", rawhttp.Answer{Head: revisionHead + rawhttp.Unmarked, Body: "val", Reset: true}, ""},
		{"too long", rawhttp.Answer{Head: revisionHead + rawhttp.Length(len(long)), Body: long}, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			o, err := newClient(c, test.answer).Get(context.Background(), "rules/current")
			if test.value == "" {
				c.Assert(err, qt.IsNotNil)
				return
			}
			c.Assert(err, qt.IsNil)
			c.Assert(o, qt.DeepEquals, platform.Object{Revision: 7, Value: []byte(test.value)})
		})
	}
}

// TestCutListIsNoList: a JSON array marks its end itself, in any framing.
func TestCutListIsNoList(t *testing.T) {
	for body, whole := range map[string]bool{
		"[]":                             true,
		`[{"path":"a","revision":7}]`:    true,
		`[{"path":"a","revision":7}`:     false,
		`[{"path":"a","revision":7},{"p`: false,
		"null":                           false,
		"":                               false,
	} {
		t.Run(body, func(t *testing.T) {
			c := qt.New(t)
			_, err := newClient(c, rawhttp.Answer{Head: rawhttp.Unmarked, Body: body}).List(context.Background(), "moves/")
			c.Assert(err == nil, qt.Equals, whole, qt.Commentf("%v", err))
		})
	}
}
