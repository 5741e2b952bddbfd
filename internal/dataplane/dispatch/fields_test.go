package dispatch

import (
	"slices"
	"strings"
	"testing"

	"ospreybend/internal/dataplane/httpserver"
	"ospreybend/internal/dataplane/upstream"
	"ospreybend/internal/dataplane/upstream/upstreamtest"
	"ospreybend/internal/util/http1"
)

// receivedHeadLines sends a request with additional fields and returns the lines of the head that the worker received.
func receivedHeadLines(h *testHarness, fields http1.Header) []string {
	workers := upstreamtest.NewWorkers()
	pool := upstream.New(upstream.Options{Dial: workers.Dial})
	defer pool.Close()
	h.dispatcher.workerClient = NewPoolClient(pool)
	workers.AddWorker("d1:80", func(int) []upstreamtest.Exchange { return []upstreamtest.Exchange{upstreamtest.HealthyExchange(true)} })
	h.chooser.addChoices("d1")
	h.send(func(request *httpserver.Request) {
		request.Header = append(http1.Header{{Name: "Host", Value: "h"}, {Name: "X-Request-Id", Value: testRequestID}}, fields...)
	})
	return strings.Split(workers.Conns("d1:80")[0].Requests()[0].Head, "\r\n")
}

// TestDispatcher_Serve_promptFieldsAreForwardedVerbatim checks that the prompt fields reach the worker unchanged, byte for byte,
// whatever the case of their names.
func TestDispatcher_Serve_promptFieldsAreForwardedVerbatim(t *testing.T) {
	for _, fields := range []http1.Header{
		{{Name: "X-Model", Value: "m"}, {Name: "X-Token-Count", Value: "1460,80"}, {Name: "X-Prompt-Prefix", Value: "5c1e07a2:800,91bd3f06:660"}},
		{{Name: "x-MODEL", Value: "M  two\twords"}, {Name: "x-token-count", Value: " 7 , 9"}, {Name: "x-prompt-prefix", Value: "a:1, b:2,,"}},
		{{Name: "X-Model", Value: "one"}, {Name: "x-model", Value: "two"}, {Name: "X-Token-Count", Value: "1,2"}, {Name: "X-Token-Count", Value: "3,4"}},
		{{Name: "X-Model", Value: ""}, {Name: "X-Token-Count", Value: ""}, {Name: "X-Prompt-Prefix", Value: ""}},
		{{Name: "X-Token-Count", Value: "-5,x"}, {Name: "X-Prompt-Prefix", Value: "no prefix"}, {Name: "X-Model", Value: "\xffm\xe4"}},
		nil,
	} {
		withFakeClock(t, func(t *testing.T, h *testHarness) {
			var got, want []string
			for _, line := range receivedHeadLines(h, fields) {
				name, _, _ := strings.Cut(line, ":")
				if containsFold(name, []string{fieldModel, fieldTokenCount, fieldPromptPrefix}) {
					got = append(got, line)
				}
			}
			for _, field := range fields {
				want = append(want, field.Name+": "+field.Value)
			}
			if !slices.Equal(got, want) {
				t.Errorf("the worker received prompt fields %q, want %q", got, want)
			}
		})
	}
}

// TestDispatcher_Serve_dropsClientsSystemFields checks that reserved fields sent by a client do not reach the worker, whatever the case
// of their names. X-Not-Executed is only meaningful in responses and is therefore forwarded.
func TestDispatcher_Serve_dropsClientsSystemFields(t *testing.T) {
	withFakeClock(t, func(t *testing.T, h *testHarness) {
		var fields http1.Header
		for _, name := range reservedRequestFields {
			fields = append(fields, http1.HeaderField{Name: strings.ToLower(name), Value: "evil"}, http1.HeaderField{Name: name, Value: "9"})
		}
		fields = append(fields, http1.HeaderField{Name: fieldNotExecuted, Value: "1"})
		lines := receivedHeadLines(h, fields)
		for _, want := range []string{"X-Target-Instance: d1", "Priority: 0", "X-Not-Executed: 1"} {
			if !slices.Contains(lines, want) {
				t.Errorf("the worker received %q, want it to include %q", lines, want)
			}
		}
		counts := map[string]int{}
		for _, line := range lines {
			name, value, _ := strings.Cut(line, ": ")
			counts[strings.ToLower(name)]++
			if value == "evil" {
				t.Errorf("the worker received the client's field %q", line)
			}
		}
		for _, name := range reservedRequestFields {
			set := containsFold(name, []string{fieldTargetInstance, fieldPriority, fieldRequestDeadline})
			if count := counts[strings.ToLower(name)]; count > 1 || count == 1 != set {
				t.Errorf("the worker received field %s %d times, want it set by the dispatcher: %v", name, count, set)
			}
		}
	})
}

// TestDispatcher_Serve_repeatedCallUsesNewConnection checks that a second prefill at the same worker uses a new connection: a late
// response to the first one would have the same ID.
func TestDispatcher_Serve_repeatedCallUsesNewConnection(t *testing.T) {
	withFakeClock(t, func(t *testing.T, h *testHarness) {
		h.chooser.addChoices("p1>d1", "p1>d2")
		h.addScripts("p1", respondWithHandle("h1"), respondWithHandle("h2"))
		h.addScripts("d1", withReportedLoad(rejectCall(), 3, 0, 64))
		h.addScripts("d2", streamEvents(1, 2, nil))
		h.send(nil).requireResponse(t, 200, eventTexts(1, 2))
		if h.workersCalled() != "p1 d1 p1 d2 " {
			t.Fatalf("called workers %q, want %q", h.workersCalled(), "p1 d1 p1 d2 ")
		}
		for i, call := range h.calls {
			if repeated := i == 2; call.request.ForceNewConn != repeated {
				t.Errorf("call %d, to %s: ForceNewConn is %v, want %v", i, call.worker, call.request.ForceNewConn, repeated)
			}
		}
	})
}
