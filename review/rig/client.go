package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

var lastID atomic.Int64

// newID returns the id of a client's attempt.
func newID() string { return fmt.Sprintf("%016x", 0x1c41d07b00000000+lastID.Add(1)) }

// client is a caller with a kept connection.
type client struct {
	http http.Client
	key  string
}

func newClient(key string) *client {
	return &client{key: key, http: http.Client{Transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, MaxIdleConnsPerHost: 1, DisableCompression: true,
	}}}
}

// reply is what a client got of an attempt.
type reply struct {
	id     string
	status int
	seal   string
	body   string
	// err is set if the connection broke before the answer was complete.
	err   error
	retry time.Duration
}

func (c *client) request(address, host, path, id string, deadline time.Duration, body string, extra map[string]string) (*http.Request, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+address+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return nil, err
	}
	req.GetBody = nil
	req.Host = host
	req.Header.Set("Attempt-Id", id)
	req.Header.Set("Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	req.Header.Set("X-Api-Key", c.key)
	for k, v := range extra {
		req.Header.Set(k, v)
	}
	return req, nil
}

// post sends an attempt and reads the whole answer.
func (c *client) post(address, host, path string, deadline time.Duration, body string, extra map[string]string) reply {
	rp := reply{id: newID()}
	req, err := c.request(address, host, path, rp.id, deadline, body, extra)
	if err != nil {
		fatal("request: %v", err)
	}
	c.http.Timeout = deadline + time.Second
	note("sent     %s to %s%s", rp.id, address, path)
	resp, err := c.http.Do(req)
	if err != nil {
		rp.err = err
		note("answered %s: %v", rp.id, err)
		return rp
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	rp.status, rp.seal, rp.body, rp.err = resp.StatusCode, resp.Header.Get("Replica-Seal"), string(data), err
	if s, e := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); e == nil {
		rp.retry = time.Duration(s * float64(time.Second))
	}
	note("answered %s: status %d, seal %q, %d bytes, complete %t", rp.id, rp.status, rp.seal, len(data), err == nil)
	return rp
}
