package gateway

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	core "monsoonlanding/internal/core/gateway"
	"monsoonlanding/internal/core/placement"
	"monsoonlanding/internal/core/route"
	"monsoonlanding/internal/run/clock"
	"monsoonlanding/internal/run/settings"
)

// testProtocol returns a protocol of plain HTTP in which the path is the
// request's ID.
func testProtocol() Protocol {
	return Protocol{
		DecodeRequest: func(r *http.Request) (core.Request, error) {
			return core.Request{ID: r.URL.Path, Host: r.Host, Path: r.URL.Path}, nil
		},
		EncodeHeader: func(h http.Header, _ core.Dispatch, _ time.Duration, lastEvent string) http.Header {
			out := http.Header{}
			if lastEvent != "" {
				out.Set("Last-Event-Id", lastEvent)
			}
			return out
		},
		EncodeRelayed: func(caller http.Header, _ time.Duration, _ string) http.Header { return caller.Clone() },
		ClassifyHead: func(_ string, status int, _ http.Header) Head {
			switch {
			case status == http.StatusServiceUnavailable:
				return Head{Result: core.ResultFull}
			case status >= http.StatusInternalServerError:
				return Head{Result: core.ResultErrored}
			default:
				return Head{Result: core.ResultComplete}
			}
		},
		CopyHeader: func(to, _ http.Header) { to.Set("Content-Type", "text/event-stream") },
		WriteRefusal: func(w http.ResponseWriter, _ string, reason core.Reason, _ time.Duration) {
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = io.WriteString(w, string(reason))
		},
	}
}

// newTestRunner returns a runner without listeners. Its routes lead to one
// service with an upstream at each address.
func newTestRunner(addresses ...string) *Runner {
	r, err := newRunner(Config{
		Settings: settings.Gateway{Name: "a", Zone: "z", FirstStart: true, Peers: settings.Peers{Token: "token"}, Bounds: settings.GatewayBounds{
			RetryRatio: 0.2, RetrySlack: 54, RetryWindow: settings.Duration{Duration: 10 * time.Second}, QuotaWindow: settings.Duration{Duration: 8 * time.Second},
			UsageWindow: settings.Duration{Duration: 5 * time.Second}, Lease: settings.Duration{Duration: 3 * time.Second},
		}},
		Protocol: testProtocol(),
		Clock:    clock.System{},
		Log:      zerolog.Nop(),
	})
	if err != nil {
		panic(err)
	}
	configure(r, addresses...)
	return r
}

// configure gives a runner its routes and upstreams.
func configure(r *Runner, addresses ...string) {
	r.submit(core.ConfigRead{Config: route.Config{
		Version: 1,
		Routes: []route.Route{
			{Name: "stream", Host: "h", PathPrefix: "/s/", Kind: route.KindStreaming, Resumable: true, Timeout: 5 * time.Second, LatencyGoal: time.Second, Attempts: 3, Targets: []route.Target{{Service: "s"}}},
			{Name: "draft", Host: "h", PathPrefix: "/d/", Kind: route.KindStreaming, Timeout: 5 * time.Second, LatencyGoal: time.Second, Attempts: 1, Targets: []route.Target{{Service: "s"}}},
			{Name: "query", Host: "h", PathPrefix: "/q/", Kind: route.KindSafe, Timeout: 5 * time.Second, LatencyGoal: time.Second, Attempts: 3, Targets: []route.Target{{Service: "s"}}},
			{Name: "order", Host: "h", PathPrefix: "/o/", Kind: route.KindUnsafe, Timeout: 5 * time.Second, LatencyGoal: time.Second, Attempts: 1, Targets: []route.Target{{Service: "s"}}},
			{Name: "book", Host: "h", PathPrefix: "/t/", Kind: route.KindUnsafe, Timeout: 200 * time.Millisecond, LatencyGoal: 100 * time.Millisecond, Attempts: 1, Targets: []route.Target{{Service: "s"}}},
		},
		Services: []route.Service{{Name: "s"}},
	}})
	var list core.UpstreamsListed
	for i, address := range addresses {
		list.List = append(list.List, placement.Upstream{ID: fmt.Sprint("u", i), Service: "s", Address: address, Zone: "z", Slots: 100, State: placement.StateReady})
	}
	list.Revision.Number = 1
	r.submit(list)
}

// BenchmarkStream measures a streamed answer of 70 events through a node over
// loopback. The cost of the engine and the caller is included.
func BenchmarkStream(b *testing.B) {
	event := "id: 1\ndata: " + strings.Repeat("x", 40) + "\n\n"
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		for range 70 {
			_, _ = io.WriteString(w, event)
			w.(http.Flusher).Flush()
		}
	}))
	defer engine.Close()
	r := newTestRunner(strings.TrimPrefix(engine.URL, "http://"))
	node := httptest.NewServer(http.HandlerFunc(r.serveCaller))
	defer node.Close()
	for b.Loop() {
		req, _ := http.NewRequest(http.MethodGet, node.URL+"/s/1", nil)
		req.Host = "h"
		resp, err := node.Client().Do(req)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			b.Fatal(err)
		}
		_ = resp.Body.Close()
	}
}
