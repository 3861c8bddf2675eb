package callerhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/tmaxmax/go-sse"

	"monsoonlanding/internal/core/caller"
	"monsoonlanding/internal/run/clock"
	"monsoonlanding/internal/wire/http1"
)

// Call is one request of a caller.
type Call struct {
	Service       string
	Key           string
	Body          []byte
	Timeout       time.Duration
	Priority      int
	NonIdempotent bool
}

// Result is the outcome of a call.
type Result struct {
	// Refusal is set when the call was refused.
	Refusal *caller.Refusal
	Tokens  []string
	Body    []byte
	// Accepted is set when the node has accepted the request and thereby
	// guarantees an answer.
	Accepted bool
	// FirstTokenLatency is the latency from sending the call to its first token,
	// or to the result of a plain service.
	FirstTokenLatency time.Duration
	// TokenIntervals are the intervals between token events.
	TokenIntervals []time.Duration
	// Resumed is the number of attempts after the first, usually at another
	// address.
	Resumed int
	// Restarted is the number of restarts that discarded received tokens.
	Restarted int
}

const (
	// maxEventBytes bounds one event. All existing tokens of a resumed answer
	// arrive in a single event.
	maxEventBytes = 16 << 20
	// maxDocumentBytes bounds a list of addresses and a problem document.
	maxDocumentBytes = 64 << 10
	// maxAnswerBytes bounds the events of one attempt.
	maxAnswerBytes = 64 << 20
	// resumeDelay is the delay before a broken call is resumed at another node.
	resumeDelay = 50 * time.Millisecond
)

// Client is a caller of the system. It requests a list of node addresses,
// caches it for its time to live and connects to the nodes directly.
type Client struct {
	seeds []string
	key   string
	http  *http.Client
	clock clock.Clock

	mu        sync.Mutex
	addresses []string
	expiresAt time.Time
}

// NewClient returns a client that requests its first list of addresses from the
// seeds (IP:port).
func NewClient(seeds []string, key string, client *http.Client, c clock.Clock) *Client {
	return &Client{seeds: seeds, key: key, http: client, clock: c}
}

// Addresses requests the list of nodes to use.
func (c *Client) Addresses(ctx context.Context) (Addresses, error) {
	var list Addresses
	var last error
	for _, seed := range c.candidates() {
		resp, err := c.do(ctx, http.MethodGet, seed, "/v1/addresses?caller="+url.QueryEscape(c.key), nil, nil)
		if err != nil {
			last = errors.Wrapf(err, "get addresses: node %s", seed)
			continue
		}
		err = decodeDocument(resp.Body, &list)
		_ = resp.Body.Close()
		if err == nil && len(list.Addresses) > 0 {
			return list, nil
		}
		last = errors.Errorf("get addresses: node %s sent an invalid or empty list", seed)
	}
	return list, last
}

// decodeDocument decodes a JSON document of at most maxDocumentBytes.
func decodeDocument(body io.Reader, into any) error {
	document, err := http1.ReadDocument(body, maxDocumentBytes)
	if err != nil {
		return err
	}
	return json.Unmarshal(document, into)
}

// candidates returns the cached addresses and the seeds, in random order.
func (c *Client) candidates() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := append(append([]string{}, c.addresses...), c.seeds...)
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all
}

// address returns the address of a node to use, other than the failed one if
// there is a choice.
func (c *Client) address(ctx context.Context, failed string) (string, error) {
	c.mu.Lock()
	fresh := c.clock.Now().Before(c.expiresAt) && failed == ""
	c.mu.Unlock()
	if !fresh {
		list, err := c.Addresses(ctx)
		if err != nil {
			return "", err
		}
		c.cacheAddresses(list)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	i := rand.IntN(len(c.addresses))
	if c.addresses[i] == failed {
		i = (i + 1) % len(c.addresses)
	}
	return c.addresses[i], nil
}

func (c *Client) cacheAddresses(list Addresses) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addresses = c.addresses[:0]
	for _, a := range list.Addresses {
		c.addresses = append(c.addresses, a.Address)
	}
	c.expiresAt = c.clock.Now().Add(time.Duration(list.TTLSeconds) * time.Second)
}

// call is a request in progress.
type call struct {
	Call
	result  Result
	started time.Time
	// deadline is the end of the call's timeout plus AddressTTL; after it the
	// client no longer retries.
	deadline    time.Time
	lastTokenAt time.Time
	run         string
	// movedTo is the address from the last moved event, until it is used.
	movedTo string
	onToken func(string)
}

// Do sends a call and reads its answer to the end. If the connection breaks or
// the answer moves to another node, Do resumes at another address after the
// last token read. onToken may be nil; otherwise it is called with the text of
// each token event as it arrives.
func (c *Client) Do(ctx context.Context, request Call, onToken func(string)) (Result, error) {
	s := &call{Call: request, started: c.clock.Now(), onToken: onToken}
	s.deadline = s.started.Add(request.Timeout + AddressTTL)
	failed := ""
	for {
		address, err := s.movedTo, error(nil)
		s.movedTo = ""
		if address == "" {
			address, err = c.address(ctx, failed)
		}
		finished := false
		if err == nil {
			finished, err = c.attempt(ctx, s, address)
		}
		if finished {
			return s.result, nil
		}
		if ctx.Err() != nil || c.clock.Now().After(s.deadline) {
			return s.result, errors.Wrapf(err, "send request %s: node %s", request.Key, address)
		}
		s.result.Resumed++
		failed = address
		if s.movedTo == "" {
			c.clock.Sleep(ctx, resumeDelay)
		}
	}
}

