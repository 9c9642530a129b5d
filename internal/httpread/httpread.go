// Package httpread reads bounded answers over HTTP. The clients of the platform share it.
package httpread

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"time"

	"github.com/marigoldwood/marigoldwood/resultcode"
)

// MaxHeaderBytes bounds the header of an answer.
const MaxHeaderBytes = 16 << 10

// maxConnections bounds the connections to one server: a waiting read must not hold up the others.
const maxConnections = 4

// Client reads from one server. It is safe for use by several goroutines.
type Client struct {
	base    url.URL
	timeout time.Duration
	http    *http.Client
}

// New returns a client of the server at address. A read that takes longer than timeout, beyond the wait that it asks
// for, fails.
func New(address netip.AddrPort, timeout time.Duration) *Client {
	transport := &http.Transport{
		DialContext:            (&net.Dialer{Timeout: timeout}).DialContext,
		MaxResponseHeaderBytes: MaxHeaderBytes,
		MaxConnsPerHost:        maxConnections,
		IdleConnTimeout:        time.Minute,
		DisableCompression:     true, // a compressed answer could grow far beyond what the server stores
	}
	return &Client{
		base:    url.URL{Scheme: "http", Host: address.String()},
		timeout: timeout,
		http: &http.Client{
			Transport: transport,
			// A redirect would let the answer choose the host that is asked.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// Close ends the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Response is a complete answer.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Get reads path. The server may take up to wait longer than the timeout of the client. A body of more than limit
// bytes is an error with the code BundleTooLarge, any other failure one with PlatformUnavailable.
func (c *Client) Get(ctx context.Context, path string, query url.Values, wait time.Duration, limit int64) (Response, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+c.timeout)
	defer cancel()
	target := c.base
	target.Path, target.RawQuery = path, query.Encode()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return Response{}, Unavailable("%v", err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return Response{}, Unavailable("%v", err)
	}
	defer response.Body.Close()
	body, err := readBody(response.Body, limit)
	return Response{Status: response.StatusCode, Header: response.Header, Body: body}, err
}

// readBody reads at most limit bytes and fails on a longer or an incomplete body.
func readBody(body io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return nil, Unavailable("%v", err)
	}
	if int64(len(data)) > limit {
		return nil, resultcode.Errorf(resultcode.BundleTooLarge, "", "the answer is over %d bytes", limit)
	}
	return data, nil
}

// Unavailable returns the error of a server that gave no usable answer.
func Unavailable(format string, args ...any) error {
	return resultcode.Errorf(resultcode.PlatformUnavailable, "", format, args...)
}
