package dispatch

import (
	"context"
	"net/http"
	"testing"
	"time"

	"ospreybend/internal/controlplane/configuration"
	"ospreybend/internal/dataplane/fleetview"
	"ospreybend/internal/dataplane/httpserver"
	"ospreybend/internal/dataplane/selection"
	"ospreybend/internal/dataplane/upstream"
	"ospreybend/internal/util/http1"
)

// mustBe checks the status and the body of a response.
func (c *recordingClient) mustBe(t *testing.T, status int, body string) {
	t.Helper()
	if c.status != status || c.body != body || c.responses > 1 {
		t.Fatalf("response %d %q (%d responses, finished %v, aborted %v), want %d %q",
			c.status, c.body, c.responses, c.finished, c.aborted, status, body)
	}
	if c.fields.Has(fieldNotExecuted) {
		t.Fatal("X-Not-Executed forwarded")
	}
}

// mustReject checks a 503: it must have Retry-After and no signature.
func (c *recordingClient) mustReject(t *testing.T) {
	t.Helper()
	c.mustBe(t, http.StatusServiceUnavailable, "")
	if c.fields.Get(fieldRetryAfter) == "" || c.fields.Has(fieldSignature) {
		t.Fatalf("fields of the 503: %v", c.fields)
	}
}

// mustAbort checks that a response was aborted after a part of its body.
func (c *recordingClient) mustAbort(t *testing.T, body string) {
	t.Helper()
	if !c.aborted || c.finished || c.body != body {
		t.Fatalf("aborted %v, finished %v, body %q", c.aborted, c.finished, c.body)
	}
}

func TestDispatcher_Serve_unknownRouteIs404(t *testing.T) {
	withFakeClock(t, func(t *testing.T, r *testHarness) {
		r.ask(func(request *httpserver.Request) { request.Path = "/none/" }).mustBe(t, 404, "")
	})
}

func TestDispatcher_Serve_missingRequestIDIs400(t *testing.T) {
	withFakeClock(t, func(t *testing.T, r *testHarness) {
		r.ask(func(request *httpserver.Request) { request.Header = request.Header.Without(fieldRequestID) }).mustBe(t, 400, "")
	})
}

func TestDispatcher_Serve_noConfigurationIs503(t *testing.T) {
	withFakeClock(t, func(t *testing.T, r *testHarness) {
		r.dispatcher.view.Store(nil)
		r.ask(nil).mustReject(t)
	})
}

func TestDispatcher_Serve_rejectsAtOnce(t *testing.T) {
	withFakeClock(t, func(t *testing.T, r *testHarness) {
		r.chooser.retryAfter = 1250 * time.Millisecond
		c := r.ask(nil)
		c.mustReject(t)
		if c.fields.Get(fieldRetryAfter) != "1.250" || c.took != 0 {
			t.Fatalf("fields %v after %v", c.fields, c.took)
		}
	})
}

func TestDispatcher_Serve_passesRequestToChooser(t *testing.T) {
	withFakeClock(t, func(t *testing.T, r *testHarness) {
		r.ask(nil)
		asked := r.chooser.asked[0]
		if asked.Service != testService || asked.Model != "m" || asked.PromptTokens != 1460 || asked.OutputTokens != 80 {
			t.Fatalf("%+v", asked)
		}
		if len(asked.Prompt) != 2 || asked.Prompt[0] != (selection.PromptSegment{ID: 0x5c1e07a2, Tokens: 800}) {
			t.Fatalf("%+v", asked.Prompt)
		}
		if asked.Objective-asked.Arrived != 400*time.Millisecond || asked.Deadline-asked.Arrived != 3*time.Second {
			t.Fatalf("%+v", asked)
		}
	})
}

