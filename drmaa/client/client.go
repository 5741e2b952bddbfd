// Package client calls the batch front over HTTP. Calls take a context, heed
// Retry-After, and are made again where that is safe: reads and waits always,
// submissions under their client key. It is safe for use by several goroutines.
package client

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cenkalti/backoff/v5"

	"ospreybend/drmaa"
)

const (
	initialBackoff   = 50 * time.Millisecond
	maxBackoff       = 5 * time.Second
	maxServerWait    = 30 * time.Second // the longest that one call waits at the server
	maxResponseBytes = 64 << 20
)

// Client is one tenant's way to a batch front.
type Client struct {
	base        string
	token       string
	http        *http.Client
	maxAttempts int
}

// Option changes a client from its defaults.
type Option func(*Client)

// WithHTTP has the client use an HTTP client of the caller's. Its timeout must
// be none or over half a minute, as waits take as long.
func WithHTTP(h *http.Client) Option { return func(c *Client) { c.http = h } }

// WithMaxAttempts sets how often a call is made at most, where it is safe to make it
// again; 1: once. Without it a call goes on until its context ends.
func WithMaxAttempts(n int) Option { return func(c *Client) { c.maxAttempts = n } }

// New makes a client. base is the server's address, as http://127.0.0.1:8090.
func New(base, token string, options ...Option) (*Client, error) {
	u, err := url.Parse(base)
	if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
		return nil, fmt.Errorf("%q is no address of a server: wants http://HOST:PORT", base)
	}
	c := &Client{base: strings.TrimRight(base, "/"), token: token, http: &http.Client{}}
	for _, o := range options {
		o(c)
	}
	return c, nil
}

// apiCall is one call.
type apiCall struct {
	method, path string
	in, out      any
	retryable    bool // safe to make again after a failure that leaves open what it did
}

// do makes a call until it has an answer that stands.
func (c *Client) do(ctx context.Context, call apiCall) error {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = initialBackoff, maxBackoff
	for attempt := 1; ; attempt++ {
		err := c.doOnce(ctx, call)
		if err == nil {
			return nil
		}
		var e *drmaa.Error
		answered := errors.As(err, &e)
		switch {
		case ctx.Err() != nil:
			return errors.Join(ctx.Err(), err)
		case c.maxAttempts > 0 && attempt >= c.maxAttempts:
			return err
		case answered && e.Name == drmaa.TryLater:
			// It was not taken: to come again is harmless.
		case !answered && call.retryable:
		default:
			return err
		}
		wait := pause.NextBackOff()
		if answered && e.RetryAfter > 0 {
			wait = e.RetryAfter + wait/4 // not all who were told the same at once
		}
		select {
		case <-ctx.Done():
			return errors.Join(ctx.Err(), err)
		case <-time.After(wait):
		}
	}
}

func (c *Client) request(ctx context.Context, method, path string, in any) (*http.Response, error) {
	var body io.Reader
	if in != nil {
		text, err := json.Marshal(in)
		if err != nil {
			return nil, err
		}
		body = bytes.NewReader(text)
	}
	r, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return nil, err
	}
	r.Header.Set("Authorization", "Bearer "+c.token)
	if in != nil {
		r.Header.Set("Content-Type", "application/json")
	}
	return c.http.Do(r)
}

func (c *Client) doOnce(ctx context.Context, call apiCall) error {
	answer, err := c.request(ctx, call.method, call.path, call.in)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(io.LimitReader(answer.Body, maxResponseBytes))
	if err != nil {
		return fmt.Errorf("the answer broke off: %w", err)
	}
	if answer.StatusCode >= 300 {
		return responseError(answer, text)
	}
	if call.out == nil || len(text) == 0 {
		return nil
	}
	if err := json.Unmarshal(text, call.out); err != nil {
		return fmt.Errorf("the answer cannot be read: %w", err)
	}
	return nil
}

// responseError reads an answer that is an error.
func responseError(answer *http.Response, text []byte) error {
	e := &drmaa.Error{Status: answer.StatusCode}
	if json.Unmarshal(text, e) != nil || e.Name == "" {
		if answer.StatusCode != http.StatusServiceUnavailable {
			return &drmaa.Error{Status: answer.StatusCode, Name: drmaa.Communication,
				Message: "status " + answer.Status + " with no error of the binding's"}
		}
		e.Name, e.Message = drmaa.TryLater, "the server has no room" // before the binding is reached
	}
	if s, err := strconv.ParseFloat(answer.Header.Get("Retry-After"), 64); err == nil && s > 0 {
		e.RetryAfter = time.Duration(s * float64(time.Second))
	}
	return e
}

const root = "/drmaa/v2"

func getCall(path string, out any) apiCall {
	return apiCall{method: "GET", path: path, out: out, retryable: true}
}

// Manager returns the session manager's attributes, supports() among them.
func (c *Client) Manager(ctx context.Context) (*drmaa.Manager, error) {
	var m drmaa.Manager
	return &m, c.do(ctx, getCall(root, &m))
}

// Sessions lists the tenant's job sessions.
func (c *Client) Sessions(ctx context.Context) ([]drmaa.Session, error) {
	var out struct {
		Sessions []drmaa.Session `json:"x_sessions"`
	}
	return out.Sessions, c.do(ctx, getCall(root+"/sessions", &out))
}

// CreateSession is createJobSession: it must not be there yet.
func (c *Client) CreateSession(ctx context.Context, name string) (*Session, error) {
	return c.session(ctx, name, "create")
}

// OpenSession is openJobSession: it must be there.
func (c *Client) OpenSession(ctx context.Context, name string) (*Session, error) {
	return c.session(ctx, name, "open")
}

// EnsureSession creates a session or opens it, whichever is needed.
func (c *Client) EnsureSession(ctx context.Context, name string) (*Session, error) {
	return c.session(ctx, name, "")
}

func (c *Client) session(ctx context.Context, name, mode string) (*Session, error) {
	in := map[string]string{"name": name, "mode": mode}
	err := c.do(ctx, apiCall{method: "POST", path: root + "/sessions", in: in, retryable: mode != "create"})
	return c.Session(name), err
}

// Session is a session by its name, without a call.
func (c *Client) Session(name string) *Session {
	return &Session{client: c, Name: name, path: root + "/sessions/" + url.PathEscape(name)}
}

// Queues lists the classes that jobs may be of.
func (c *Client) Queues(ctx context.Context) ([]drmaa.Queue, error) {
	var out struct{ Queues []drmaa.Queue }
	return out.Queues, c.do(ctx, getCall(root+"/monitoring/queues", &out))
}

// Machines lists the prep workers.
func (c *Client) Machines(ctx context.Context) ([]drmaa.Machine, error) {
	var out struct{ Machines []drmaa.Machine }
	return out.Machines, c.do(ctx, getCall(root+"/monitoring/machines", &out))
}

// newClientKey makes a client key, so that a submission can be made again.
func newClientKey() string { return "auto-" + rand.Text() }
