package http1_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"

	"monsoonlanding/internal/core/caller"
	"monsoonlanding/internal/core/node"
	"monsoonlanding/internal/core/upstream"
	"monsoonlanding/internal/standin/rawhttp"
	"monsoonlanding/internal/wire/cloudhttp"
	"monsoonlanding/internal/wire/http1"
	"monsoonlanding/internal/wire/objecthttp"
	"monsoonlanding/internal/wire/operatorhttp"
	"monsoonlanding/internal/wire/upstreamhttp"
)

// runAt runs a request at an upstream of the product's own interface, and returns its failure.
func runAt(kind upstream.Kind, client *http.Client, address, body string) error {
	var failure error
	upstreamhttp.New(client).Run(context.Background(), node.Dispatch{
		Attempt: 1, Upstream: upstream.Upstream{Address: address, Kind: kind},
		Request: caller.Request{Body: []byte(body)}, ProgressTimeout: 5 * time.Second,
	}, func(e node.Event) {
		if failed, ok := e.(node.UpstreamFailed); ok {
			failure = errors.New(failed.Detail)
		}
	})
	return failure
}

// readers holds the readers of the product's own interface, each by net/http's client.
var readers = map[string]func(ctx context.Context, client *http.Client, address string) error{
	"engine": func(_ context.Context, client *http.Client, address string) error {
		return runAt(upstream.Engine, client, address, "{}")
	},
	"plain service": func(_ context.Context, client *http.Client, address string) error {
		return runAt(upstream.Plain, client, address, "{}")
	},
	"load report": func(ctx context.Context, client *http.Client, address string) error {
		_, err := upstreamhttp.New(client).Load(ctx, upstream.Upstream{Address: address}, time.Now())
		return err
	},
	"object": func(ctx context.Context, client *http.Client, address string) error {
		_, err := objecthttp.New("http://"+address, "token", client).Get(ctx, "rules/current")
		return err
	},
	"list of objects": func(ctx context.Context, client *http.Client, address string) error {
		_, err := objecthttp.New("http://"+address, "token", client).List(ctx, "moves/")
		return err
	},
	"list of VMs": func(ctx context.Context, client *http.Client, address string) error {
		_, err := cloudhttp.New("http://"+address, "token", client).Upstreams(ctx)
		return err
	},
	"operator's call": func(ctx context.Context, client *http.Client, address string) error {
		_, err := operatorhttp.NewClient(address, "token", client).Rules(ctx)
		return err
	},
}

// TestWrongHeadReachesNoReaderByNetHTTP guards against a reader of the product's own interface that takes a head
// which is none, as far as net/http's client shows that.
func TestWrongHeadReachesNoReaderByNetHTTP(t *testing.T) {
	client := &http.Client{Transport: http1.CheckedTransport(&http.Transport{})}
	body := `{"seat":12}`
	for _, way := range rawhttp.WrongHeads() {
		if way.HiddenByNetHTTP {
			continue
		}
		for name, read := range readers {
			t.Run(way.Name+"/"+name, func(t *testing.T) {
				address := rawhttp.Start(t, rawhttp.Answer{Head: way.Head("200 OK", rawhttp.Length(len(body))), Body: body})
				qt.Assert(t, read(t.Context(), client, address), qt.ErrorMatches, "(?s).*malformed.*")
			})
		}
	}
}

// TestPartOfEarlyAnswerIsNoResult guards against a part of an early answer that is taken for a whole one when the
// connection is reset while a long request is being written, by net/http's client.
func TestPartOfEarlyAnswerIsNoResult(t *testing.T) {
	client := &http.Client{Transport: http1.CheckedTransport(&http.Transport{})}
	request := `"` + strings.Repeat("u", 3<<20) + `"`
	part := `{"text":"` + strings.Repeat("x", 3000)
	token := "event: token\ndata: {\"offset\":0,\"tokens\":[\"a\"]}\n\n"
	for kind, begin := range map[upstream.Kind]string{upstream.Plain: part, upstream.Engine: token} {
		t.Run(string(kind), func(t *testing.T) {
			address := rawhttp.Start(t, rawhttp.Answer{Head: rawhttp.Unmarked, Body: begin, Early: 200 << 10, Reset: true})
			for range 20 {
				qt.Assert(t, runAt(kind, client, address, request), qt.IsNotNil)
			}
		})
	}
}
