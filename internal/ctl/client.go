package ctl

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/marigoldwood/marigoldwood/internal/settings"
	"github.com/marigoldwood/marigoldwood/resultcode"
)

const (
	requestTimeout   = 5 * time.Second
	maxResponseBytes = 32 << 20
	maxErrorBytes    = 1 << 10
)

// client sends requests to the operator ports of several hosts.
type client struct {
	hosts  []string
	scheme string
	http   *http.Client
}

func newClient(o *globalOptions) (*client, error) {
	if len(o.Operators) == 0 {
		return nil, resultcode.Errorf(resultcode.Usage, "operator", "name at least one host with --operator")
	}
	c := &client{hosts: o.Operators, scheme: "http", http: &http.Client{}}
	if o.CertFile == "" {
		return c, nil
	}
	config, err := clientTLS(o)
	if err != nil {
		return nil, err
	}
	c.scheme, c.http.Transport = "https", &http.Transport{TLSClientConfig: config}
	return c, nil
}

// clientTLS returns the TLS configuration for the client certificate, its key and the authorities in the options.
func clientTLS(o *globalOptions) (*tls.Config, error) {
	if err := settings.CheckKeyFile(o.KeyFile); err != nil {
		return nil, err
	}
	certificate, err := tls.LoadX509KeyPair(o.CertFile, o.KeyFile)
	if err != nil {
		return nil, resultcode.Errorf(resultcode.SettingsUnreadable, "tls-certificate", "%v", err)
	}
	authority, err := os.ReadFile(o.CAFile)
	if err != nil {
		return nil, resultcode.Errorf(resultcode.SettingsUnreadable, "tls-authority", "%v", err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(authority) {
		return nil, resultcode.Errorf(resultcode.SettingsInvalidValue, "tls-authority", "%q contains no certificate", o.CAFile)
	}
	return &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{certificate}, RootCAs: roots}, nil
}

// get requests path from one host and decodes the JSON response into v. The error is a *resultcode.Error.
func (c *client) get(ctx context.Context, host, path string, v any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.scheme+"://"+host+path, nil)
	if err != nil {
		return resultcode.Errorf(resultcode.Usage, host, "%v", err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return resultcode.Errorf(resultcode.PeerUnreachable, host, "%v", err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
		return resultcode.Errorf(resultcode.PeerUnreachable, host, "%s: %s", response.Status, strings.TrimSpace(string(text)))
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(v); err != nil {
		return resultcode.Errorf(resultcode.PeerFrame, host, "%v", err)
	}
	return nil
}

// hostResponse is the response of one host, or the error of the request.
type hostResponse[T any] struct {
	Host  string
	Value T
	Err   error
}

// queryAll requests path from all hosts in parallel and returns their responses in the order of the hosts.
func queryAll[T any](c *client, path string) []hostResponse[T] {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	responses := make([]hostResponse[T], len(c.hosts))
	var wg sync.WaitGroup
	for i, host := range c.hosts {
		responses[i].Host = host
		wg.Go(func() { responses[i].Err = c.get(ctx, host, path, &responses[i].Value) })
	}
	wg.Wait()
	return responses
}

// reportErrors writes the errors of the hosts that did not respond, and returns errPartial if there are any.
func reportErrors[T any](w io.Writer, responses []hostResponse[T]) error {
	var err error
	for _, r := range responses {
		if r.Err != nil {
			_, _ = fmt.Fprintln(w, r.Err)
			err = errPartial
		}
	}
	return err
}