func TestDispatcher_Serve_callHasOnlySystemFields(t *testing.T) {
	withFakeClock(t, func(t *testing.T, r *testHarness) {
		r.chooser.offers("d1")
		r.script("d1", respondsWith(200, "bytes", signed))
		c := r.ask(func(request *httpserver.Request) {
			for _, name := range []string{"x-serving-stage", "kv-from", "X-TARGET-instance", "expect-version", "priority"} {
				request.Header = append(request.Header, http1.HeaderField{Name: name, Value: "evil"})
			}
			request.Header = append(request.Header, http1.HeaderField{Name: "X-Other", Value: "kept"})
		})
		c.mustBe(t, 200, "bytes")
		call := r.calls[0]
		want := map[string]string{
			fieldTarget: "d1", fieldPriority: "0", fieldDeadline: "3000", fieldRequestID: testID, "X-Other": "kept",
			fieldStage: "", fieldKVFrom: "", fieldVersion: "",
		}
		for name, value := range want {
			if call.field(name) != value {
				t.Errorf("%s: %q, want %q", name, call.field(name), value)
			}
		}
		if call.call.Header.Count(fieldTarget) != 1 || call.call.Target != testPath+"?q=1" || string(call.call.Body) != "prompt" {
			t.Fatalf("%+v", call.call)
		}
	})
}

func TestDispatcher_Serve_callDeadlineIsRemainingTime(t *testing.T) {
	withFakeClock(t, func(t *testing.T, r *testHarness) {
		r.chooser.offers("p1>d1")
		r.script("p1", after(150*time.Millisecond, givesHandle("h1")))
		r.script("d1", streams(1, 2, nil))
		r.ask(nil).mustBe(t, 200, texts(1, 2))
		if r.calls[0].field(fieldDeadline) != "3000" || r.calls[1].field(fieldDeadline) != "2850" {
			t.Fatalf("%q then %q", r.calls[0].field(fieldDeadline), r.calls[1].field(fieldDeadline))
		}
	})
}

func TestDispatcher_Serve_noPriorityWithoutEngine(t *testing.T) {
	withFakeClock(t, func(t *testing.T, r *testHarness) {
		r.view.Services[testService].Engine = nil
		r.chooser.offers("d1")
		r.script("d1", respondsWith(200, "", signed))
		r.ask(nil)
		if r.calls[0].call.Header.Has(fieldPriority) {
			t.Fatal("priority sent")
		}
	})
}

func TestDispatcher_Serve_unsignedSuccessIsNotForwarded(t *testing.T) {
	withFakeClock(t, func(t *testing.T, r *testHarness) {
		r.chooser.offers("d1")
		r.script("d1", respondsWith(200, "bytes", nil))
		r.ask(nil).mustBe(t, 502, "")
		r.chooser.mustEnd(t, failedBy(selection.FailureBroken))
	})
}

// A response without length whose connection was closed in order is complete.
func TestDispatcher_Serve_responseWithoutLengthIsForwarded(t *testing.T) {
	withFakeClock(t, func(t *testing.T, r *testHarness) {
		r.chooser.offers("d1")
		r.script("d1", toEnd(respondsWith(200, "bytes", signed)))
		r.ask(nil).mustBe(t, 200, "bytes")
		r.chooser.mustEnd(t, "done")
	})
}

func TestDispatcher_Serve_streamWithoutLengthIsForwarded(t *testing.T) {
	withFakeClock(t, func(t *testing.T, r *testHarness) {
		r.chooser.offers("d1")
		r.script("d1", toEnd(streams(1, 3, nil)))
		c := r.ask(nil)
		c.mustBe(t, 200, texts(1, 3))
		if !c.finished {
			t.Fatal("not finished")
		}
	})
}

// toEnd removes the length from a worker's response.
func toEnd(then script) script {
	return func(ctx context.Context, call *upstream.Request) (*Response, *upstream.Failure) {
		response, failure := then(ctx, call)
		response.UntilClose = true
		return response, failure
	}
}

func TestDispatcher_Serve_encodedResponseIsNotForwarded(t *testing.T) {
	withFakeClock(t, func(t *testing.T, r *testHarness) {
		r.chooser.offers("d1")
		r.script("d1", respondsWith(200, "bytes", append(signed, http1.HeaderField{Name: fieldEncoding, Value: "gzip"})))
		r.ask(nil).mustBe(t, 502, "")
	})
}

func TestDispatcher_Serve_foreignResponseIsNotForwarded(t *testing.T) {
	withFakeClock(t, func(t *testing.T, r *testHarness) {
		r.chooser.offers("d1")
		r.script("d1", respondsWith(200, "bytes", signed))
		r.ask(func(request *httpserver.Request) {
			request.Header = request.Header.With(fieldRequestID, "another")
		}).mustBe(t, 502, "")
	})
}

