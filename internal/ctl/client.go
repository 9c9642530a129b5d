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
	requestTimeout  = 5 * time.Second
	maxAnswerBytes  = 32 << 20
	maxErrorMessage = 1 << 10
)

// client asks the operator ports of several hosts.
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
		return nil, resultcode.Errorf(resultcode.SettingsInvalidValue, "tls-authority", "%q holds no certificate", o.CAFile)
	}
	return &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{certificate}, RootCAs: roots}, nil
}

// get reads the JSON answer of one host into v.
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
		text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorMessage))
		return resultcode.Errorf(resultcode.PeerUnreachable, host, "%s: %s", response.Status, strings.TrimSpace(string(text)))
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxAnswerBytes)).Decode(v); err != nil {
		return resultcode.Errorf(resultcode.PeerFrame, host, "%v", err)
	}
	return nil
}

// answer is what one host said.
type answer[T any] struct {
	Host  string
	Value T
	Err   error
}

// askAll asks every host at the same time and returns the answers in the order of the hosts.
func askAll[T any](c *client, path string) []answer[T] {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	answers := make([]answer[T], len(c.hosts))
	var wg sync.WaitGroup
	for i, host := range c.hosts {
		answers[i].Host = host
		wg.Go(func() { answers[i].Err = c.get(ctx, host, path, &answers[i].Value) })
	}
	wg.Wait()
	return answers
}

// reportMissing writes the errors of hosts that did not answer. It returns errPartial when there are any.
func reportMissing[T any](w io.Writer, answers []answer[T]) error {
	var err error
	for _, a := range answers {
		if a.Err != nil {
			_, _ = fmt.Fprintln(w, a.Err)
			err = errPartial
		}
	}
	return err
}
