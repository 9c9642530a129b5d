package experiment

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strings"
	"time"
)

// callTimeout bounds every request to a control or operator port, except the one that waits for the callers to finish.
const callTimeout = 5 * time.Second

var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: 10 * time.Second}}

// call sends an HTTP request and decodes the JSON response. A body that is a byte slice is sent as it is, any other as JSON.
func call[T any](ctx context.Context, method string, address netip.AddrPort, path string, body any) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return callWithoutTimeout[T](ctx, method, address, path, body)
}

func callWithoutTimeout[T any](ctx context.Context, method string, address netip.AddrPort, path string, body any) (T, error) {
	var result T
	payload, raw := body.([]byte)
	if !raw && body != nil {
		var err error
		if payload, err = json.Marshal(body); err != nil {
			return result, err
		}
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address.String()+path, bytes.NewReader(payload))
	if err != nil {
		return result, err
	}
	response, err := client.Do(request)
	if err != nil {
		return result, err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return result, err
	}
	if response.StatusCode >= http.StatusBadRequest {
		return result, fmt.Errorf("%s %s: %s: %s", method, path, response.Status, strings.TrimSpace(string(content)))
	}
	if len(content) == 0 {
		return result, nil
	}
	return result, json.Unmarshal(content, &result)
}

// noResult is the result type of requests whose response has no body.
type noResult struct{}

func put(ctx context.Context, address netip.AddrPort, path string, body any) error {
	_, err := call[noResult](ctx, http.MethodPut, address, path, body)
	return err
}

func get[T any](ctx context.Context, address netip.AddrPort, path string) (T, error) {
	return call[T](ctx, http.MethodGet, address, path, nil)
}

// checkReachable returns an error unless a GET request is answered within 1 s with a status below 400.
func checkReachable(ctx context.Context, address netip.AddrPort, path string) error {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+path, nil)
	if err != nil {
		return err
	}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	content, _ := io.ReadAll(io.LimitReader(response.Body, 1<<10))
	if response.StatusCode >= http.StatusBadRequest {
		return fmt.Errorf("%s: %s", response.Status, strings.TrimSpace(string(content)))
	}
	return nil
}

// waitFor repeats a check every 25 ms until it succeeds. After the timeout it returns the last error of the check.
func waitFor(ctx context.Context, timeout time.Duration, check func(context.Context) error) error {
	return waitEvery(ctx, 25*time.Millisecond, timeout, check)
}

// waitEvery is waitFor with a chosen interval between two checks.
func waitEvery(ctx context.Context, interval, timeout time.Duration, check func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var lastErr error
	for {
		err := check(ctx)
		if err == nil {
			return nil
		}
		if lastErr == nil || ctx.Err() == nil {
			lastErr = err // the error of the last complete check says more than an exceeded deadline
		}
		if sleep(ctx, interval) != nil {
			return fmt.Errorf("condition not met within %v: %w", timeout, lastErr)
		}
	}
}

// sleep waits for d. It returns the error of ctx when ctx ends first.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

func query(name string, value any) string {
	return "?" + name + "=" + url.QueryEscape(fmt.Sprint(value))
}