func TestDispatcher_Serve_workerErrorIsForwardedUnchanged(t *testing.T) {
	for _, status := range []int{404, 500, 504} {
		withFakeClock(t, func(t *testing.T, r *testHarness) {
			r.chooser.offers("d1", "d2")
			r.script("d1", respondsWith(status, "mine", signed))
			c := r.ask(nil)
			c.mustBe(t, status, "mine")
			if c.fields.Get(fieldSignature) == "" || len(r.calls) != 1 {
				t.Fatalf("fields %v, calls %s", c.fields, r.workersCalled())
			}
		})
	}
}

func TestDispatcher_Serve_workers503AfterRunIsNotForwarded(t *testing.T) {
	for _, status := range []int{503, 429, 408} {
		withFakeClock(t, func(t *testing.T, r *testHarness) {
			r.chooser.offers("d1", "d2")
			r.script("d1", respondsWith(status, "busy", signed))
			c := r.ask(nil)
			c.mustBe(t, 502, "")
			if len(r.calls) != 1 || c.fields.Has(fieldSignature) {
				t.Fatalf("calls %s, fields %v", r.workersCalled(), c.fields)
			}
		})
	}
}

func TestDispatcher_Serve_executedRunIsNotRetried(t *testing.T) {
	withFakeClock(t, func(t *testing.T, r *testHarness) {
		r.chooser.offers("d1", "d2")
		r.script("d1", breaksConnection())
		r.script("d2", respondsWith(200, "again", signed))
		r.ask(nil).mustBe(t, 502, "")
		if r.workersCalled() != "d1 " {
			t.Fatal(r.workersCalled())
		}
	})
}

func TestDispatcher_Serve_unsentRunIsRetriedFreely(t *testing.T) {
	withFakeClock(t, func(t *testing.T, r *testHarness) {
		r.route.MaxAttempts = 1
		r.setRoute()
		r.chooser.offers("d1", "d2")
		r.script("d1", fails(upstream.NotSent, upstream.DialFailed))
		r.script("d2", respondsWith(200, "there", signed))
		r.ask(nil).mustBe(t, 200, "there")
		r.chooser.mustEnd(t, failedBy(selection.FailureConnect), "done")
	})
}

func TestDispatcher_Serve_rejectedRunIsRetried(t *testing.T) {
	withFakeClock(t, func(t *testing.T, r *testHarness) {
		r.chooser.offers("d1", "d2")
		r.script("d1", rejects())
		r.script("d2", respondsWith(200, "there", signed))
		r.ask(nil).mustBe(t, 200, "there")
		r.chooser.mustEnd(t, "rejected", "done")
	})
}

func TestDispatcher_Serve_misdirectedRunIsRetried(t *testing.T) {
	withFakeClock(t, func(t *testing.T, r *testHarness) {
		r.chooser.offers("d1", "d2")
		r.script("d1", respondsWith(421, "", nil))
		r.script("d2", respondsWith(200, "there", signed))
		r.ask(nil).mustBe(t, 200, "there")
		r.chooser.mustEnd(t, failedBy(selection.FailureMisrouted), "done")
	})
}

func TestDispatcher_Serve_rejectedEverywhereIs503(t *testing.T) {
	withFakeClock(t, func(t *testing.T, r *testHarness) {
		r.chooser.offers("d1", "d2")
		r.script("d1", rejects())
		r.script("d2", rejects())
		r.ask(nil).mustReject(t)
	})
}

func TestDispatcher_Serve_runsAreBoundedByMaxAttempts(t *testing.T) {
	withFakeClock(t, func(t *testing.T, r *testHarness) {
		r.route.MaxAttempts = 2
		r.setRoute()
		r.chooser.offers("d1", "d2", "d3")
		r.script("d1", rejects())
		r.script("d2", rejects())
		r.script("d3", respondsWith(200, "", signed))
		r.ask(nil).mustReject(t)
		if len(r.calls) != 2 {
			t.Fatal(r.workersCalled())
		}
	})
}

