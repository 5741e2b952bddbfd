// Package client is a client of the batch front over HTTP. Calls take a context, honour
// Retry-After, and are retried with backoff where that is safe: reads and waits always,
// submissions under their client key. Its types are safe for concurrent use. The program's own
// commands (package cli) use it.
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
	maxServerWait    = 30 * time.Second // of one wait call; longer waits are repeated
	maxResponseBytes = 64 << 20
)

// Client is one tenant's client of a batch front.
type Client struct {
	base        string
	token       string
	http        *http.Client
	maxAttempts int
}

// Option configures a client.
type Option func(*Client)

// WithHTTP makes the client use an HTTP client. Its timeout must be none or over half a minute,
// the duration of a wait call.
func WithHTTP(h *http.Client) Option { return func(c *Client) { c.http = h } }

// WithMaxAttempts sets the most attempts of a call that may be retried. Without it a call is retried
// until its context ends.
func WithMaxAttempts(n int) Option { return func(c *Client) { c.maxAttempts = n } }

// New returns a client. base is the server's address, such as http://127.0.0.1:8090.
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
	retryable    bool // safe to retry after a failure that leaves its effect open
}

// do makes a call, with retries.
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
			// It had no effect: a retry is safe.
		case !answered && call.retryable:
		default:
			return err
		}
		wait := pause.NextBackOff()
		if answered && e.RetryAfter > 0 {
			wait = e.RetryAfter + wait/4 // jitter: others were told the same time
		}
		select {
		case <-ctx.Done():
			return errors.Join(ctx.Err(), err)
		case <-time.After(wait):
		}
	}
}

// request sends one HTTP request.
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

// doOnce makes one attempt of a call.
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

// responseError returns the error of an HTTP response.
func responseError(answer *http.Response, text []byte) error {
	e := &drmaa.Error{Status: answer.StatusCode}
	if json.Unmarshal(text, e) != nil || e.Name == "" {
		if answer.StatusCode != http.StatusServiceUnavailable {
			return &drmaa.Error{Status: answer.StatusCode, Name: drmaa.Communication,
				Message: "status " + answer.Status + " with no error of the binding's"}
		}
		e.Name, e.Message = drmaa.TryLater, "the server has no room" // of the HTTP server, before the binding
	}
	if s, err := strconv.ParseFloat(answer.Header.Get("Retry-After"), 64); err == nil && s > 0 {
		e.RetryAfter = time.Duration(s * float64(time.Second))
	}
	return e
}

const root = "/drmaa/v2"

// getCall returns a call that reads a document.
func getCall(path string, out any) apiCall {
	return apiCall{method: "GET", path: path, out: out, retryable: true}
}

// Manager returns the session manager's attributes, supports() among them.
func (c *Client) Manager(ctx context.Context) (*drmaa.Manager, error) {
	var m drmaa.Manager
	return &m, c.do(ctx, getCall(root, &m))
}

// Sessions returns the tenant's job sessions.
func (c *Client) Sessions(ctx context.Context) ([]drmaa.Session, error) {
	var out struct {
		Sessions []drmaa.Session `json:"x_sessions"`
	}
	return out.Sessions, c.do(ctx, getCall(root+"/sessions", &out))
}

// CreateSession is createJobSession: the session must not exist.
func (c *Client) CreateSession(ctx context.Context, name string) (*Session, error) {
	return c.session(ctx, name, "create")
}

// OpenSession is openJobSession: the session must exist.
func (c *Client) OpenSession(ctx context.Context, name string) (*Session, error) {
	return c.session(ctx, name, "open")
}

// EnsureSession creates a session or opens it, as needed.
func (c *Client) EnsureSession(ctx context.Context, name string) (*Session, error) {
	return c.session(ctx, name, "")
}

// sessionRequest is the body of a call that creates or opens a session.
type sessionRequest struct {
	Mode string `json:"mode"`
	Name string `json:"name"`
}

// session creates or opens a session by mode.
func (c *Client) session(ctx context.Context, name, mode string) (*Session, error) {
	in := sessionRequest{Name: name, Mode: mode}
	err := c.do(ctx, apiCall{method: "POST", path: root + "/sessions", in: in, retryable: mode != "create"})
	return c.Session(name), err
}

// Session returns a session by its name, without a call.
func (c *Client) Session(name string) *Session {
	return &Session{client: c, Name: name, path: root + "/sessions/" + url.PathEscape(name)}
}

// Queues returns the classes of jobs.
func (c *Client) Queues(ctx context.Context) ([]drmaa.Queue, error) {
	var out struct{ Queues []drmaa.Queue }
	return out.Queues, c.do(ctx, getCall(root+"/monitoring/queues", &out))
}

// Machines returns the prep workers.
func (c *Client) Machines(ctx context.Context) ([]drmaa.Machine, error) {
	var out struct{ Machines []drmaa.Machine }
	return out.Machines, c.do(ctx, getCall(root+"/monitoring/machines", &out))
}

// newClientKey returns a random client key, under which a submission can be retried.
func newClientKey() string { return "auto-" + rand.Text() }
