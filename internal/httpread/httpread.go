// Package httpread implements an HTTP client for GET requests whose responses have a limited size. The clients of the
// platform use it.
package httpread

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"net/url"
	"time"

	"github.com/marigoldwood/marigoldwood/resultcode"
)

// MaxHeaderBytes is the maximum size of a response header.
const MaxHeaderBytes = 16 << 10

// maxConnections is the maximum number of connections to one server. It is more than one so that a long poll does not block
// other requests.
const maxConnections = 4

// maxIdle is the maximum time for which a connection is kept without a request. A connection can go silent without being closed,
// and a request on it then fails only when its time is over. Pauses between the requests of a client that is in regular use are
// shorter; one that starts to be used again opens a new connection.
const maxIdle = 2 * time.Second

// Client sends GET requests to one server. It is safe for concurrent use.
type Client struct {
	base    url.URL
	timeout time.Duration
	http    *http.Client
}

// New returns a client of the server at address. A request fails if it takes longer than timeout, in addition to the wait
// that it allows the server.
func New(address netip.AddrPort, timeout time.Duration) *Client {
	transport := &http.Transport{
		DialContext:            (&net.Dialer{Timeout: timeout}).DialContext,
		MaxResponseHeaderBytes: MaxHeaderBytes,
		MaxConnsPerHost:        maxConnections,
		IdleConnTimeout:        maxIdle,
		DisableCompression:     true, // a small compressed response could expand to a very large one
	}
	return &Client{
		base:    url.URL{Scheme: "http", Host: address.String()},
		timeout: timeout,
		http: &http.Client{
			Transport: transport,
			// Redirects are not followed, because the server could then direct requests to any host.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Response is a complete HTTP response.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Get requests path with the given query. The server may take up to wait longer than the timeout of the client. The error is a
// *resultcode.Error: BundleTooLarge if the body has more than limit bytes, PlatformUnavailable for any other failure. It is
// nil for a complete response of any status. With an error, the status of the response is set if its header has arrived.
func (c *Client) Get(ctx context.Context, path string, query url.Values, wait time.Duration, limit int64) (Response, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+c.timeout)
	defer cancel()
	connection := "no connection"
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { connection = describe(i) }})
	target := c.base
	target.Path, target.RawQuery = path, query.Encode()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return Response{}, Unavailable("%v", err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return Response{}, Unavailable("%s: %v", connection, err)
	}
	defer response.Body.Close()
	body, err := readBody(response.Body, limit)
	return Response{Status: response.StatusCode, Header: response.Header, Body: body}, err
}

// describe names the connection of a request in the error of a failed one: a connection that has gone silent while unused fails
// differently from a server that does not accept any.
func describe(i httptrace.GotConnInfo) string {
	if !i.Reused {
		return "new connection"
	}
	return fmt.Sprintf("connection reused after %v", i.IdleTime.Round(time.Millisecond))
}

// readBody reads a body of at most limit bytes. A longer or incomplete body is an error.
func readBody(body io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return nil, Unavailable("%v", err)
	}
	if int64(len(data)) > limit {
		return nil, resultcode.Errorf(resultcode.BundleTooLarge, "", "the response is larger than %d bytes", limit)
	}
	return data, nil
}

// Unavailable returns the error for a server that returned no usable response.
func Unavailable(format string, args ...any) error {
	return resultcode.Errorf(resultcode.PlatformUnavailable, "", format, args...)
}
