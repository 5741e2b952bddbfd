package client

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"iter"
	"net/url"
	"time"

	"github.com/cenkalti/backoff/v5"

	"ospreybend/drmaa"
)

// Session is a job session.
type Session struct {
	Name   string
	client *Client
	path   string
}

// actionRequest is the body of the calls that control a session, a job or an array.
type actionRequest struct {
	Action string `json:"action"`
}

// control performs an action on the session.
func (s *Session) control(ctx context.Context, action string) error {
	return s.client.do(ctx, apiCall{method: "POST", path: s.path + "/control", in: actionRequest{action}, retryable: action != "destroy"})
}

// Close is closeJobSession. The session's jobs continue.
func (s *Session) Close(ctx context.Context) error { return s.control(ctx, "close") }

// Destroy is destroyJobSession: unfinished jobs are terminated, and all jobs are reaped.
func (s *Session) Destroy(ctx context.Context) error { return s.control(ctx, "destroy") }

// Run is runJob. A template without a client key gets one, so that a retry after a lost response
// does not submit a second job.
func (s *Session) Run(ctx context.Context, t drmaa.JobTemplate) (*drmaa.Job, error) {
	if t.ClientKey == "" {
		t.ClientKey = newClientKey()
	}
	var j drmaa.Job
	return &j, s.client.do(ctx, apiCall{method: "POST", path: s.path + "/jobs", in: t, out: &j, retryable: true})
}

// RunOnce is Run without retries: a rejection is returned at once.
func (s *Session) RunOnce(ctx context.Context, t drmaa.JobTemplate) (*drmaa.Job, error) {
	var j drmaa.Job
	return &j, s.client.doOnce(ctx, apiCall{method: "POST", path: s.path + "/jobs", in: t, out: &j})
}

// RunBulk is runBulkJobs, with a client key as for Run.
func (s *Session) RunBulk(ctx context.Context, b drmaa.Bulk) (*drmaa.Array, error) {
	if b.Template != nil && b.Template.ClientKey == "" {
		t := *b.Template
		t.ClientKey = newClientKey()
		b.Template = &t
	}
	var a drmaa.Array
	return &a, s.client.do(ctx, apiCall{method: "POST", path: s.path + "/arrays", in: b, out: &a, retryable: true})
}

func (s *Session) jobPath(id string) string   { return s.path + "/jobs/" + url.PathEscape(id) }
func (s *Session) arrayPath(id string) string { return s.path + "/arrays/" + url.PathEscape(id) }

// Job returns the current information on a job.
func (s *Session) Job(ctx context.Context, id string) (*drmaa.Job, error) {
	var j drmaa.Job
	return &j, s.client.do(ctx, getCall(s.jobPath(id), &j))
}

// Array returns the current information on a job array.
func (s *Session) Array(ctx context.Context, id string) (*drmaa.Array, error) {
	var a drmaa.Array
	return &a, s.client.do(ctx, getCall(s.arrayPath(id), &a))
}

// Jobs is getJobs: it iterates over all matching jobs, newest first, and fetches them page by page.
// It stops after the first error.
func (s *Session) Jobs(ctx context.Context, f drmaa.Filter) iter.Seq2[*drmaa.Job, error] {
	return s.client.pages(ctx, s.path+"/jobs", f)
}

// Jobs is the monitoring session's getAllJobs: it iterates over the jobs of all sessions.
func (c *Client) Jobs(ctx context.Context, f drmaa.Filter) iter.Seq2[*drmaa.Job, error] {
	return c.pages(ctx, apiRoot+"/monitoring/jobs", f)
}

// pages iterates over the jobs of the list at path, page by page.
func (c *Client) pages(ctx context.Context, path string, filter drmaa.Filter) iter.Seq2[*drmaa.Job, error] {
	return func(yield func(*drmaa.Job, error) bool) {
		query := filter.Query()
		for {
			var page drmaa.Page
			if err := c.do(ctx, getCall(path+"?"+query, &page)); err != nil {
				yield(nil, err)
				return
			}
			for _, j := range page.Jobs {
				if !yield(j, nil) {
					return
				}
			}
			if page.Next == "" {
				return
			}
			next := filter
			next.Before = drmaa.Cursor{}
			query = next.Query() + "&next=" + url.QueryEscape(page.Next)
		}
	}
}

// Act performs an action on a job: hold, release, terminate or reap.
func (s *Session) Act(ctx context.Context, id, action string) error {
	return s.client.do(ctx, apiCall{method: "POST", path: s.jobPath(id) + "/control", in: actionRequest{action}})
}

