// Package objecthttp is a client of the platform's object API over HTTP.
//
// An object has a path, a value and a revision that increases with each update.
// An update is conditional: it names the revision that the object must have, or
// 0 if the object must not exist. A watch waits until the revision is higher
// than a given one.
//
// # Usage
//
//	c := objecthttp.New("http://127.0.0.1:7900", token, http.DefaultClient)
//	o, err := c.Get(ctx, "rules/current")
//	rev, outcome := c.Put(ctx, "rules/current", o.Revision, value)
package objecthttp

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"monsoonlanding/internal/core/platform"
	"monsoonlanding/internal/wire/http1"
)

const (
	// RevisionHeader carries an object's revision.
	RevisionHeader = "Object-Revision"
	// ObjectsPath is the URL path prefix of all objects.
	ObjectsPath = "/v1/objects/"
	// MaxValueBytes bounds the size of a value.
	MaxValueBytes = 1 << 20
	// maxListBytes bounds a list, which has a path and a revision per object.
	maxListBytes = 8 << 20
	// watchTimeout is the time after which the platform is asked to end a watch
	// that found no new revision.
	watchTimeout = 20 * time.Second
)

// Client is a client of the object API.
type Client struct {
	base  string
	token string
	http  *http.Client
}

// New returns a client of the API at base.
func New(base, token string, client *http.Client) *Client {
	return &Client{base: base, token: token, http: client}
}

// Get returns an object. An object that does not exist has revision 0.
func (c *Client) Get(ctx context.Context, path string) (platform.Object, error) {
	return c.get(ctx, path, nil)
}

// Watch waits for a revision higher than after. It returns the unchanged object
// if the platform ends the watch without one.
func (c *Client) Watch(ctx context.Context, path string, after uint64) (platform.Object, error) {
	q := url.Values{
		"after": {strconv.FormatUint(after, 10)},
		"wait":  {watchTimeout.String()},
	}
	return c.get(ctx, path, q)
}

func (c *Client) get(ctx context.Context, path string, q url.Values) (platform.Object, error) {
	resp, err := c.do(ctx, http.MethodGet, path, q, nil, "")
	if err != nil {
		return platform.Object{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusNotFound {
		return platform.Object{}, nil
	}
	if resp.StatusCode != http.StatusOK {
		return platform.Object{}, errors.Errorf("platform: read %s: got status %d, expected 200 or 404", path, resp.StatusCode)
	}
	value, err := readValue(resp)
	if err != nil {
		return platform.Object{}, errors.Wrapf(err, "platform: read %s", path)
	}
	revision, err := strconv.ParseUint(resp.Header.Get(RevisionHeader), 10, 64)
	if err != nil {
		return platform.Object{}, errors.Wrapf(err, "platform: read %s: parse header Object-Revision", path)
	}
	return platform.Object{Revision: revision, Value: value}, nil
}

// readValue reads a whole value. A value has no structure that would show that it
// was cut, so the answer must mark its end.
func readValue(resp *http.Response) ([]byte, error) {
	if http1.FramingOf(resp) == http1.FramingClose {
		return nil, errors.New("got a value without a mark of its end, expected a length or chunks")
	}
	return http1.ReadDocument(resp.Body, MaxValueBytes)
}

// Put updates an object if it has the given revision, and returns the new
// revision.
// The outcome is unknown if no valid answer arrived.
func (c *Client) Put(ctx context.Context, path string, ifRevision uint64, value []byte) (uint64, platform.WriteOutcome) {
	resp, err := c.do(ctx, http.MethodPut, path, nil, value, strconv.FormatUint(ifRevision, 10))
	if err != nil {
		return 0, platform.WriteUnknown
	}
	defer func() { _ = resp.Body.Close() }()
	switch resp.StatusCode {
	case http.StatusOK:
		revision, err := strconv.ParseUint(resp.Header.Get(RevisionHeader), 10, 64)
		if err != nil {
			return 0, platform.WriteUnknown
		}
		return revision, platform.WriteOK
	case http.StatusPreconditionFailed:
		return 0, platform.WriteConflict
	case http.StatusServiceUnavailable:
		return 0, platform.WriteUnavailable
	}
	return 0, platform.WriteUnknown
}

// Delete removes an object. It returns an error only if no answer arrived; the
// status of the answer is not checked.
func (c *Client) Delete(ctx context.Context, path string) error {
	resp, err := c.do(ctx, http.MethodDelete, path, nil, nil, "")
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// List returns the objects whose paths start with prefix.
func (c *Client) List(ctx context.Context, prefix string) ([]ListEntry, error) {
	resp, err := c.do(ctx, http.MethodGet, "", url.Values{"prefix": {prefix}}, nil, "")
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("platform: list %s: status %d", prefix, resp.StatusCode)
	}
	document, err := http1.ReadDocument(resp.Body, maxListBytes)
	if err != nil {
		return nil, errors.Wrapf(err, "platform: list %s", prefix)
	}
	var list []ListEntry
	if err := json.Unmarshal(document, &list); err != nil {
		return nil, errors.Wrapf(err, "platform: list %s", prefix)
	}
	if list == nil {
		return nil, errors.Errorf("platform: list %s: got null, expected an array", prefix)
	}
	return list, nil
}

// ListEntry is an object in a list.
type ListEntry struct {
	Path     string `json:"path"`
	Revision uint64 `json:"revision"`
	Value    []byte `json:"value"`
}

func (c *Client) do(ctx context.Context, method, path string, q url.Values, body []byte, ifRevision string) (*http.Response, error) {
	u := c.base + ObjectsPath + path
	if len(q) > 0 {
		u += "?" + q.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, method, u, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrapf(err, "platform: %s %s", method, path)
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	if ifRevision != "" {
		req.Header.Set("If-Match", ifRevision)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, errors.Wrapf(err, "platform: %s %s", method, path)
	}
	return resp, nil
}
