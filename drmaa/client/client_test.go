package client

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"ospreybend/drmaa"
)

// server answers calls by a script, one step a call.
type server struct {
	*httptest.Server
	mu    sync.Mutex
	calls []string // method, path and body of each
	at    []time.Time
}

// newServer plays one handler after the other; the last is repeated.
func newServer(t *testing.T, script ...http.HandlerFunc) *server {
	s := &server{}
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		s.mu.Lock()
		n := len(s.calls)
		s.calls = append(s.calls, r.Method+" "+r.URL.RequestURI()+" "+string(body))
		s.at = append(s.at, time.Now())
		s.mu.Unlock()
		script[min(n, len(script)-1)](w, r)
	}))
	t.Cleanup(s.Close)
	return s
}

// seen returns the calls so far.
func (s *server) seen() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.calls...)
}

// gap returns the time between the first two calls.
func (s *server) gap() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.at[1].Sub(s.at[0])
}

func (s *server) client(t *testing.T, options ...Option) *Client {
	c, err := New(s.URL, "token", options...)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func answers(status int, v any) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Authorization") != "Bearer token" {
			status = 401
		}
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(v)
	}
}

func later(after string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Retry-After", after)
		w.WriteHeader(503)
		_ = json.NewEncoder(w).Encode(drmaa.Error{Name: drmaa.TryLater, Message: "later"})
	}
}

// breaks closes the connection without an answer.
func breaks(w http.ResponseWriter, _ *http.Request) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err == nil {
		conn.Close()
	}
}

func TestClient_honoursRetryAfter(t *testing.T) {
	s := newServer(t, later("0.200"), answers(202, drmaa.Job{ID: "j"}))
	j, err := s.client(t).Session("s").Run(t.Context(), drmaa.JobTemplate{RemoteCommand: "c"})
	if err != nil || j.ID != "j" {
		t.Fatal(j, err)
	}
	if gap := s.gap(); gap < 200*time.Millisecond {
		t.Errorf("came again after %v", gap)
	}
}

// A submission whose answer is lost is retried under the same client key.
func TestSession_Run_retriesUnderItsKey(t *testing.T) {
	s := newServer(t, breaks, answers(202, drmaa.Job{ID: "j"}))
	if _, err := s.client(t).Session("s").Run(t.Context(), drmaa.JobTemplate{RemoteCommand: "c"}); err != nil {
		t.Fatal(err)
	}
	if len(s.seen()) != 2 || s.seen()[0] != s.seen()[1] || !strings.Contains(s.seen()[0], "x_clientKey") {
		t.Errorf("%q", s.seen())
	}
	// So is a bulk, and the caller's template is unchanged.
	s = newServer(t, breaks, answers(202, drmaa.Array{ID: "a"}))
	template := &drmaa.JobTemplate{RemoteCommand: "c"}
	if _, err := s.client(t).Session("s").RunBulk(t.Context(), drmaa.Bulk{Template: template, Begin: 1, End: 2}); err != nil {
		t.Fatal(err)
	}
	if len(s.seen()) != 2 || s.seen()[0] != s.seen()[1] || template.ClientKey != "" {
		t.Errorf("%q, key %q", s.seen(), template.ClientKey)
	}
}

// A call that may have had an effect and has no key is not retried.
func TestSession_Act_isNotRetried(t *testing.T) {
	s := newServer(t, breaks, answers(202, drmaa.Job{}))
	if err := s.client(t).Session("s").Act(t.Context(), "j", "terminate"); err == nil || len(s.seen()) != 1 {
		t.Errorf("%v after %d calls", err, len(s.seen()))
	}
}

