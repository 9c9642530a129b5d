// Package platform implements the HTTP client of the platform, which serves bundles and the host list.
package platform

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/marigoldwood/marigoldwood/bundle"
	"github.com/marigoldwood/marigoldwood/internal/httpread"
)

const (
	bundlePath     = "/v1/config/bundle"
	hostsPath      = "/v1/hosts"
	revisionHeader = "X-Revision"
)

// maxHostsBytes is the maximum size of the host list. A list of 830 hosts, the planned fleet size, has about 100 KB.
const maxHostsBytes = 1 << 20

// maxRevisionBytes is the maximum length of a revision, which is part of every further request.
const maxRevisionBytes = 128

// Client reads from the platform. It is safe for concurrent use.
type Client struct{ http *httpread.Client }

// New returns a client of the platform at address. A request fails if it takes longer than timeout, in addition to the wait
// that it allows the platform.
func New(address netip.AddrPort, timeout time.Duration) *Client {
	return &Client{http: httpread.New(address, timeout)}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.Close() }

// BundleResponse is the response to a request for the bundle.
type BundleResponse struct {
	Modified bool   // whether the bundle differs from the requested revision; Envelope is set only then
	Revision string // revision for the next request; empty if the platform returned none
	Envelope []byte // signed bundle
}

// Bundle requests the bundle if its revision differs from after; an empty after matches no revision. It is a long poll: the
// platform may delay the response by up to wait until there is a new revision. The error is a *resultcode.Error.
func (c *Client) Bundle(ctx context.Context, after string, wait time.Duration) (BundleResponse, error) {
	query := url.Values{"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)}}
	if after != "" {
		query.Set("after", after)
	}
	response, err := c.http.Get(ctx, bundlePath, query, wait, bundle.MaxEnvelopeBytes)
	if err != nil {
		return BundleResponse{}, err
	}
	revision := response.Header.Get(revisionHeader)
	if len(revision) > maxRevisionBytes {
		return BundleResponse{}, httpread.Unavailable("revision of %d bytes is too long", len(revision))
	}
	switch response.Status {
	case http.StatusNotModified:
		return BundleResponse{Revision: revision}, nil
	case http.StatusNotFound: // nothing has been published
		return BundleResponse{}, nil
	case http.StatusOK:
		return BundleResponse{Modified: true, Revision: revision, Envelope: response.Body}, nil
	}
	return BundleResponse{}, httpread.Unavailable("status %d", response.Status)
}

// Host is an entry of the host list.
type Host struct {
	Name       string `json:"name"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	State      string `json:"state"` // "live" or "leaving"
}

// Hosts requests the host list. The error is a *resultcode.Error.
func (c *Client) Hosts(ctx context.Context) ([]Host, error) {
	response, err := c.http.Get(ctx, hostsPath, nil, 0, maxHostsBytes)
	if err != nil {
		return nil, err
	}
	if response.Status != http.StatusOK {
		return nil, httpread.Unavailable("status %d", response.Status)
	}
	var hosts []Host
	if err := json.Unmarshal(response.Body, &hosts); err != nil {
		return nil, httpread.Unavailable("host list: %v", err)
	}
	return hosts, nil
}
