package server

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"ospreybend/internal/controlplane/roleplanner"
)

// workerAt serves what a worker's address answers, and counts the calls.
func workerAt(t *testing.T, answer http.HandlerFunc) (address string, calls *atomic.Int64) {
	t.Helper()
	calls = new(atomic.Int64)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		answer(w, r)
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://"), calls
}

func newCaller(t *testing.T) *httpCaller {
	t.Helper()
	caller, err := newHTTPCaller()
	if err != nil {
		t.Fatal(err)
	}
	return caller
}

func orderContext(t *testing.T, limit time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	t.Cleanup(cancel)
	return ctx
}

func TestAnOrderSaysWhoGivesItAndToWhom(t *testing.T) {
	var told orderBody
	var path, instance string
	address, calls := workerAt(t, func(w http.ResponseWriter, r *http.Request) {
		path, instance = r.Method+" "+r.URL.Path, r.Header.Get(headerInstance)
		body, _ := io.ReadAll(r.Body)
		if err := json.Unmarshal(body, &told); err != nil {
			t.Error(err)
		}
		w.WriteHeader(http.StatusAccepted)
	})
	order := StageOrder{Instance: "i-1", Address: address, Stage: roleplanner.Prefill, Holder: "core-1", Fence: 41}
	if status := newCaller(t).Order(orderContext(t, orderBudget), order); status != http.StatusAccepted {
		t.Fatal(status)
	}
	expected := orderBody{Operation: "stage", Stage: "prefill", Holder: "core-1", Fence: 41}
	if path != "POST /-/order" || instance != "i-1" || told != expected || calls.Load() != 1 {
		t.Fatalf("%s to %s: %+v, %d calls", path, instance, told, calls.Load())
	}
}

func TestAnOrderWithoutAnAnswerIsSentOnce(t *testing.T) {
	release := make(chan struct{})
	silent, asked := workerAt(t, func(http.ResponseWriter, *http.Request) { <-release })
	cut, broken := workerAt(t, func(w http.ResponseWriter, _ *http.Request) {
		connection, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		_ = connection.Close()
	})
	defer close(release)
	caller := newCaller(t)
	for _, address := range []string{silent, cut} {
		order := StageOrder{Instance: "i-1", Address: address, Stage: roleplanner.Decode}
		if status := caller.Order(orderContext(t, 100*time.Millisecond), order); status != 0 {
			t.Errorf("status %d of no answer", status)
		}
	}
	if asked.Load() != 1 || broken.Load() != 1 {
		t.Fatalf("sent %d and %d times", asked.Load(), broken.Load())
	}
}

func TestAStageIsTakenFromAReportThatIsSound(t *testing.T) {
	for body, expected := range map[string]string{
		`{"stage":"decode","utilization":false,"sequence":2}`: "decode",
		`{"stage":"prefill","utilization":true}`:              "", // it changes it just now
		`{"stage":`:                                           "",
		`{}`:                                                  "",
	} {
		address, _ := workerAt(t, func(w http.ResponseWriter, r *http.Request) {
			if r.Method != http.MethodGet || r.URL.Path != reportPath || r.Header.Get(headerInstance) != "i-1" {
				t.Errorf("%s %s for %s", r.Method, r.URL.Path, r.Header.Get(headerInstance))
			}
			_, _ = io.WriteString(w, body)
		})
		if stage := newCaller(t).Stage(orderContext(t, orderBudget), "i-1", address); stage != expected {
			t.Errorf("%s: stage %q", body, stage)
		}
	}
	address, _ := workerAt(t, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusMisdirectedRequest)
		_, _ = io.WriteString(w, `{"stage":"decode"}`)
	})
	if stage := newCaller(t).Stage(orderContext(t, orderBudget), "i-1", address); stage != "" {
		t.Errorf("another worker's stage %q was taken", stage)
	}
}
