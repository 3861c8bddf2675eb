package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	host   = "app.example"
	apiKey = "k1a2b3c4"
	tenant = "hule930"
	// The routes: bookings are unsafe, reads safe.
	bookPrefix = "/book/"
	readPrefix = "/read/"
)

// configuration is the operator's configuration: two routes of one service.
func configuration(timeout time.Duration) map[string]any {
	route := func(name, prefix, kind string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "hostname": host, "path_prefix": prefix, "type": kind, "timeout_ms": timeout.Milliseconds(),
			"goal_ms": 3000, "priority": 1, "service": "desk", "attempts": attempts, "public": false, "can_resume": false,
		}
	}
	return map[string]any{
		"version":  7,
		"routes":   []any{route("r-book", bookPrefix, "unsafe", 1), route("r-read", readPrefix, "safe", 2)},
		"services": []any{map[string]any{"name": "desk", "health_path": "/healthz", "max_conns": 96, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{
			"name": tenant, "api_keys": []string{apiKey}, "unit": "tokens", "plain_tokens": 1, "rate_per_s": 100000, "burst": 100000,
		}},
	}
}

// sent is a request of a client and how it ended.
type sent struct {
	id, node, prefix string
	// written is when its last byte was sent, zero if it was not sent whole.
	written time.Time
	ended   time.Time
	status  int
	sealed  bool
	body    string
	// broken is set if the connection ended without a complete answer.
	broken bool
	cause  string
}

// requestNumber numbers the requests of the process.
var requestNumber atomic.Int64

// send sends a request on a route to a node and records how it ends.
func (r *rig) send(c *http.Client, n *node, prefix string, deadline time.Duration) sent {
	s := sent{id: fmt.Sprintf("%08x%08x", rand.Uint32(), requestNumber.Add(1)), node: n.name, prefix: prefix}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	var mu sync.Mutex
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteRequest: func(i httptrace.WroteRequestInfo) {
		mu.Lock()
		defer mu.Unlock()
		if i.Err == nil {
			s.written = time.Now()
		}
	}})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.address(portFront)+prefix+"2f", bytes.NewReader([]byte("one seat")))
	if err != nil {
		panic(err)
	}
	// The client does not repeat a request by itself.
	req.GetBody = nil
	req.Host = host
	req.Header.Set("Attempt-Id", s.id)
	req.Header.Set("X-Api-Key", apiKey)
	req.Header.Set("Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	r.record("client: %s sent to %s", s.id, n.name)
	resp, err := c.Do(req)
	if err == nil {
		s.status = resp.StatusCode
		s.sealed = resp.Header.Get("Replica-Seal") == "seal."+s.id
		var body []byte
		body, err = io.ReadAll(resp.Body)
		s.body = string(body)
		_ = resp.Body.Close()
	}
	mu.Lock()
	defer mu.Unlock()
	s.ended = time.Now()
	if err != nil {
		s.broken, s.cause = ctx.Err() == nil, err.Error()
	}
	r.record("client: %s ended, status %d, sealed %t, broken %t %s", s.id, s.status, s.sealed, s.broken, s.cause)
	return s
}

// newClient returns a client with connections of its own, which it keeps open.
func newClient() *http.Client {
	dialer := net.Dialer{Timeout: time.Second}
	return &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 64, IdleConnTimeout: 12 * time.Second, DisableCompression: true}}
}

// resolve asks a node for the addresses of the nodes that callers may use.
func (r *rig) resolve(c *http.Client, n *node) []*node {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.address(portDirectory)+"/resolve?name="+host+"&region=region&zone=zone-a", nil)
	if err != nil {
		panic(err)
	}
	resp, err := c.Do(req)
	if err != nil {
		return nil
	}
	defer func() { _ = resp.Body.Close() }()
	var answer struct {
		Addresses []string `json:"addresses"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil {
		return nil
	}
	var list []*node
	for _, other := range r.nodes {
		for _, address := range answer.Addresses {
			if address == other.address(portFront) {
				list = append(list, other)
			}
		}
	}
	return list
}
