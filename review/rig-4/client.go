package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// sent is a client attempt and its answer. status is 0 if the connection ended without one.
type sent struct {
	id, path, node string
	at             time.Time
	status         int
	seal, body     string
}

// clients sends requests to all nodes at a steady rate.
type clients struct {
	d      *deployment
	http   *http.Client
	lastID atomic.Uint64
	group  sync.WaitGroup

	mu   sync.Mutex
	list []sent
}

func newClients(d *deployment) *clients {
	return &clients{d: d, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}}
}

// send sends requests on a route until ctx ends, to one node after the other.
func (c *clients) send(ctx context.Context, method, path string, interval, deadline time.Duration) {
	c.group.Add(1)
	go func() {
		defer c.group.Done()
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
			n := c.d.nodes[i%len(c.d.nodes)]
			c.group.Add(1)
			go func() {
				defer c.group.Done()
				c.one(n, method, path, deadline)
			}()
		}
	}()
}

// one sends one request and records the answer.
func (c *clients) one(n *node, method, path string, deadline time.Duration) {
	s := sent{id: fmt.Sprintf("%016x", c.lastID.Add(1)), node: n.name, at: time.Now()}
	s.path = path + s.id
	ctx, cancel := context.WithTimeout(context.Background(), deadline+time.Second)
	defer cancel()
	body := ""
	if method == http.MethodPost {
		body = "request " + s.id
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+n.caller+s.path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.GetBody = nil
	req.Host = host
	req.Header.Set("Attempt-Id", s.id)
	req.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	resp, err := c.http.Do(req)
	if err == nil {
		s.status, s.seal = resp.StatusCode, resp.Header.Get("Replica-Seal")
		var data []byte
		if data, err = io.ReadAll(resp.Body); err != nil {
			s.status = 0
		}
		s.body = string(data)
		_ = resp.Body.Close()
	}
	c.d.rec.printf("client    %s %s %s to %s, sent at %.3f: %d %q %q", s.id, method, s.path, n.name, c.d.rec.seconds(s.at), s.status, s.seal, s.body)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.list = append(c.list, s)
}

// wait waits for all answers and returns the attempts by ID.
func (c *clients) wait() map[string]sent {
	c.group.Wait()
	byID := make(map[string]sent, len(c.list))
	for _, s := range c.list {
		byID[s.id] = s
	}
	return byID
}
