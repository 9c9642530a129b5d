// Package platform reads the configuration service and the host list over HTTP.
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

// maxHostsBytes bounds the host list. 830 hosts, the planned size, take about 100 KB.
const maxHostsBytes = 1 << 20

// maxRevisionBytes bounds the revision, which is repeated in every further read.
const maxRevisionBytes = 128

// Client reads the platform. It is safe for use by several goroutines.
type Client struct{ http *httpread.Client }

// New returns a client of the platform at address. A read that takes longer than timeout, beyond the wait that it
// asks for, fails.
func New(address netip.AddrPort, timeout time.Duration) *Client {
	return &Client{http: httpread.New(address, timeout)}
}

// Close ends the idle connections.
func (c *Client) Close() { c.http.Close() }

// BundleResponse is what the platform holds.
type BundleResponse struct {
	Modified bool   // Envelope is set
	Revision string // to pass to the next read; empty when the platform named none
	Envelope []byte
}

// Bundle reads the bundle when its revision differs from after, which is empty for any. It waits up to wait for that,
// as the platform allows. The error is a *resultcode.Error.
func (c *Client) Bundle(ctx context.Context, after string, wait time.Duration) (BundleResponse, error) {
	query := url.Values{"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)}}
	if after != "" {
		query.Set("after", after)
	}
	answer, err := c.http.Get(ctx, bundlePath, query, wait, bundle.MaxEnvelopeBytes)
	if err != nil {
		return BundleResponse{}, err
	}
	revision := answer.Header.Get(revisionHeader)
	if len(revision) > maxRevisionBytes {
		return BundleResponse{}, httpread.Unavailable("a revision of %d bytes", len(revision))
	}
	switch answer.Status {
	case http.StatusNotModified:
		return BundleResponse{Revision: revision}, nil
	case http.StatusNotFound: // nothing has been published
		return BundleResponse{}, nil
	case http.StatusOK:
		return BundleResponse{Modified: true, Revision: revision, Envelope: answer.Body}, nil
	}
	return BundleResponse{}, httpread.Unavailable("status %d", answer.Status)
}

// Host is an entry of the platform's host list.
type Host struct {
	Name       string `json:"name"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	State      string `json:"state"` // "live" or "leaving"
}

// Hosts reads the host list. The error is a *resultcode.Error.
func (c *Client) Hosts(ctx context.Context) ([]Host, error) {
	answer, err := c.http.Get(ctx, hostsPath, nil, 0, maxHostsBytes)
	if err != nil {
		return nil, err
	}
	if answer.Status != http.StatusOK {
		return nil, httpread.Unavailable("status %d", answer.Status)
	}
	var hosts []Host
	if err := json.Unmarshal(answer.Body, &hosts); err != nil {
		return nil, httpread.Unavailable("host list: %v", err)
	}
	return hosts, nil
}
