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

// server is an HTTP server that responds by a script, with one handler per call.
type server struct {
	*httptest.Server
	mu        sync.Mutex
	calls     []string // method, path and body of each call
	callTimes []time.Time
}

// newServer starts a server that uses one handler after the other, and the last one for all further calls.
func newServer(t *testing.T, script ...http.HandlerFunc) *server {
	s := &server{}
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		s.mu.Lock()
		n := len(s.calls)
		s.calls = append(s.calls, r.Method+" "+r.URL.RequestURI()+" "+string(body))
		s.callTimes = append(s.callTimes, time.Now())
		s.mu.Unlock()
		script[min(n, len(script)-1)](w, r)
	}))
	t.Cleanup(s.Close)
	return s
}

// recordedCalls returns the calls received so far.
func (s *server) recordedCalls() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.calls...)
}

// firstGap returns the time between the first two calls.
func (s *server) firstGap() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.callTimes[1].Sub(s.callTimes[0])
}

func (s *server) client(t *testing.T, options ...Option) *Client {
	c, err := New(s.URL, "token", options...)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// respondWith responds with a status and v as JSON, or with status 401 if the token is wrong.
func respondWith(status int, v any) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Authorization") != "Bearer token" {
			status = 401
		}
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(v)
	}
}

// respondTryLater responds with TryLaterException and Retry-After.
func respondTryLater(after string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Retry-After", after)
		w.WriteHeader(503)
		_ = json.NewEncoder(w).Encode(drmaa.Error{Name: drmaa.TryLater, Message: "later"})
	}
}

// dropConnection closes the connection without a response.
func dropConnection(w http.ResponseWriter, _ *http.Request) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err == nil {
		conn.Close()
	}
}

func TestClient_honoursRetryAfter(t *testing.T) {
	s := newServer(t, respondTryLater("0.200"), respondWith(202, drmaa.Job{ID: "j"}))
	j, err := s.client(t).Session("s").Run(t.Context(), drmaa.JobTemplate{RemoteCommand: "c"})
	if err != nil || j.ID != "j" {
		t.Fatalf("submission after TryLaterException: got job %+v, error %v; want job j", j, err)
	}
	if gap := s.firstGap(); gap < 200*time.Millisecond {
		t.Errorf("retried after %v, want at least the 200 ms of Retry-After", gap)
	}
}

// A submission whose response is lost is retried with the same client key.
func TestSession_Run_retriesUnderItsKey(t *testing.T) {
	s := newServer(t, dropConnection, respondWith(202, drmaa.Job{ID: "j"}))
	if _, err := s.client(t).Session("s").Run(t.Context(), drmaa.JobTemplate{RemoteCommand: "c"}); err != nil {
		t.Fatal(err)
	}
	if len(s.recordedCalls()) != 2 || s.recordedCalls()[0] != s.recordedCalls()[1] || !strings.Contains(s.recordedCalls()[0], "x_clientKey") {
		t.Errorf("calls %q, want two equal ones with a client key", s.recordedCalls())
	}
	// The same holds for a bulk submission, which leaves the caller's template unchanged.
	s = newServer(t, dropConnection, respondWith(202, drmaa.Array{ID: "a"}))
	template := &drmaa.JobTemplate{RemoteCommand: "c"}
	if _, err := s.client(t).Session("s").RunBulk(t.Context(), drmaa.Bulk{Template: template, Begin: 1, End: 2}); err != nil {
		t.Fatal(err)
	}
	if len(s.recordedCalls()) != 2 || s.recordedCalls()[0] != s.recordedCalls()[1] || template.ClientKey != "" {
		t.Errorf("calls %q, client key of the caller's template %q; want two equal calls and no key", s.recordedCalls(), template.ClientKey)
	}
}

// A call that may have had an effect and has no client key is not retried.
func TestSession_Act_isNotRetried(t *testing.T) {
	s := newServer(t, dropConnection, respondWith(202, drmaa.Job{}))
	if err := s.client(t).Session("s").Act(t.Context(), "j", "terminate"); err == nil || len(s.recordedCalls()) != 1 {
		t.Errorf("terminate over a dropped connection: error %v after %d calls, want an error after 1 call", err, len(s.recordedCalls()))
	}
}

