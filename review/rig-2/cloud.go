package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
)

// usageReport is a call of the duty usage that the platform has accepted.
type usageReport struct {
	window int64
	// counts is the canonical form of the counts.
	counts string
	holder string
	token  string
}

// cloud stands in for the part of the platform's API whose calls are duties.
type cloud struct {
	address string
	record  func(string, ...any)

	mu       sync.Mutex
	accepted []usageReport
}

func newCloud(record func(string, ...any)) (*cloud, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c := &cloud{address: l.Addr().String(), record: record}
	go func() { _ = http.Serve(l, c) }()
	return c, nil
}

// ServeHTTP accepts each call.
func (c *cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	holder, token := r.Header.Get("Duty-Holder"), r.Header.Get("Fence-Token")
	c.record("platform: %s %s from %s, token %s: %s", r.Method, r.URL.Path, holder, token, bytes.TrimSpace(body))
	if r.URL.Path == "/usage" {
		var call struct {
			Window int64            `json:"window_id"`
			Counts map[string]int64 `json:"counts"`
		}
		if err := json.Unmarshal(body, &call); err != nil {
			reply(w, http.StatusBadRequest, nil)
			return
		}
		if call.Counts == nil {
			call.Counts = map[string]int64{}
		}
		// Keys are in order.
		counts, _ := json.Marshal(call.Counts)
		c.mu.Lock()
		c.accepted = append(c.accepted, usageReport{call.Window, string(counts), holder, token})
		c.mu.Unlock()
	}
	reply(w, http.StatusOK, nil)
}

func (c *cloud) reports() []usageReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]usageReport(nil), c.accepted...)
}
