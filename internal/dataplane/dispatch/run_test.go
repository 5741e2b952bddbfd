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
func (c *recordingClient) requireResponse(t *testing.T, status int, body string) {
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
func (c *recordingClient) requireRejection(t *testing.T) {
	t.Helper()
	c.requireResponse(t, http.StatusServiceUnavailable, "")
	if c.fields.Get(fieldRetryAfter) == "" || c.fields.Has(fieldSignature) {
		t.Fatalf("the fields of the 503 are %v, want Retry-After and no X-Response-Signature", c.fields)
	}
}

// requireAborted checks that a response was aborted after the given part of its body.
func (c *recordingClient) requireAborted(t *testing.T, body string) {
	t.Helper()
	if !c.aborted || c.finished || c.body != body {
		t.Fatalf("aborted %v, finished %v, body %q; want an abort after body %q", c.aborted, c.finished, c.body, body)
	}
}

func TestDispatcher_Serve_unknownRouteIs404(t *testing.T) {
	withFakeClock(t, func(t *testing.T, h *testHarness) {
		h.send(func(request *httpserver.Request) { request.Path = "/none/" }).requireResponse(t, 404, "")
	})
}

func TestDispatcher_Serve_missingRequestIDIs400(t *testing.T) {
	withFakeClock(t, func(t *testing.T, h *testHarness) {
		h.send(func(request *httpserver.Request) { request.Header = request.Header.Without(fieldRequestID) }).requireResponse(t, 400, "")
	})
}

func TestDispatcher_Serve_noConfigurationIs503(t *testing.T) {
	withFakeClock(t, func(t *testing.T, h *testHarness) {
		h.dispatcher.view.Store(nil)
		h.send(nil).requireRejection(t)
	})
}

func TestDispatcher_Serve_rejectsImmediately(t *testing.T) {
	withFakeClock(t, func(t *testing.T, h *testHarness) {
		h.chooser.retryAfter = 1250 * time.Millisecond
		client := h.send(nil)
		client.requireRejection(t)
		if client.fields.Get(fieldRetryAfter) != "1.250" || client.duration != 0 {
			t.Fatalf("Retry-After is %q after %v, want 1.250 immediately", client.fields.Get(fieldRetryAfter), client.duration)
		}
	})
}

func TestDispatcher_Serve_passesRequestToChooser(t *testing.T) {
	withFakeClock(t, func(t *testing.T, h *testHarness) {
		h.send(nil)
		request := h.chooser.requests[0]
		if request.Service != testService || request.Model != "m" || request.PromptTokens != 1460 || request.OutputTokens != 80 {
			t.Fatalf("the chooser got service %q, model %q, %d prompt and %d output tokens; want %q, m, 1460 and 80",
				request.Service, request.Model, request.PromptTokens, request.OutputTokens, testService)
		}
		if len(request.Prompt) != 2 || request.Prompt[0] != (selection.PromptSegment{ID: 0x5c1e07a2, Tokens: 800}) {
			t.Fatalf("the chooser got prompt segments %+v, want two, the first {ID:5c1e07a2 Tokens:800}", request.Prompt)
		}
		if request.Objective-request.Arrived != 400*time.Millisecond || request.Deadline-request.Arrived != 3*time.Second {
			t.Fatalf("the objective is %v and the deadline %v after arrival, want 400ms and 3s",
				request.Objective-request.Arrived, request.Deadline-request.Arrived)
		}
	})
}

func TestDispatcher_Serve_callHasOnlySystemFields(t *testing.T) {
	withFakeClock(t, func(t *testing.T, h *testHarness) {
		h.chooser.addChoices("d1")
		h.addScripts("d1", respondWith(200, "bytes", signedFields))
		client := h.send(func(request *httpserver.Request) {
			for _, name := range []string{"x-serving-stage", "kv-from", "X-TARGET-instance", "expect-version", "priority"} {
				request.Header = append(request.Header, http1.HeaderField{Name: name, Value: "evil"})
			}
			request.Header = append(request.Header, http1.HeaderField{Name: "X-Other", Value: "kept"})
		})
		client.requireResponse(t, 200, "bytes")
		call := h.calls[0]
		want := map[string]string{
			fieldTargetInstance: "d1", fieldPriority: "0", fieldRequestDeadline: "3000", fieldRequestID: testRequestID, "X-Other": "kept",
			fieldServingStage: "", fieldKVFrom: "", fieldExpectVersion: "",
		}
		for name, value := range want {
			if call.field(name) != value {
				t.Errorf("the call's field %s is %q, want %q", name, call.field(name), value)
			}
		}
		if call.request.Header.Count(fieldTargetInstance) != 1 || call.request.Target != testPath+"?q=1" || string(call.request.Body) != "prompt" {
			t.Fatalf("the call is %+v, want one target field, target %s?q=1 and body prompt", call.request, testPath)
		}
	})
}

func TestDispatcher_Serve_callDeadlineIsRemainingTime(t *testing.T) {
	withFakeClock(t, func(t *testing.T, h *testHarness) {
		h.chooser.addChoices("p1>d1")
		h.addScripts("p1", delayed(150*time.Millisecond, respondWithHandle("h1")))
		h.addScripts("d1", streamEvents(1, 2, nil))
		h.send(nil).requireResponse(t, 200, eventTexts(1, 2))
		if h.calls[0].field(fieldRequestDeadline) != "3000" || h.calls[1].field(fieldRequestDeadline) != "2850" {
			t.Fatalf("the deadline fields are %q and %q, want 3000 and 2850",
				h.calls[0].field(fieldRequestDeadline), h.calls[1].field(fieldRequestDeadline))
		}
	})
}

func TestDispatcher_Serve_noPriorityWithoutEngine(t *testing.T) {
	withFakeClock(t, func(t *testing.T, h *testHarness) {
		h.view.Services[testService].Engine = nil
		h.chooser.addChoices("d1")
		h.addScripts("d1", respondWith(200, "", signedFields))
		h.send(nil)
		if h.calls[0].request.Header.Has(fieldPriority) {
			t.Fatal("a call to a service without an engine has a Priority field")
		}
	})
}

func TestDispatcher_Serve_unsignedSuccessIsNotForwarded(t *testing.T) {
	withFakeClock(t, func(t *testing.T, h *testHarness) {
		h.chooser.addChoices("d1")
		h.addScripts("d1", respondWith(200, "bytes", nil))
		h.send(nil).requireResponse(t, 502, "")
		h.chooser.requireResults(t, failedWith(selection.FailureBroken))
	})
}

// TestDispatcher_Serve_responseWithoutLengthIsForwarded checks that a response without a length is complete if its connection was closed
// in order.
func TestDispatcher_Serve_responseWithoutLengthIsForwarded(t *testing.T) {
	withFakeClock(t, func(t *testing.T, h *testHarness) {
		h.chooser.addChoices("d1")
		h.addScripts("d1", withoutLength(respondWith(200, "bytes", signedFields)))
		h.send(nil).requireResponse(t, 200, "bytes")
		h.chooser.requireResults(t, "done")
	})
}

func TestDispatcher_Serve_streamWithoutLengthIsForwarded(t *testing.T) {
	withFakeClock(t, func(t *testing.T, h *testHarness) {
		h.chooser.addChoices("d1")
		h.addScripts("d1", withoutLength(streamEvents(1, 3, nil)))
		client := h.send(nil)
		client.requireResponse(t, 200, eventTexts(1, 3))
		if !client.finished {
			t.Fatal("the stream was not finished")
		}
	})
}

// withoutLength returns a script whose response ends with its connection instead of having a length.
func withoutLength(then script) script {
	return func(ctx context.Context, call *upstream.Request) (*Response, *upstream.Failure) {
		response, failure := then(ctx, call)
		response.UntilClose = true
		return response, failure
	}
}

func TestDispatcher_Serve_encodedResponseIsNotForwarded(t *testing.T) {
	withFakeClock(t, func(t *testing.T, h *testHarness) {
		h.chooser.addChoices("d1")
		h.addScripts("d1", respondWith(200, "bytes", append(signedFields, http1.HeaderField{Name: fieldContentEncoding, Value: "gzip"})))
		h.send(nil).requireResponse(t, 502, "")
	})
}

func TestDispatcher_Serve_responseToOtherRequestIsNotForwarded(t *testing.T) {
	withFakeClock(t, func(t *testing.T, h *testHarness) {
		h.chooser.addChoices("d1")
		h.addScripts("d1", respondWith(200, "bytes", signedFields))
		h.send(func(request *httpserver.Request) {
			request.Header = request.Header.With(fieldRequestID, "another")
		}).requireResponse(t, 502, "")
	})
}

func TestDispatcher_Serve_workerErrorIsForwardedUnchanged(t *testing.T) {
	for _, status := range []int{404, 500, 504} {
		withFakeClock(t, func(t *testing.T, h *testHarness) {
			h.chooser.addChoices("d1", "d2")
			h.addScripts("d1", respondWith(status, "worker error", signedFields))
			client := h.send(nil)
			client.requireResponse(t, status, "worker error")
			if client.fields.Get(fieldSignature) == "" || len(h.calls) != 1 {
				t.Fatalf("fields %v, called workers %q; want a signature and one call", client.fields, h.workersCalled())
			}
		})
	}
}

func TestDispatcher_Serve_workers503AfterRunIsNotForwarded(t *testing.T) {
	for _, status := range []int{503, 429, 408} {
		withFakeClock(t, func(t *testing.T, h *testHarness) {
			h.chooser.addChoices("d1", "d2")
			h.addScripts("d1", respondWith(status, "busy", signedFields))
			client := h.send(nil)
			client.requireResponse(t, 502, "")
			if len(h.calls) != 1 || client.fields.Has(fieldSignature) {
				t.Fatalf("called workers %q, fields %v; want one call and no signature", h.workersCalled(), client.fields)
			}
		})
	}
}

func TestDispatcher_Serve_executedRunIsNotRetried(t *testing.T) {
	withFakeClock(t, func(t *testing.T, h *testHarness) {
		h.chooser.addChoices("d1", "d2")
		h.addScripts("d1", breakConnection())
		h.addScripts("d2", respondWith(200, "again", signedFields))
		h.send(nil).requireResponse(t, 502, "")
		if h.workersCalled() != "d1 " {
			t.Fatalf("called workers %q, want %q", h.workersCalled(), "d1 ")
		}
	})
}

func TestDispatcher_Serve_unsentRunDoesNotCountAsAttempt(t *testing.T) {
	withFakeClock(t, func(t *testing.T, h *testHarness) {
		h.route.MaxAttempts = 1
		h.setRoute()
		h.chooser.addChoices("d1", "d2")
		h.addScripts("d1", failWith(upstream.NotSent, upstream.DialFailed))
		h.addScripts("d2", respondWith(200, "complete", signedFields))
		h.send(nil).requireResponse(t, 200, "complete")
		h.chooser.requireResults(t, failedWith(selection.FailureConnect), "done")
	})
}

func TestDispatcher_Serve_rejectedRunIsRetried(t *testing.T) {
	withFakeClock(t, func(t *testing.T, h *testHarness) {
		h.chooser.addChoices("d1", "d2")
		h.addScripts("d1", rejectCall())
		h.addScripts("d2", respondWith(200, "complete", signedFields))
		h.send(nil).requireResponse(t, 200, "complete")
		h.chooser.requireResults(t, "rejected", "done")
	})
}

func TestDispatcher_Serve_misdirectedRunIsRetried(t *testing.T) {
	withFakeClock(t, func(t *testing.T, h *testHarness) {
		h.chooser.addChoices("d1", "d2")
		h.addScripts("d1", respondWith(421, "", nil))
		h.addScripts("d2", respondWith(200, "complete", signedFields))
		h.send(nil).requireResponse(t, 200, "complete")
		h.chooser.requireResults(t, failedWith(selection.FailureMisrouted), "done")
	})
}

func TestDispatcher_Serve_rejectedByAllWorkersIs503(t *testing.T) {
	withFakeClock(t, func(t *testing.T, h *testHarness) {
		h.chooser.addChoices("d1", "d2")
		h.addScripts("d1", rejectCall())
		h.addScripts("d2", rejectCall())
		h.send(nil).requireRejection(t)
	})
}

func TestDispatcher_Serve_runsAreBoundedByMaxAttempts(t *testing.T) {
	withFakeClock(t, func(t *testing.T, h *testHarness) {
		h.route.MaxAttempts = 2
		h.setRoute()
		h.chooser.addChoices("d1", "d2", "d3")
		h.addScripts("d1", rejectCall())
		h.addScripts("d2", rejectCall())
		h.addScripts("d3", respondWith(200, "", signedFields))
		h.send(nil).requireRejection(t)
		if len(h.calls) != 2 {
			t.Fatalf("called workers %q, want two calls", h.workersCalled())
		}
	})
}

func TestDispatcher_Serve_retryNeedsBudget(t *testing.T) {
	withFakeClock(t, func(t *testing.T, h *testHarness) {
		for h.dispatcher.shared.spendBudget(testService, 1) {
		}
		h.chooser.addChoices("d1", "d2")
		h.addScripts("d1", rejectCall())
		h.send(nil).requireRejection(t)
		if len(h.calls) != 1 {
			t.Fatalf("called workers %q, want one call", h.workersCalled())
		}
	})
}

func TestDispatcher_Serve_idempotentIsRetriedAfterAnyFailure(t *testing.T) {
	for name, first := range map[string]script{
		"broken": breakConnection(), "worker error": respondWith(500, "worker error", signedFields), "unsigned": respondWith(200, "", nil),
		"ambiguous 503": respondWith(503, "busy", nil),
	} {
		t.Run(name, func(t *testing.T) {
			withFakeClock(t, func(t *testing.T, h *testHarness) {
				h.route.Type = configuration.Idempotent
				h.setRoute()
				h.chooser.addChoices("d1", "d2")
				h.addScripts("d1", first)
				h.addScripts("d2", respondWith(200, "complete", signedFields))
				h.send(nil).requireResponse(t, 200, "complete")
			})
		})
	}
}

func TestDispatcher_Serve_idempotentErrorIsForwardedWithoutAttemptsLeft(t *testing.T) {
	withFakeClock(t, func(t *testing.T, h *testHarness) {
		h.route.Type = configuration.Idempotent
		h.setRoute()
		h.chooser.addChoices("d1", "d2")
		h.addScripts("d1", respondWith(500, "worker error", signedFields))
		h.addScripts("d2", rejectCall())
		h.send(nil).requireResponse(t, 500, "worker error")
	})
}

func TestDispatcher_Serve_no503AfterPossibleRun(t *testing.T) {
	withFakeClock(t, func(t *testing.T, h *testHarness) {
		h.route.Type = configuration.Idempotent
		h.setRoute()
		h.chooser.addChoices("d1", "d2")
		h.addScripts("d1", breakConnection())
		h.addScripts("d2", rejectCall())
		h.send(nil).requireResponse(t, 502, "")
	})
}

func TestDispatcher_Serve_urgencyIsZeroAfterPrefill(t *testing.T) {
	withFakeClock(t, func(t *testing.T, h *testHarness) {
		h.chooser.urgency = 4
		h.chooser.addChoices("p1>d1")
		h.addScripts("p1", respondWithHandle("h1"))
		h.addScripts("d1", streamEvents(1, 1, nil))
		h.send(nil).requireResponse(t, 200, eventTexts(1, 1))
		if h.calls[0].field(fieldPriority) != "4" || h.calls[1].field(fieldPriority) != "0" {
			t.Fatalf("the priorities are %q and %q, want 4 and 0", h.calls[0].field(fieldPriority), h.calls[1].field(fieldPriority))
		}
	})
}

func TestDispatcher_Serve_reportsChangesOfOutstandingCalls(t *testing.T) {
	withFakeClock(t, func(t *testing.T, h *testHarness) {
		changes := 0
		h.dispatcher.shared.onLoadChange = func() { changes++ }
		h.chooser.addChoices("p1>d1")
		h.addScripts("p1", respondWithHandle("h1"))
		h.addScripts("d1", streamEvents(1, 1, nil))
		h.send(nil).requireResponse(t, 200, eventTexts(1, 1))
		// Two calls are sent, the second gets its first event, and both end.
		if changes != 5 {
			t.Fatalf("%d changes were reported, want 5", changes)
		}
		h.dispatcher.SetPeerLoad(7, nil)
		if len(h.dispatcher.Outstanding()) != 1 || len(h.chooser.peerNodes) != 1 || h.chooser.peerNodes[0] != 7 {
			t.Fatalf("the chooser returned %v and was given the load of peers %v, want one entry and peer 7",
				h.dispatcher.Outstanding(), h.chooser.peerNodes)
		}
	})
}

func TestDispatcher_Serve_skipsTransitioningWorkers(t *testing.T) {
	withFakeClock(t, func(t *testing.T, h *testHarness) {
		h.chooser.addChoices("d1", "d2")
		transitioning := testWorker("d1")
		transitioning.Stage, transitioning.Assigned = "decode", "prefill"
		view := *h.view
		view.Workers = map[string][]*fleetview.Worker{testService: {transitioning, testWorker("d2"), testWorker("d3")}}
		h.dispatcher.SetView(&view)
		h.addScripts("d2", respondWith(200, "complete", signedFields))
		h.send(nil).requireResponse(t, 200, "complete")
		if len(h.calls) != 1 || h.calls[0].field(fieldTargetInstance) != "d2" {
			t.Fatalf("called workers %q, want %q", h.workersCalled(), "d2 ")
		}
	})
}