func TestDispatcher_Serve_retryNeedsBudget(t *testing.T) {
	withFakeClock(t, func(t *testing.T, r *testHarness) {
		for r.dispatcher.shared.spendBudget(testService, 1) {
		}
		r.chooser.offers("d1", "d2")
		r.script("d1", rejects())
		r.ask(nil).mustReject(t)
		if len(r.calls) != 1 {
			t.Fatal(r.workersCalled())
		}
	})
}

func TestDispatcher_Serve_idempotentIsRetriedAfterAnyFailure(t *testing.T) {
	for name, first := range map[string]script{
		"broken": breaksConnection(), "own error": respondsWith(500, "mine", signed), "unsigned": respondsWith(200, "", nil),
		"ambiguous 503": respondsWith(503, "busy", nil),
	} {
		t.Run(name, func(t *testing.T) {
			withFakeClock(t, func(t *testing.T, r *testHarness) {
				r.route.Type = configuration.Idempotent
				r.setRoute()
				r.chooser.offers("d1", "d2")
				r.script("d1", first)
				r.script("d2", respondsWith(200, "there", signed))
				r.ask(nil).mustBe(t, 200, "there")
			})
		})
	}
}

func TestDispatcher_Serve_idempotentErrorIsForwardedWithoutAttemptsLeft(t *testing.T) {
	withFakeClock(t, func(t *testing.T, r *testHarness) {
		r.route.Type = configuration.Idempotent
		r.setRoute()
		r.chooser.offers("d1", "d2")
		r.script("d1", respondsWith(500, "mine", signed))
		r.script("d2", rejects())
		r.ask(nil).mustBe(t, 500, "mine")
	})
}

func TestDispatcher_Serve_no503AfterPossibleRun(t *testing.T) {
	withFakeClock(t, func(t *testing.T, r *testHarness) {
		r.route.Type = configuration.Idempotent
		r.setRoute()
		r.chooser.offers("d1", "d2")
		r.script("d1", breaksConnection())
		r.script("d2", rejects())
		r.ask(nil).mustBe(t, 502, "")
	})
}

func TestDispatcher_Serve_urgencyIsZeroAfterPrefill(t *testing.T) {
	withFakeClock(t, func(t *testing.T, r *testHarness) {
		r.chooser.urgency = 4
		r.chooser.offers("p1>d1")
		r.script("p1", givesHandle("h1"))
		r.script("d1", streams(1, 1, nil))
		r.ask(nil).mustBe(t, 200, texts(1, 1))
		if r.calls[0].field(fieldPriority) != "4" || r.calls[1].field(fieldPriority) != "0" {
			t.Fatalf("%q then %q", r.calls[0].field(fieldPriority), r.calls[1].field(fieldPriority))
		}
	})
}

func TestDispatcher_Serve_reportsChangesOfOutstandingCalls(t *testing.T) {
	withFakeClock(t, func(t *testing.T, r *testHarness) {
		changes := 0
		r.dispatcher.shared.onChange = func() { changes++ }
		r.chooser.offers("p1>d1")
		r.script("p1", givesHandle("h1"))
		r.script("d1", streams(1, 1, nil))
		r.ask(nil).mustBe(t, 200, texts(1, 1))
		// Two calls sent, the first event of the second, two ended.
		if changes != 5 {
			t.Fatalf("%d changes reported", changes)
		}
		r.dispatcher.SetPeerLoad(7, nil)
		if len(r.dispatcher.Outstanding()) != 1 || len(r.chooser.peers) != 1 || r.chooser.peers[0] != 7 {
			t.Fatal("the chooser was not asked or notified")
		}
	})
}

func TestDispatcher_Serve_skipsTransitioningWorkers(t *testing.T) {
	withFakeClock(t, func(t *testing.T, r *testHarness) {
		r.chooser.offers("d1", "d2")
		turning := testWorker("d1")
		turning.Stage, turning.Assigned = "decode", "prefill"
		view := *r.view
		view.Workers = map[string][]*fleetview.Worker{testService: {turning, testWorker("d2"), testWorker("d3")}}
		r.dispatcher.SetView(&view)
		r.script("d2", respondsWith(200, "there", signed))
		r.ask(nil).mustBe(t, 200, "there")
		if len(r.calls) != 1 || r.calls[0].field(fieldTarget) != "d2" {
			t.Fatalf("%+v", r.calls)
		}
	})
}