func TestClient_errors(t *testing.T) {
	s := newServer(t, respondWith(409, drmaa.Error{Name: drmaa.InvalidState, Message: "m", Attribute: "a"}))
	_, err := s.client(t).Session("s").Job(t.Context(), "j")
	var e *drmaa.Error
	if !errors.As(err, &e) || e.Name != drmaa.InvalidState || e.Attribute != "a" || e.Status != 409 || !errors.Is(err, &drmaa.Error{Name: drmaa.InvalidState}) {
		t.Errorf("got error %+v, want InvalidStateException with status 409 and attribute a", err)
	}
	s = newServer(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(418) })
	if _, err := s.client(t).Sessions(t.Context()); !errors.Is(err, &drmaa.Error{Name: drmaa.Communication}) {
		t.Errorf("status 418 without an error document: got error %v, want DrmCommunicationException", err)
	}
	s = newServer(t, respondTryLater("0.01"))
	if _, err := s.client(t, WithMaxAttempts(3)).Sessions(t.Context()); !errors.Is(err, &drmaa.Error{Name: drmaa.TryLater}) || len(s.recordedCalls()) != 3 {
		t.Errorf("with 3 attempts: error %v after %d calls, want TryLaterException after 3 calls", err, len(s.recordedCalls()))
	}
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	s = newServer(t, respondTryLater("60"))
	if _, err := s.client(t).Sessions(ctx); !errors.Is(err, context.DeadlineExceeded) || !errors.Is(err, &drmaa.Error{Name: drmaa.TryLater}) {
		t.Errorf("context ended during backoff: got error %v, want its deadline error and TryLaterException", err)
	}
	for _, bad := range []string{"", "127.0.0.1:1", "ftp://x", "http://"} {
		if _, err := New(bad, "t"); err == nil {
			t.Errorf("server address %q was accepted", bad)
		}
	}
}

// A wait longer than one call allows is made of several calls.
func TestSession_Wait_repeatsUntilTheEnd(t *testing.T) {
	timeout := respondWith(504, drmaa.Error{Name: drmaa.Timeout, Message: "m"})
	s := newServer(t, timeout, timeout, respondWith(200, drmaa.Job{State: drmaa.Done}))
	j, err := s.client(t).Session("s").Wait(t.Context(), "j", Terminated)
	if err != nil || j.State != drmaa.Done || len(s.recordedCalls()) != 3 {
		t.Errorf("got job %+v, error %v after %d calls; want state DONE after 3 calls", j, err, len(s.recordedCalls()))
	}
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	s = newServer(t, timeout)
	if _, err := s.client(t).Session("s").Wait(ctx, "j", Terminated); !errors.Is(err, &drmaa.Error{Name: drmaa.Timeout}) {
		t.Errorf("wait past the context's deadline: got error %v, want TimeoutException", err)
	}
}

func TestSession_Jobs_pages(t *testing.T) {
	s := newServer(t, respondWith(200, drmaa.Page{Jobs: []*drmaa.Job{{ID: "a"}, {ID: "b"}}, Next: "x-b"}), respondWith(200, drmaa.Page{Jobs: []*drmaa.Job{{ID: "c"}}}))
	var ids []string
	for j, err := range s.client(t).Session("s").Jobs(t.Context(), drmaa.Filter{States: []drmaa.State{drmaa.Done}, Name: "n"}) {
		if err != nil {
			t.Fatal(err)
		}
		ids = append(ids, j.ID)
	}
	if strings.Join(ids, "") != "abc" || !strings.Contains(s.recordedCalls()[1], "next=x-b") || !strings.Contains(s.recordedCalls()[1], "state=DONE") {
		t.Errorf("got jobs %v by calls %q; want a, b and c, the second call with next=x-b and state=DONE", ids, s.recordedCalls())
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
	s := newServer(t, lines(drmaa.Events{Cursor: "e-1"}, drmaa.Events{Events: []drmaa.Event{{Seq: 1}}, Cursor: "e-2"}), dropConnection,
		lines(drmaa.Events{Events: []drmaa.Event{{Seq: 2}}, Cursor: "e-3", Missed: 4}), respondWith(404, drmaa.Error{Name: drmaa.InvalidSession, Message: "gone"}))
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
		t.Errorf("got %d events, %d missed, error %v; want 2, 4 and InvalidSessionException", seen, missed, last)
	}
	for i, want := range []string{"cursor=", "cursor=e-2", "cursor=e-2", "cursor=e-3"} {
		if !strings.Contains(s.recordedCalls()[i], want) {
			t.Errorf("call %d was %s, want %s in it", i, s.recordedCalls()[i], want)
		}
	}
}