// ActOnArray performs an action on all jobs of an array whose state allows it.
func (s *Session) ActOnArray(ctx context.Context, id, action string) (*drmaa.Affected, error) {
	var n drmaa.Affected
	return &n, s.client.do(ctx, apiCall{method: "POST", path: s.arrayPath(id) + "/control", in: actionRequest{action}, out: &n})
}

// The conditions that a wait can be for.
const (
	Started       = "started"
	Terminated    = "terminated"
	AllTerminated = "allTerminated" // only for an array
)

// waitRequest is the body of a wait call.
type waitRequest struct {
	Timeout float64  `json:"timeout"` // seconds
	For     string   `json:"for"`
	Jobs    []string `json:"jobs,omitempty"`
	Array   string   `json:"array,omitempty"`
}

// wait repeats a wait call until the condition holds or the context ends.
func (s *Session) wait(ctx context.Context, path string, b waitRequest, out any) error {
	for {
		serverWait := maxServerWait
		if end, ok := ctx.Deadline(); ok {
			serverWait = min(serverWait, max(time.Until(end)-100*time.Millisecond, 0))
		}
		b.Timeout = serverWait.Seconds()
		err := s.client.do(ctx, apiCall{method: "POST", path: path, in: b, out: out, retryable: true})
		if !errors.Is(err, &drmaa.Error{Name: drmaa.Timeout}) {
			return err
		}
		if end, ok := ctx.Deadline(); ok && time.Until(end) < 200*time.Millisecond || ctx.Err() != nil {
			return err
		}
	}
}

// Wait is waitStarted or waitTerminated of a job: what is Started or Terminated. A TimeoutException
// means that the context's deadline came first; the job continues.
func (s *Session) Wait(ctx context.Context, id, what string) (*drmaa.Job, error) {
	var j drmaa.Job
	return &j, s.wait(ctx, s.jobPath(id)+"/wait", waitRequest{For: what}, &j)
}

// WaitAny is waitAnyStarted or waitAnyTerminated. It waits for one of the jobs ids, for one of an
// array's, or, if neither is given, for any of the session, and returns one that has started or ended.
func (s *Session) WaitAny(ctx context.Context, what, array string, ids ...string) (*drmaa.Job, error) {
	var j drmaa.Job
	return &j, s.wait(ctx, s.path+"/wait", waitRequest{For: what, Jobs: ids, Array: array}, &j)
}

// WaitArray waits until all jobs of an array have ended.
func (s *Session) WaitArray(ctx context.Context, id string) (*drmaa.Array, error) {
	var a drmaa.Array
	return &a, s.wait(ctx, s.arrayPath(id)+"/wait", waitRequest{For: AllTerminated}, &a)
}

// Events iterates over the session's events after a cursor. An empty cursor starts at the present,
// "oldest" at the oldest event that the server retains. A broken connection is reopened at the last
// cursor; each element has its cursor. Missed counts events that were dropped before they were read.
// The iteration ends with the context, or after an error that a new connection would not resolve.
func (s *Session) Events(ctx context.Context, cursor string) iter.Seq2[*drmaa.Events, error] {
	return func(yield func(*drmaa.Events, error) bool) {
		delays := backoff.NewExponentialBackOff()
		delays.InitialInterval, delays.MaxInterval = initialBackoff, maxBackoff
		for {
			more, err := s.readStream(ctx, &cursor, func(e *drmaa.Events) bool {
				delays.Reset()
				return yield(e, nil)
			})
			var e *drmaa.Error
			switch {
			case !more || ctx.Err() != nil:
				return
			case errors.As(err, &e) && e.Name != drmaa.TryLater:
				yield(nil, err)
				return
			}
			select {
			case <-ctx.Done():
				return
			case <-time.After(delays.NextBackOff()):
			}
		}
	}
}

// readStream reads the lines of one connection to its end. more is false if handle returned false.
func (s *Session) readStream(ctx context.Context, cursor *string, handle func(*drmaa.Events) bool) (more bool, err error) {
	response, err := s.client.request(ctx, "GET", s.path+"/events?stream=1&cursor="+url.QueryEscape(*cursor), nil)
	if err != nil {
		return true, err
	}
	defer response.Body.Close()
	if response.StatusCode != 200 {
		text, _ := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
		return true, responseError(response, text)
	}
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		var e drmaa.Events
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
			return true, fmt.Errorf("a line of the event stream cannot be read: %w", err)
		}
		*cursor = e.Cursor
		if (len(e.Events) > 0 || e.Missed != 0) && !handle(&e) {
			return false, nil
		}
	}
	return true, lines.Err()
}
