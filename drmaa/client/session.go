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

// actionRequest is the body of a control call.
type actionRequest struct {
	Action string `json:"action"`
}

// control performs an action on the session.
func (s *Session) control(ctx context.Context, action string) error {
	return s.client.do(ctx, apiCall{method: "POST", path: s.path + "/control", in: actionRequest{action}, retryable: action != "destroy"})
}

// Close is closeJobSession. The session's jobs continue.
func (s *Session) Close(ctx context.Context) error { return s.control(ctx, "close") }

// Destroy is destroyJobSession: unfinished jobs are terminated, and all are reaped.
func (s *Session) Destroy(ctx context.Context) error { return s.control(ctx, "destroy") }

// Run is runJob. A template without a client key gets one, so that a retry after a lost answer does
// not submit a second job.
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

func (s *Session) job(id string) string   { return s.path + "/jobs/" + url.PathEscape(id) }
func (s *Session) array(id string) string { return s.path + "/arrays/" + url.PathEscape(id) }

// Job returns a job as it is now.
func (s *Session) Job(ctx context.Context, id string) (*drmaa.Job, error) {
	var j drmaa.Job
	return &j, s.client.do(ctx, getCall(s.job(id), &j))
}

// Array returns a job array as it is now.
func (s *Session) Array(ctx context.Context, id string) (*drmaa.Array, error) {
	var a drmaa.Array
	return &a, s.client.do(ctx, getCall(s.array(id), &a))
}

// Jobs is getJobs: it iterates over all matching jobs, newest first, and fetches them page by page.
// It stops after the first error.
func (s *Session) Jobs(ctx context.Context, f drmaa.Filter) iter.Seq2[*drmaa.Job, error] {
	return s.client.pages(ctx, s.path+"/jobs", f)
}

// Jobs is the monitoring session's getAllJobs: it iterates over the jobs of all sessions.
func (c *Client) Jobs(ctx context.Context, f drmaa.Filter) iter.Seq2[*drmaa.Job, error] {
	return c.pages(ctx, root+"/monitoring/jobs", f)
}

// pages iterates over the jobs of a list.
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
	return s.client.do(ctx, apiCall{method: "POST", path: s.job(id) + "/control", in: actionRequest{action}})
}

// ActOnArray performs an action on all jobs of an array whose state allows it.
func (s *Session) ActOnArray(ctx context.Context, id, action string) (*drmaa.Affected, error) {
	var n drmaa.Affected
	return &n, s.client.do(ctx, apiCall{method: "POST", path: s.array(id) + "/control", in: actionRequest{action}, out: &n})
}

// The events that a wait may be for.
const (
	Started       = "started"
	Terminated    = "terminated"
	AllTerminated = "allTerminated" // of an array
)

// waitBody is the body of a wait call. Timeout is in seconds.
type waitBody struct {
	Timeout float64  `json:"timeout"`
	For     string   `json:"for"`
	Jobs    []string `json:"jobs,omitempty"`
	Array   string   `json:"array,omitempty"`
}

// wait repeats a wait call until it is answered or the context ends.
func (s *Session) wait(ctx context.Context, path string, b waitBody, out any) error {
	for {
		span := maxServerWait
		if end, ok := ctx.Deadline(); ok {
			span = min(span, max(time.Until(end)-100*time.Millisecond, 0))
		}
		b.Timeout = span.Seconds()
		err := s.client.do(ctx, apiCall{method: "POST", path: path, in: b, out: out, retryable: true})
		if !errors.Is(err, &drmaa.Error{Name: drmaa.Timeout}) {
			return err
		}
		if end, ok := ctx.Deadline(); ok && time.Until(end) < 200*time.Millisecond || ctx.Err() != nil {
			return err
		}
	}
}

// Wait is waitStarted or waitTerminated of a job. A TimeoutException means that
// the context's deadline came first; the job goes on.
func (s *Session) Wait(ctx context.Context, id, what string) (*drmaa.Job, error) {
	var j drmaa.Job
	return &j, s.wait(ctx, s.job(id)+"/wait", waitBody{For: what}, &j)
}

// WaitAny is waitAnyStarted or waitAnyTerminated: over the jobs named, over an array's, or if
// neither is given over all of the session. It returns one that has started or ended.
func (s *Session) WaitAny(ctx context.Context, what, array string, ids ...string) (*drmaa.Job, error) {
	var j drmaa.Job
	return &j, s.wait(ctx, s.path+"/wait", waitBody{For: what, Jobs: ids, Array: array}, &j)
}

// WaitArray waits for the end of all jobs of an array.
func (s *Session) WaitArray(ctx context.Context, id string) (*drmaa.Array, error) {
	var a drmaa.Array
	return &a, s.wait(ctx, s.array(id)+"/wait", waitBody{For: AllTerminated}, &a)
}

// Events follows the session's events from a cursor on; empty: from now, "oldest": from the oldest
// retained. A broken connection is reopened at the last cursor, which each element has. Missed
// counts events that were dropped before they were read. It ends with the context, or after an
// error that a new connection would not resolve.
func (s *Session) Events(ctx context.Context, cursor string) iter.Seq2[*drmaa.Events, error] {
	return func(yield func(*drmaa.Events, error) bool) {
		pause := backoff.NewExponentialBackOff()
		pause.InitialInterval, pause.MaxInterval = initialBackoff, maxBackoff
		for {
			more, err := s.follow(ctx, &cursor, func(e *drmaa.Events) bool {
				pause.Reset()
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
			case <-time.After(pause.NextBackOff()):
			}
		}
	}
}

// follow reads the lines of one connection to its end. more is false if each returned false.
func (s *Session) follow(ctx context.Context, cursor *string, each func(*drmaa.Events) bool) (more bool, err error) {
	answer, err := s.client.request(ctx, "GET", s.path+"/events?stream=1&cursor="+url.QueryEscape(*cursor), nil)
	if err != nil {
		return true, err
	}
	defer answer.Body.Close()
	if answer.StatusCode != 200 {
		text, _ := io.ReadAll(io.LimitReader(answer.Body, maxResponseBytes))
		return true, responseError(answer, text)
	}
	lines := bufio.NewScanner(answer.Body)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		var e drmaa.Events
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
			return true, fmt.Errorf("a line of the stream cannot be read: %w", err)
		}
		*cursor = e.Cursor
		if (len(e.Events) > 0 || e.Missed != 0) && !each(&e) {
			return false, nil
		}
	}
	return true, lines.Err()
}
