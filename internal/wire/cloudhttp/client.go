// Package cloudhttp is a client of the platform's cloud API over HTTP. It reads
// the list of upstream VMs, which lags behind their actual state, and the
// reclaim notice of the node's own VM.
//
// # Usage
//
//	c := cloudhttp.New("http://127.0.0.1:7901", token, http.DefaultClient)
//	list, err := c.Upstreams(ctx)
//	until, ok, err := c.Notice(ctx, "entry-1")
package cloudhttp

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"monsoonlanding/internal/core/upstream"
	"monsoonlanding/internal/wire/http1"
)

const (
	// VMsPath is the path of the list of VMs that serve as upstreams.
	VMsPath = "/v1/vms"
	// NoticePath is the path of reclaim notices; a VM's name follows it.
	NoticePath = "/v1/notices/"
	// maxDocumentBytes bounds the list of VMs and a notice.
	maxDocumentBytes = 8 << 20
)

// VM is an entry of the list of upstream VMs.
type VM struct {
	ID      string        `json:"id"`
	Address string        `json:"address"`
	Zone    string        `json:"zone"`
	Service string        `json:"service"`
	Version string        `json:"version"`
	Kind    upstream.Kind `json:"kind"`
	Slots   int           `json:"slots"`
	Leaving bool          `json:"leaving"`
	// Until is the time at which a leaving VM is reclaimed.
	Until time.Time `json:"until,omitzero"`
}

// Notice is a VM's reclaim notice.
type Notice struct {
	Until time.Time `json:"until"`
}

// Client is a client of the cloud API.
type Client struct {
	base  string
	token string
	http  *http.Client
}

// New returns a client of the API at base.
func New(base, token string, client *http.Client) *Client {
	return &Client{base: base, token: token, http: client}
}

// Upstreams returns the listed upstreams.
func (c *Client) Upstreams(ctx context.Context) ([]upstream.Upstream, error) {
	var vms []VM
	if _, err := c.get(ctx, VMsPath, &vms); err != nil {
		return nil, err
	}
	if vms == nil {
		return nil, errors.Errorf("cloud: read %s: got null, expected an array", VMsPath)
	}
	list := make([]upstream.Upstream, 0, len(vms))
	for _, v := range vms {
		list = append(list, upstream.Upstream(v))
	}
	return list, nil
}

// Notice returns the time at which the named VM is reclaimed. It returns false
// if there is no reclaim notice for it.
func (c *Client) Notice(ctx context.Context, name string) (time.Time, bool, error) {
	var n Notice
	found, err := c.get(ctx, NoticePath+name, &n)
	if err != nil || !found {
		return time.Time{}, false, err
	}
	if n.Until.IsZero() {
		return time.Time{}, false, errors.Errorf("cloud: read %s: got a notice without until", NoticePath+name)
	}
	return n.Until, true, nil
}

// get decodes the document at path into a value. It returns false if there is
// none.
func (c *Client) get(ctx context.Context, path string, into any) (bool, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path, nil)
	if err != nil {
		return false, errors.Wrapf(err, "cloud: read %s", path)
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	resp, err := c.http.Do(req)
	if err != nil {
		return false, errors.Wrapf(err, "cloud: read %s", path)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusNotFound {
		return false, nil
	}
	if resp.StatusCode != http.StatusOK {
		return false, errors.Errorf("cloud: read %s: got status %d, expected 200 or 404", path, resp.StatusCode)
	}
	document, err := http1.ReadDocument(resp.Body, maxDocumentBytes)
	if err != nil {
		return false, errors.Wrapf(err, "cloud: read %s", path)
	}
	if err := json.Unmarshal(document, into); err != nil {
		return false, errors.Wrapf(err, "cloud: decode %s", path)
	}
	return true, nil
}
