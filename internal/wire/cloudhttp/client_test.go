package cloudhttp

import (
	"context"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"monsoonlanding/internal/standin/rawhttp"
)

func newClient(c *qt.C, body string) *Client {
	address := rawhttp.Start(c, rawhttp.Answer{Head: rawhttp.Unmarked, Body: body})
	return New("http://"+address, "token", http.DefaultClient)
}

// TestCutListOfVMsIsNoList: upstreams that are missing from a list count as gone.
func TestCutListOfVMsIsNoList(t *testing.T) {
	for body, whole := range map[string]bool{
		"[]":            true,
		`[{"id":"a"}]`:  true,
		`[{"id":"a"}`:   false,
		`[{"id":"a"},{`: false,
		"null":          false,
		"":              false,
	} {
		t.Run(body, func(t *testing.T) {
			c := qt.New(t)
			_, err := newClient(c, body).Upstreams(context.Background())
			c.Assert(err == nil, qt.Equals, whole, qt.Commentf("%v", err))
		})
	}
}

// TestCutNoticeIsNoNotice: a notice without its time would stop the node at once.
func TestCutNoticeIsNoNotice(t *testing.T) {
	for body, whole := range map[string]bool{
		`{"until":"2026-12-04T10:00:00Z"}`: true,
		`{"until":"2026-12-04T10:00:00Z"`:  false,
		"{}":                               false,
		"null":                             false,
	} {
		t.Run(body, func(t *testing.T) {
			c := qt.New(t)
			_, found, err := newClient(c, body).Notice(context.Background(), "vm-1")
			c.Assert(err == nil, qt.Equals, whole, qt.Commentf("%v", err))
			c.Assert(found, qt.Equals, whole)
		})
	}
}
