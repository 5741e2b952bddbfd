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

// requireResponse checks the status and the body of a response, and that it has no X-Not-Executed.
func (c *recordingClient) mustBe(t *testing.T, status int, body string) {
	t.Helper()
	if c.status != status || c.body != body || c.responses > 1 {
		t.Fatalf("response %d %q (%d responses, finished %v, aborted %v), want %d %q",
			c.status, c.body, c.responses, c.finished, c.aborted, status, body)
	}
	if c.fields.Has(fieldNotExecuted) {
		t.Fatal("X-Not-Executed was forwarded to the client")
	}
}

// requireRejection checks that the response is a 503 with Retry-After and without a signature.
func (c *recordingClient) mustReject(t *testing.T) {
	t.Helper()
	c.mustBe(t, http.StatusServiceUnavailable, "")
	if c.fields.Get(fieldRetryAfter) == "" || c.fields.Has(fieldSignature) {
		t.Fatalf("the fields of the 503 are %v, want Retry-After and no X-Response-Signature", c.fields)
	}
}

// requireAborted checks that a response was aborted after the given part of its body.
func (c *recordingClient) mustAbort(t *testing.T, body string) {
	t.Helper()
	if !c.aborted || c.finished || c.body != body {
		t.Fatalf("aborted %v, finished %v, body %q; want an abort after body %q", c.aborted, c.finished, c.body, body)
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
			t.Fatalf("Retry-After is %q after %v, want 1.250 immediately", c.fields.Get(fieldRetryAfter), c.took)
		}
	})
}

func TestDispatcher_Serve_passesRequestToChooser(t *testing.T) {
	withFakeClock(t, func(t *testing.T, r *testHarness) {
		r.ask(nil)
		asked := r.chooser.asked[0]
		if asked.Service != testService || asked.Model != "m" || asked.PromptTokens != 1460 || asked.OutputTokens != 80 {
			t.Fatalf("the chooser got service %q, model %q, %d prompt and %d output tokens; want %q, m, 1460 and 80",
				asked.Service, asked.Model, asked.PromptTokens, asked.OutputTokens, testService)
		}
		if len(asked.Prompt) != 2 || asked.Prompt[0] != (selection.PromptSegment{ID: 0x5c1e07a2, Tokens: 800}) {
			t.Fatalf("the chooser got prompt segments %+v, want two, the first {ID:5c1e07a2 Tokens:800}", asked.Prompt)
		}
		if asked.Objective-asked.Arrived != 400*time.Millisecond || asked.Deadline-asked.Arrived != 3*time.Second {
			t.Fatalf("the objective is %v and the deadline %v after arrival, want 400ms and 3s",
				asked.Objective-asked.Arrived, asked.Deadline-asked.Arrived)
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
			fieldTargetInstance: "d1", fieldPriority: "0", fieldRequestDeadline: "3000", fieldRequestID: testID, "X-Other": "kept",
			fieldServingStage: "", fieldKVFrom: "", fieldExpectVersion: "",
		}
		for name, value := range want {
			if call.field(name) != value {
				t.Errorf("the call's field %s is %q, want %q", name, call.field(name), value)
			}
		}
		if call.call.Header.Count(fieldTargetInstance) != 1 || call.call.Target != testPath+"?q=1" || string(call.call.Body) != "prompt" {
			t.Fatalf("the call is %+v, want one target field, target %s?q=1 and body prompt", call.call, testPath)
		}
	})
}

func TestDispatcher_Serve_callDeadlineIsRemainingTime(t *testing.T) {
	withFakeClock(t, func(t *testing.T, r *testHarness) {
		r.chooser.offers("p1>d1")
		r.script("p1", after(150*time.Millisecond, givesHandle("h1")))
		r.script("d1", streams(1, 2, nil))
		r.ask(nil).mustBe(t, 200, texts(1, 2))
		if r.calls[0].field(fieldRequestDeadline) != "3000" || r.calls[1].field(fieldRequestDeadline) != "2850" {
			t.Fatalf("the deadline fields are %q and %q, want 3000 and 2850", r.calls[0].field(fieldRequestDeadline), r.calls[1].field(fieldRequestDeadline))
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
			t.Fatal("a call to a service without an engine has a Priority field")
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

// TestDispatcher_Serve_responseWithoutLengthIsForwarded checks that a response without a length is complete if its connection was closed
// in order.
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
			t.Fatal("the stream was not finished")
		}
	})
}

// withoutLength returns a script whose response ends with its connection instead of having a length.
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
		r.script("d1", respondsWith(200, "bytes", append(signed, http1.HeaderField{Name: fieldContentEncoding, Value: "gzip"})))
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
				t.Fatalf("fields %v, called workers %q; want a signature and one call", c.fields, r.workersCalled())
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
				t.Fatalf("called workers %q, fields %v; want one call and no signature", r.workersCalled(), c.fields)
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
			t.Fatalf("called workers %q, want %q", r.workersCalled(), "d1 ")
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
			t.Fatalf("called workers %q, want two calls", r.workersCalled())
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
			t.Fatalf("called workers %q, want one call", r.workersCalled())
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
			t.Fatalf("the priorities are %q and %q, want 4 and 0", r.calls[0].field(fieldPriority), r.calls[1].field(fieldPriority))
		}
	})
}

func TestDispatcher_Serve_reportsChangesOfOutstandingCalls(t *testing.T) {
	withFakeClock(t, func(t *testing.T, r *testHarness) {
		changes := 0
		r.dispatcher.shared.onLoadChange = func() { changes++ }
		r.chooser.offers("p1>d1")
		r.script("p1", givesHandle("h1"))
		r.script("d1", streams(1, 1, nil))
		r.ask(nil).mustBe(t, 200, texts(1, 1))
		// Two calls are sent, the second gets its first event, and both end.
		if changes != 5 {
			t.Fatalf("%d changes were reported, want 5", changes)
		}
		r.dispatcher.SetPeerLoad(7, nil)
		if len(r.dispatcher.Outstanding()) != 1 || len(r.chooser.peers) != 1 || r.chooser.peers[0] != 7 {
			t.Fatalf("the chooser returned %v and was given the load of peers %v, want one entry and peer 7", r.dispatcher.Outstanding(), r.chooser.peers)
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
		if len(r.calls) != 1 || r.calls[0].field(fieldTargetInstance) != "d2" {
			t.Fatalf("called workers %q, want %q", r.workersCalled(), "d2 ")
		}
	})
}