// attempt sends the call to one node and reads the answer as far as possible.
// A retry is safe because a request with the same key attaches to the existing
// one.
func (c *Client) attempt(ctx context.Context, s *call, address string) (finished bool, err error) {
	header := http.Header{
		headerKey:      {s.Key},
		"Accept":       {"text/event-stream"},
		"Content-Type": {"application/json"},
	}
	remaining := s.deadline.Add(-AddressTTL).Sub(c.clock.Now())
	header.Set(headerTimeout, max(remaining, time.Millisecond).String())
	header.Set(headerPriority, strconv.Itoa(s.Priority))
	header.Set(headerNonIdempotent, strconv.FormatBool(s.NonIdempotent))
	if s.run != "" {
		header.Set(headerLastEvent, formatPosition(s.run, len(s.result.Tokens)))
	}
	ctx, cancel := context.WithTimeout(ctx, s.deadline.Sub(c.clock.Now()))
	defer cancel()
	resp, err := c.do(ctx, http.MethodPost, address, "/v1/services/"+url.PathEscape(s.Service)+"/requests", header, s.Body)
	if err != nil {
		return false, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return s.handleRefusal(resp)
	}
	return c.readEvents(s, resp.Body)
}

// handleRefusal decodes a problem document. If the node is leaving or has no
// rules yet, it returns an error so that the call is retried at another node. Any
// other refusal ends the call.
func (s *call) handleRefusal(resp *http.Response) (bool, error) {
	var p Problem
	if err := decodeDocument(resp.Body, &p); err != nil {
		return false, errors.Wrapf(err, "decode refusal with status %d", resp.StatusCode)
	}
	refusal := p.refusalOf()
	if refusal.Reason == caller.ReasonNodeLeaving || refusal.Reason == caller.ReasonNoRules {
		return false, errors.Errorf("node refused the request: %s", refusal.Reason)
	}
	s.result.Refusal = &refusal
	return true, nil
}

func (c *Client) readEvents(s *call, body io.Reader) (bool, error) {
	read := 0
	for ev, err := range sse.Read(body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			return false, errors.Wrap(err, "read answer stream")
		}
		if read += len(ev.Data); read > maxAnswerBytes {
			return false, errors.Errorf("read answer stream: more than %d bytes", maxAnswerBytes)
		}
		finished, err := c.handleEvent(s, ev)
		if finished || err != nil || s.movedTo != "" {
			return finished, err
		}
	}
	return false, errors.New("answer stream ended before a done, failed or moved event")
}

func (c *Client) handleEvent(s *call, ev sse.Event) (finished bool, err error) {
	data := []byte(ev.Data)
	switch ev.Type {
	case eventAccepted:
		s.result.Accepted = true
	case eventToken:
		var t tokenData
		if err = json.Unmarshal(data, &t); err == nil {
			err = s.addTokens(c.clock.Now(), t)
		}
	case eventRestarted:
		var t restartedData
		if err = json.Unmarshal(data, &t); err == nil {
			err = s.restart(t)
		}
	case eventMoved:
		var m movedData
		err = json.Unmarshal(data, &m)
		s.movedTo = m.Address
	case eventDone:
		var d doneData
		if err = json.Unmarshal(data, &d); err == nil {
			finished, err = s.finish(c.clock.Now(), d)
		}
	case eventFailed:
		var p Problem
		if err = json.Unmarshal(data, &p); err == nil {
			refusal := p.refusalOf()
			s.result.Refusal = &refusal
			finished = true
		}
	}
	if err != nil {
		return false, errors.Wrapf(err, "handle %s event", ev.Type)
	}
	return finished, nil
}

func (s *call) addTokens(now time.Time, t tokenData) error {
	if s.run == "" {
		s.run = t.Run
	}
	if t.Run != s.run || t.Offset != len(s.result.Tokens) {
		return errors.Errorf("token event starts at %s:%d, expected %s:%d", t.Run, t.Offset, s.run, len(s.result.Tokens))
	}
	if s.lastTokenAt.IsZero() {
		s.result.FirstTokenLatency = now.Sub(s.started)
	} else {
		s.result.TokenIntervals = append(s.result.TokenIntervals, now.Sub(s.lastTokenAt))
	}
	s.lastTokenAt = now
	s.result.Tokens = append(s.result.Tokens, t.Tokens...)
	if s.onToken != nil {
		s.onToken(strings.Join(t.Tokens, ""))
	}
	return nil
}

func (s *call) restart(t restartedData) error {
	if t.Keep > len(s.result.Tokens) {
		return errors.Errorf("restarted event keeps %d tokens, only %d were received", t.Keep, len(s.result.Tokens))
	}
	if t.Keep < len(s.result.Tokens) {
		s.result.Restarted++
	}
	s.run = t.Run
	s.result.Tokens = s.result.Tokens[:t.Keep]
	return nil
}

func (s *call) finish(now time.Time, d doneData) (bool, error) {
	if d.Count != len(s.result.Tokens) {
		return false, errors.Errorf("done event counts %d tokens, %d were received", d.Count, len(s.result.Tokens))
	}
	if s.lastTokenAt.IsZero() {
		s.result.FirstTokenLatency = now.Sub(s.started)
	}
	s.result.Body = d.Result
	return true, nil
}

func (c *Client) do(ctx context.Context, method, address, path string, header http.Header, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	if header != nil {
		req.Header = header
	}
	req.Header.Set("Authorization", "Bearer "+c.key)
	return c.http.Do(req)
}