func TestClient_errors(t *testing.T) {
	s := newServer(t, answers(409, drmaa.Error{Name: drmaa.InvalidState, Message: "m", Attribute: "a"}))
	_, err := s.client(t).Session("s").Job(t.Context(), "j")
	var e *drmaa.Error
	if !errors.As(err, &e) || e.Name != drmaa.InvalidState || e.Attribute != "a" || e.Status != 409 || !errors.Is(err, &drmaa.Error{Name: drmaa.InvalidState}) {
		t.Errorf("%v", err)
	}
	s = newServer(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(418) })
	if _, err := s.client(t).Sessions(t.Context()); !errors.Is(err, &drmaa.Error{Name: drmaa.Communication}) {
		t.Errorf("%v", err)
	}
	s = newServer(t, later("0.01"))
	if _, err := s.client(t, WithMaxAttempts(3)).Sessions(t.Context()); !errors.Is(err, &drmaa.Error{Name: drmaa.TryLater}) || len(s.seen()) != 3 {
		t.Errorf("%v after %d calls", err, len(s.seen()))
	}
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	s = newServer(t, later("60"))
	if _, err := s.client(t).Sessions(ctx); !errors.Is(err, context.DeadlineExceeded) || !errors.Is(err, &drmaa.Error{Name: drmaa.TryLater}) {
		t.Errorf("%v", err)
	}
	for _, bad := range []string{"", "127.0.0.1:1", "ftp://x", "http://"} {
		if _, err := New(bad, "t"); err == nil {
			t.Errorf("%q is taken for an address", bad)
		}
	}
}

// A long wait is many short ones.
func TestSession_Wait_repeatsUntilTheEnd(t *testing.T) {
	timeout := answers(504, drmaa.Error{Name: drmaa.Timeout, Message: "m"})
	s := newServer(t, timeout, timeout, answers(200, drmaa.Job{State: drmaa.Done}))
	j, err := s.client(t).Session("s").Wait(t.Context(), "j", Terminated)
	if err != nil || j.State != drmaa.Done || len(s.seen()) != 3 {
		t.Errorf("%+v, %v, %d calls", j, err, len(s.seen()))
	}
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	s = newServer(t, timeout)
	if _, err := s.client(t).Session("s").Wait(ctx, "j", Terminated); !errors.Is(err, &drmaa.Error{Name: drmaa.Timeout}) {
		t.Errorf("%v", err)
	}
}

func TestSession_Jobs_pages(t *testing.T) {
	s := newServer(t, answers(200, drmaa.Page{Jobs: []*drmaa.Job{{ID: "a"}, {ID: "b"}}, Next: "x-b"}), answers(200, drmaa.Page{Jobs: []*drmaa.Job{{ID: "c"}}}))
	var ids []string
	for j, err := range s.client(t).Session("s").Jobs(t.Context(), drmaa.Filter{States: []drmaa.State{drmaa.Done}, Name: "n"}) {
		if err != nil {
			t.Fatal(err)
		}
		ids = append(ids, j.ID)
	}
	if strings.Join(ids, "") != "abc" || !strings.Contains(s.seen()[1], "next=x-b") || !strings.Contains(s.seen()[1], "state=DONE") {
		t.Errorf("%v, %q", ids, s.seen())
	}
}

// A broken stream is resumed at the last cursor.
func TestSession_Events_resume(t *testing.T) {
	lines := func(v ...drmaa.Events) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			for _, e := range v {
				_ = json.NewEncoder(w).Encode(e)
			}
		}
	}
	s := newServer(t, lines(drmaa.Events{Cursor: "e-1"}, drmaa.Events{Events: []drmaa.Event{{Seq: 1}}, Cursor: "e-2"}), breaks,
		lines(drmaa.Events{Events: []drmaa.Event{{Seq: 2}}, Cursor: "e-3", Missed: 4}), answers(404, drmaa.Error{Name: drmaa.InvalidSession, Message: "gone"}))
	var seen, missed int
	var last error
	for got, err := range s.client(t).Session("s").Events(t.Context(), "") {
		if err != nil {
			last = err
			break
		}
		seen += len(got.Events)
		missed += int(got.Missed)
	}
	if seen != 2 || missed != 4 || !errors.Is(last, &drmaa.Error{Name: drmaa.InvalidSession}) {
		t.Errorf("%d events, %d missed, %v", seen, missed, last)
	}
	for i, want := range []string{"cursor=", "cursor=e-2", "cursor=e-2", "cursor=e-3"} {
		if !strings.Contains(s.seen()[i], want) {
			t.Errorf("call %d: %s", i, s.seen()[i])
		}
	}
}
