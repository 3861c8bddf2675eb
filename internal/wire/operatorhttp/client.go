package operatorhttp

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/go-faster/errors"

	"monsoonlanding/internal/core/node"
	"monsoonlanding/internal/wire/http1"
)

// maxAnswerBytes bounds an answer. The history has all accepted revisions of the
// rules.
const maxAnswerBytes = 64 << 20

// Client is a client of one node's operator API.
type Client struct {
	base  string
	token string
	http  *http.Client
}

// NewClient returns a client of the node with the given operator address.
func NewClient(address, token string, client *http.Client) *Client {
	return &Client{base: "http://" + address, token: token, http: client}
}

// Status returns the node's view of the system.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var s Status
	_, err := c.do(ctx, http.MethodGet, "/v1/status", "", &s)
	return s, err
}

// Moves returns the node's view of the traffic moves.
func (c *Client) Moves(ctx context.Context) ([]node.MoveStatus, error) {
	var list []node.MoveStatus
	_, err := c.do(ctx, http.MethodGet, "/v1/moves", "", &list)
	return list, err
}

// Rules returns the rules that are in force at the node.
func (c *Client) Rules(ctx context.Context) (Rules, error) {
	var r Rules
	_, err := c.do(ctx, http.MethodGet, "/v1/rules", "", &r)
	return r, err
}

// History returns the accepted revisions of the rules, oldest first.
func (c *Client) History(ctx context.Context) ([]node.Document, error) {
	var list []node.Document
	_, err := c.do(ctx, http.MethodGet, "/v1/rules/history", "", &list)
	return list, err
}

// Apply replaces the rules if their revision is base. A retry with the same edit
// is applied at most once.
func (c *Client) Apply(ctx context.Context, base uint64, text, edit, author string) (ApplyResult, error) {
	q := url.Values{"base": {strconv.FormatUint(base, 10)}, "edit": {edit}, "author": {author}}
	var result ApplyResult
	status, err := c.do(ctx, http.MethodPut, "/v1/rules?"+q.Encode(), text, &result)
	// A refused change has an error status and its outcome in the body.
	if err != nil && status != http.StatusGatewayTimeout && result.Outcome != "" {
		return result, nil
	}
	return result, err
}

// do makes a call, decodes the answer into a value and returns the status. The
// body is decoded for every status; a status of 300 or more is returned as an
// error, whether or not its body could be decoded.
func (c *Client) do(ctx context.Context, method, path, body string, into any) (int, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, strings.NewReader(body))
	if err != nil {
		return 0, errors.Wrapf(err, "operator: create request to node %s", c.base)
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, errors.Wrapf(err, "operator: %s %s", method, path)
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := http1.ReadDocument(resp.Body, maxAnswerBytes)
	if err != nil {
		return resp.StatusCode, errors.Wrapf(err, "operator: read answer to %s %s", method, path)
	}
	decodeErr := json.Unmarshal(answer, into)
	if resp.StatusCode >= 300 {
		return resp.StatusCode, errors.Errorf("operator: %s %s: node %s: status %d: %s", method, path, c.base, resp.StatusCode, strings.TrimSpace(string(answer)))
	}
	if decodeErr != nil {
		return resp.StatusCode, errors.Wrapf(decodeErr, "operator: decode answer of node %s to %s %s", c.base, method, path)
	}
	return resp.StatusCode, nil
}
