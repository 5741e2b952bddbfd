// Package client is a client of the batch API over HTTP. Calls take a context, honour Retry-After,
// and are retried with backoff where that is safe: reads and waits always, submissions under their
// client key. Its types are safe for concurrent use. The program's own commands (package cli) use it.
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
	maxServerWait    = 30 * time.Second // timeout of one wait call; a longer wait takes several calls
	maxResponseBytes = 64 << 20
)

// Client is one tenant's client of the batch API.
type Client struct {
	base        string
	token       string
	http        *http.Client
	maxAttempts int
}

// Option configures a client.
type Option func(*Client)

// WithHTTP sets the HTTP client to use. If it has a timeout, it must be over 30 s, the maximum duration
// of a wait call.
func WithHTTP(h *http.Client) Option { return func(c *Client) { c.http = h } }

// WithMaxAttempts limits the attempts of a call that may be retried. Without it, such a call is retried
// until its context ends.
func WithMaxAttempts(n int) Option { return func(c *Client) { c.maxAttempts = n } }

// New returns a client. base is the server's address, such as http://127.0.0.1:8090.
func New(base, token string, options ...Option) (*Client, error) {
	u, err := url.Parse(base)
	if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
		return nil, fmt.Errorf("%q is not a server address: want http://HOST:PORT", base)
	}
	c := &Client{base: strings.TrimRight(base, "/"), token: token, http: &http.Client{}}
	for _, o := range options {
		o(c)
	}
	return c, nil
}

// apiCall describes one call of the API.
type apiCall struct {
	method, path string
	in, out      any
	retryable    bool // safe to retry after a failure that leaves unknown whether it had an effect
}

// do makes a call and retries it as far as that is safe.
func (c *Client) do(ctx context.Context, call apiCall) error {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval, delays.MaxInterval = initialBackoff, maxBackoff
	for attempt := 1; ; attempt++ {
		err := c.doOnce(ctx, call)
		if err == nil {
			return nil
		}
		var e *drmaa.Error
		hasResponse := errors.As(err, &e)
		switch {
		case ctx.Err() != nil:
			return errors.Join(ctx.Err(), err)
		case c.maxAttempts > 0 && attempt >= c.maxAttempts:
			return err
		case hasResponse && e.Name == drmaa.TryLater:
			// The server rejected the call without any effect: a retry is safe.
		case !hasResponse && call.retryable:
		default:
			return err
		}
		wait := delays.NextBackOff()
		if hasResponse && e.RetryAfter > 0 {
			wait = e.RetryAfter + wait/4 // jitter, because other clients were given the same Retry-After
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

// doOnce makes a call with a single attempt.
func (c *Client) doOnce(ctx context.Context, call apiCall) error {
	response, err := c.request(ctx, call.method, call.path, call.in)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return fmt.Errorf("read the response: %w", err)
	}
	if response.StatusCode >= 300 {
		return responseError(response, text)
	}
	if call.out == nil || len(text) == 0 {
		return nil
	}
	if err := json.Unmarshal(text, call.out); err != nil {
		return fmt.Errorf("the response cannot be read: %w", err)
	}
	return nil
}

// responseError returns the error that an HTTP response stands for.
func responseError(response *http.Response, text []byte) error {
	e := &drmaa.Error{Status: response.StatusCode}
	if json.Unmarshal(text, e) != nil || e.Name == "" {
		if response.StatusCode != http.StatusServiceUnavailable {
			return &drmaa.Error{Status: response.StatusCode, Name: drmaa.Communication,
				Message: "the server responded with status " + response.Status + " and no error document"}
		}
		e.Name, e.Message = drmaa.TryLater, "the server is at capacity" // sent by the HTTP server itself, before the binding sees the request
	}
	if s, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil && s > 0 {
		e.RetryAfter = time.Duration(s * float64(time.Second))
	}
	return e
}

const apiRoot = "/drmaa/v2"

// getCall returns the call that reads the document at path into out.
func getCall(path string, out any) apiCall {
	return apiCall{method: "GET", path: path, out: out, retryable: true}
}

// Manager returns the attributes of the service, with the results of supports().
func (c *Client) Manager(ctx context.Context) (*drmaa.Manager, error) {
	var m drmaa.Manager
	return &m, c.do(ctx, getCall(apiRoot, &m))
}

// Sessions returns the tenant's job sessions.
func (c *Client) Sessions(ctx context.Context) ([]drmaa.Session, error) {
	var out struct {
		Sessions []drmaa.Session `json:"x_sessions"`
	}
	return out.Sessions, c.do(ctx, getCall(apiRoot+"/sessions", &out))
}

// CreateSession is createJobSession: the session must not exist yet.
func (c *Client) CreateSession(ctx context.Context, name string) (*Session, error) {
	return c.session(ctx, name, "create")
}

// OpenSession is openJobSession: the session must exist.
func (c *Client) OpenSession(ctx context.Context, name string) (*Session, error) {
	return c.session(ctx, name, "open")
}

// EnsureSession opens a session, and creates it if it does not exist.
func (c *Client) EnsureSession(ctx context.Context, name string) (*Session, error) {
	return c.session(ctx, name, "")
}

// sessionRequest is the body of the call that creates or opens a session.
type sessionRequest struct {
	Mode string `json:"mode"`
	Name string `json:"name"`
}

// session creates or opens a session: mode is "create", "open", or "" for either.
func (c *Client) session(ctx context.Context, name, mode string) (*Session, error) {
	in := sessionRequest{Name: name, Mode: mode}
	err := c.do(ctx, apiCall{method: "POST", path: apiRoot + "/sessions", in: in, retryable: mode != "create"})
	return c.Session(name), err
}

// Session returns the session with the given name. It makes no call and does not check that the session
// exists.
func (c *Client) Session(name string) *Session {
	return &Session{client: c, Name: name, path: apiRoot + "/sessions/" + url.PathEscape(name)}
}

// Queues returns the job classes.
func (c *Client) Queues(ctx context.Context) ([]drmaa.Queue, error) {
	var out struct{ Queues []drmaa.Queue }
	return out.Queues, c.do(ctx, getCall(apiRoot+"/monitoring/queues", &out))
}

// Machines returns the prep workers.
func (c *Client) Machines(ctx context.Context) ([]drmaa.Machine, error) {
	var out struct{ Machines []drmaa.Machine }
	return out.Machines, c.do(ctx, getCall(apiRoot+"/monitoring/machines", &out))
}

// newClientKey returns a random client key, which makes retries of a submission safe.
func newClientKey() string { return "auto-" + rand.Text() }
