// Package platform reads the configuration service and the host list over HTTP.
package platform

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/marigoldwood/marigoldwood/bundle"
	"github.com/marigoldwood/marigoldwood/resultcode"
)

const (
	bundlePath     = "/v1/config/bundle"
	hostsPath      = "/v1/hosts"
	revisionHeader = "X-Revision"
)

// maxHeaderBytes bounds the header of an answer.
const maxHeaderBytes = 16 << 10

// maxHostsBytes bounds the host list. 830 hosts, the planned size, take about 100 KB.
const maxHostsBytes = 1 << 20

// maxRevisionBytes bounds the revision, which is repeated in every further read.
const maxRevisionBytes = 128

// Client reads the platform. It is safe for use by several goroutines.
type Client struct {
	base    url.URL
	timeout time.Duration
	http    *http.Client
}

// New returns a client of the platform at address. A read that takes longer than timeout, beyond the wait that it
// asks for, fails.
func New(address netip.AddrPort, timeout time.Duration) *Client {
	transport := &http.Transport{
		DialContext:            (&net.Dialer{Timeout: timeout}).DialContext,
		MaxResponseHeaderBytes: maxHeaderBytes,
		MaxConnsPerHost:        4,
		IdleConnTimeout:        time.Minute,
		DisableCompression:     true, // a compressed answer could grow far beyond what the platform stores
	}
	return &Client{
		base:    url.URL{Scheme: "http", Host: address.String()},
		timeout: timeout,
		http: &http.Client{
			Transport: transport,
			// A redirect would let the platform's answer choose the host that is asked.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// Close ends the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Answer is what the platform holds.
type Answer struct {
	Modified bool   // Envelope is set
	Revision string // to pass to the next read; empty when the platform named none
	Envelope []byte
}

// Bundle reads the bundle when its revision differs from after, which is empty for any. It waits up to wait for that,
// as the platform allows. The error is a *resultcode.Error.
func (c *Client) Bundle(ctx context.Context, after string, wait time.Duration) (Answer, error) {
	query := url.Values{"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)}}
	if after != "" {
		query.Set("after", after)
	}
	ctx, cancel := context.WithTimeout(ctx, wait+c.timeout)
	defer cancel()
	response, err := c.get(ctx, bundlePath, query)
	if err != nil {
		return Answer{}, err
	}
	defer response.Body.Close()
	revision := response.Header.Get(revisionHeader)
	if len(revision) > maxRevisionBytes {
		return Answer{}, unavailable("a revision of %d bytes", len(revision))
	}
	switch response.StatusCode {
	case http.StatusNotModified:
		return Answer{Revision: revision}, nil
	case http.StatusNotFound: // nothing has been published
		return Answer{}, nil
	case http.StatusOK:
		body, err := readBody(response.Body, bundle.MaxEnvelopeBytes)
		if err != nil {
			return Answer{}, err
		}
		return Answer{Modified: true, Revision: revision, Envelope: body}, nil
	}
	return Answer{}, unavailable("status %s", response.Status)
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
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	response, err := c.get(ctx, hostsPath, nil)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, unavailable("status %s", response.Status)
	}
	body, err := readBody(response.Body, maxHostsBytes)
	if err != nil {
		return nil, err
	}
	var hosts []Host
	if err := json.Unmarshal(body, &hosts); err != nil {
		return nil, unavailable("host list: %v", err)
	}
	return hosts, nil
}

func (c *Client) get(ctx context.Context, path string, query url.Values) (*http.Response, error) {
	target := c.base
	target.Path, target.RawQuery = path, query.Encode()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return nil, unavailable("%v", err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, unavailable("%v", err)
	}
	return response, nil
}

// readBody reads at most limit bytes and fails on a longer or an incomplete body.
func readBody(body io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return nil, unavailable("%v", err)
	}
	if int64(len(data)) > limit {
		return nil, resultcode.Errorf(resultcode.BundleTooLarge, "", "the platform's answer is over %d bytes", limit)
	}
	return data, nil
}

func unavailable(format string, args ...any) error {
	return resultcode.Errorf(resultcode.PlatformUnavailable, "", format, args...)
}
