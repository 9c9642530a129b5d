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

// callLimit bounds every call of a control or operator port but the final one of a run.
const callLimit = 5 * time.Second

var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: 10 * time.Second}}

// call sends a request with a body as JSON, or raw when it is a byte slice, and decodes the answer.
func call[T any](ctx context.Context, method string, at netip.AddrPort, path string, body any) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	return callUnbounded[T](ctx, method, at, path, body)
}

func callUnbounded[T any](ctx context.Context, method string, at netip.AddrPort, path string, body any) (T, error) {
	var result T
	b, raw := body.([]byte)
	if !raw && body != nil {
		var err error
		if b, err = json.Marshal(body); err != nil {
			return result, err
		}
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+at.String()+path, bytes.NewReader(b))
	if err != nil {
		return result, err
	}
	answer, err := client.Do(r)
	if err != nil {
		return result, err
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		return result, err
	}
	if answer.StatusCode >= http.StatusBadRequest {
		return result, fmt.Errorf("%s %s: %s: %s", method, path, answer.Status, strings.TrimSpace(string(text)))
	}
	if len(text) == 0 {
		return result, nil
	}
	return result, json.Unmarshal(text, &result)
}

// nothing is the result of calls without one.
type nothing struct{}

func put(ctx context.Context, at netip.AddrPort, path string, body any) error {
	_, err := call[nothing](ctx, http.MethodPut, at, path, body)
	return err
}

func get[T any](ctx context.Context, at netip.AddrPort, path string) (T, error) {
	return call[T](ctx, http.MethodGet, at, path, nil)
}

// reachable reports whether a GET request is answered with a status below 400.
func reachable(ctx context.Context, at netip.AddrPort, path string) error {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+at.String()+path, nil)
	if err != nil {
		return err
	}
	answer, err := client.Do(r)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	text, _ := io.ReadAll(io.LimitReader(answer.Body, 1<<10))
	if answer.StatusCode >= http.StatusBadRequest {
		return fmt.Errorf("%s: %s", answer.Status, strings.TrimSpace(string(text)))
	}
	return nil
}

// waitFor repeats a check until it succeeds.
func waitFor(ctx context.Context, limit time.Duration, check func(context.Context) error) error {
	return waitEvery(ctx, 25*time.Millisecond, limit, check)
}

// waitEvery is waitFor with the time between two checks.
func waitEvery(ctx context.Context, interval, limit time.Duration, check func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	var last error
	for {
		err := check(ctx)
		if err == nil {
			return nil
		}
		if last == nil || ctx.Err() == nil {
			last = err // what the check found says more than that the time is over
		}
		if sleep(ctx, interval) != nil {
			return fmt.Errorf("not within %v: %w", limit, last)
		}
	}
}

// sleep waits, or returns the error of ctx when that ends first.
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
