package dispatch

import (
	"context"
	"testing"
	"time"

	"ospreybend/internal/controlplane/configuration"
	"ospreybend/internal/dataplane/fleetview"
	"ospreybend/internal/dataplane/httpserver"
	"ospreybend/internal/dataplane/selection"
	"ospreybend/internal/dataplane/upstream"
	"ospreybend/internal/util/http1"
)

// requireFreed checks that exactly the given handles were freed, by calls without X-Request-Id.
func (h *testHarness) requireFreed(t *testing.T, handles ...string) {
	t.Helper()
	if len(h.deletes) != len(handles) {
		t.Fatalf("%d handles were freed, want %v", len(h.deletes), handles)
	}
	for i, handle := range handles {
		entry := h.deletes[i]
		if entry.request.Target != kvHandlePath+handle || entry.request.Header.Has(fieldRequestID) {
			t.Fatalf("call %d that frees a handle is %+v, want handle %s and no X-Request-Id", i, entry.request, handle)
		}
	}
}

func TestDispatcher_Serve_transfersPrefill(t *testing.T) {
	withFakeClock(t, func(t *testing.T, h *testHarness) {
		h.chooser.addChoices("p1>d1")
		h.addScripts("p1", respondWithHandle("3fa09c41b7d5"))
		h.addScripts("d1", streamEvents(1, 3, nil))
		h.send(nil).requireResponse(t, 200, eventTexts(1, 3))
		prefill, run := h.calls[0], h.calls[1]
		if prefill.field(fieldServingStage) != "prefill" || prefill.field(fieldTargetInstance) != "p1" || prefill.request.StreamEvents {
			t.Fatalf("the prefill call is %+v, want stage prefill, target p1 and no event stream", prefill.request)
		}
		if run.field(fieldKVFrom) != "p1:80/3fa09c41b7d5" || run.field(fieldServingStage) != "" || run.field(fieldTargetInstance) != "d1" {
			t.Fatalf("the run call is %+v, want Kv-From p1:80/3fa09c41b7d5, no stage and target d1", run.request)
		}
		h.requireFreed(t)
		h.chooser.requireResults(t, "done", "done")
	})
}

func TestDispatcher_Serve_rejectedPrefillIsRetried(t *testing.T) {
	withFakeClock(t, func(t *testing.T, h *testHarness) {
		h.chooser.addChoices("p1>d1", "p2>d1")
		h.addScripts("p1", rejectCall())
		h.addScripts("p2", respondWithHandle("h2"))
		h.addScripts("d1", streamEvents(1, 1, nil))
		h.send(nil).requireResponse(t, 200, eventTexts(1, 1))
		h.chooser.requireResults(t, "rejected", "done", "done")
	})
}

func TestDispatcher_Serve_rejectedPrefillCountsAsAttempt(t *testing.T) {
	withFakeClock(t, func(t *testing.T, h *testHarness) {
		h.route.MaxAttempts = 1
		h.setRoute()
		h.chooser.addChoices("p1>d1", "d1")
		h.addScripts("p1", rejectCall())
		h.send(nil).requireRejection(t)
		if h.workersCalled() != "p1 " {
			t.Fatalf("called workers %q, want %q", h.workersCalled(), "p1 ")
		}
	})
}

func TestDispatcher_Serve_firstPrefillDoesNotCountAsAttempt(t *testing.T) {
	withFakeClock(t, func(t *testing.T, h *testHarness) {
		h.route.MaxAttempts = 1
		h.setRoute()
		for h.dispatcher.shared.spendBudget(testService, 1) {
		}
		h.chooser.addChoices("p1>d1")
		h.addScripts("p1", respondWithHandle("h1"))
		h.addScripts("d1", streamEvents(1, 1, nil))
		h.send(nil).requireResponse(t, 200, eventTexts(1, 1))
	})
}

func TestDispatcher_Serve_brokenPrefillFallsBackToDecodeWorker(t *testing.T) {
	withFakeClock(t, func(t *testing.T, h *testHarness) {
		h.route.MaxAttempts = 1
		h.setRoute()
		h.chooser.addChoices("p1>d1", "p2>d1")
		h.addScripts("p1", breakConnection())
		h.addScripts("d1", streamEvents(1, 1, nil))
		h.send(nil).requireResponse(t, 200, eventTexts(1, 1))
		if h.workersCalled() != "p1 d1 " || h.calls[1].field(fieldKVFrom) != "" {
			t.Fatalf("called workers %q, want %q and a run without Kv-From", h.workersCalled(), "p1 d1 ")
		}
		h.chooser.requireResults(t, failedWith(selection.FailureBroken), "done")
	})
}

func TestDispatcher_Serve_secondPrefillCountsAsAttempt(t *testing.T) {
	withFakeClock(t, func(t *testing.T, h *testHarness) {
		h.route.MaxAttempts = 2
		h.setRoute()
		h.chooser.addChoices("p1>d1", "p2>d1")
		h.addScripts("p1", breakConnection())
		h.addScripts("p2", respondWithHandle("h2"))
		h.addScripts("d1", rejectCall())
		h.addScripts("d2", streamEvents(1, 1, nil))
		h.chooser.addChoices("d2")
		h.send(nil).requireRejection(t)
		if h.workersCalled() != "p1 p2 d1 " {
			t.Fatalf("called workers %q, want %q", h.workersCalled(), "p1 p2 d1 ")
		}
		h.requireFreed(t, "h2")
	})
}

func TestDispatcher_Serve_hungPrefillIsCanceled(t *testing.T) {
	withFakeClock(t, func(t *testing.T, h *testHarness) {
		h.chooser.addChoices("p1>d1", "p2>d1")
		h.addScripts("p1", hangUntilCanceled())
		h.addScripts("p2", respondWithHandle("h2"))
		h.addScripts("d1", streamEvents(1, 1, nil))
		client := h.send(nil)
		client.requireResponse(t, 200, eventTexts(1, 1))
		if client.duration != 610*time.Millisecond { // the latency target of 400 ms + 200 ms, and the first event
			t.Fatalf("the response took %v, want 610ms", client.duration)
		}
		h.chooser.requireResults(t, failedWith(selection.FailureTimeout), "done", "done")
	})
}

func TestDispatcher_Serve_prefillResponseWithoutHandleCountsAsRun(t *testing.T) {
	for _, body := range []string{"", "{", `{"prefillHandle":""}`, `{"prefillHandle":"a b"}`, `{"tokens":4}`} {
		withFakeClock(t, func(t *testing.T, h *testHarness) {
			h.chooser.addChoices("p1>d1", "d1")
			h.addScripts("p1", respondWith(200, body, nil))
			h.addScripts("d1", streamEvents(1, 1, nil))
			h.send(nil).requireResponse(t, 502, "")
			h.chooser.requireResults(t, failedWith(selection.FailureBroken))
		})
	}
}

func TestDispatcher_Serve_prefillResponseWithoutHandleIsRetriedIfAllowed(t *testing.T) {
	withFakeClock(t, func(t *testing.T, h *testHarness) {
		h.route.Resumable = true
		h.setRoute()
		h.chooser.addChoices("p1>d1", "d1")
		h.addScripts("p1", respondWith(200, "{", nil))
		h.addScripts("d1", streamEvents(1, 1, nil))
		h.send(nil).requireResponse(t, 200, eventTexts(1, 1))
		h.chooser.requireResults(t, failedWith(selection.FailureBroken), "done")
	})
}

func TestDispatcher_Serve_unsignedPrefillErrorIsNotARun(t *testing.T) {
	withFakeClock(t, func(t *testing.T, h *testHarness) {
		h.chooser.addChoices("p1>d1", "d1")
		h.addScripts("p1", respondWith(500, "", nil))
		h.addScripts("d1", streamEvents(1, 1, nil))
		h.send(nil).requireResponse(t, 200, eventTexts(1, 1))
		h.chooser.requireResults(t, failedWith(selection.FailureStatus), "done")
	})
}

func TestDispatcher_Serve_ignoresHandleOfOtherRequest(t *testing.T) {
	withFakeClock(t, func(t *testing.T, h *testHarness) {
		h.chooser.addChoices("p1>d1", "d1")
		h.addScripts("p1", respondWithHandle("h1"))
		h.addScripts("d1", breakConnection())
		h.send(func(request *httpserver.Request) { request.Header = request.Header.With(fieldRequestID, "another") })
		if h.workersCalled() != "p1 d1 " || h.calls[1].field(fieldKVFrom) != "" {
			t.Fatalf("called workers %q, want %q and a run without Kv-From", h.workersCalled(), "p1 d1 ")
		}
	})
}

func TestDispatcher_Serve_fullDecodeWorkerKeepsHandle(t *testing.T) {
	withFakeClock(t, func(t *testing.T, h *testHarness) {
		h.chooser.addChoices("p1>d1", "p2>d2")
		h.addScripts("p1", respondWithHandle("h1"))
		h.addScripts("d1", withReportedLoad(rejectCall(), 64, 3, 64))
		h.addScripts("d2", streamEvents(1, 1, nil))
		h.send(nil).requireResponse(t, 200, eventTexts(1, 1))
		if h.workersCalled() != "p1 d1 d2 " || h.calls[2].field(fieldKVFrom) != "p1:80/h1" {
			t.Fatalf("called workers %q, want %q and the last call with Kv-From p1:80/h1", h.workersCalled(), "p1 d1 d2 ")
		}
		h.chooser.requireResults(t, "done", "rejected", "done")
		h.requireFreed(t)
	})
}

func TestDispatcher_Serve_rejectionWithCapacityDropsHandle(t *testing.T) {
	withFakeClock(t, func(t *testing.T, h *testHarness) {
		h.route.MaxAttempts = 2
		h.setRoute()
		h.chooser.addChoices("p1>d1", "d2")
		h.addScripts("p1", respondWithHandle("h1"))
		h.addScripts("d1", withReportedLoad(rejectCall(), 3, 0, 64))
		h.addScripts("d2", streamEvents(1, 1, nil))
		h.send(nil).requireResponse(t, 200, eventTexts(1, 1))
		if h.workersCalled() != "p1 d1 d2 " || h.calls[2].field(fieldKVFrom) != "" {
			t.Fatalf("called workers %q, want %q and the last call without Kv-From", h.workersCalled(), "p1 d1 d2 ")
		}
		h.chooser.requireResults(t, "done", failedWith(selection.FailureTransfer), "done")
		h.requireFreed(t, "h1")
	})
}

// withReportedLoad returns a script that adds a reported load to the response of another.
func withReportedLoad(inner script, running, waiting, slots int) script {
	return func(ctx context.Context, call *upstream.Request) (*Response, *upstream.Failure) {
		response, failure := inner(ctx, call)
		response.Load = &upstream.Load{Running: running, Waiting: waiting, Slots: slots}
		return response, failure
	}
}

func TestDispatcher_Serve_freesHandleOfRejectedRun(t *testing.T) {
	withFakeClock(t, func(t *testing.T, h *testHarness) {
		h.route.MaxAttempts = 1
		h.setRoute()
		h.chooser.addChoices("p1>d1")
		h.addScripts("p1", respondWithHandle("h1"))
		h.addScripts("d1", rejectCall())
		h.send(nil).requireRejection(t)
		h.requireFreed(t, "h1")
	})
}

func TestDispatcher_Serve_freesHandleOfBrokenRun(t *testing.T) {
	withFakeClock(t, func(t *testing.T, h *testHarness) {
		h.chooser.addChoices("p1>d1")
		h.addScripts("p1", respondWithHandle("h1"))
		h.addScripts("d1", breakConnection())
		h.send(nil).requireResponse(t, 502, "")
		h.requireFreed(t, "h1")
	})
}

func TestDispatcher_Serve_freesHandleAfterClientDisconnect(t *testing.T) {
	withFakeClock(t, func(t *testing.T, h *testHarness) {
		h.chooser.addChoices("p1>d1")
		h.addScripts("p1", respondWithHandle("h1"))
		h.addScripts("d1", hangUntilCanceled())
		client := &recordingClient{harness: h, disconnectAfter: 300 * time.Millisecond}
		h.sendAs(client, nil)
		h.requireFreed(t, "h1")
		h.chooser.requireResults(t, "done", "abandoned")
	})
}

func TestDispatcher_Serve_freesHandleAtDeadline(t *testing.T) {
	withFakeClock(t, func(t *testing.T, h *testHarness) {
		h.chooser.addChoices("p1>d1")
		h.addScripts("p1", respondWithHandle("h1"))
		h.addScripts("d1", hangUntilCanceled())
		h.send(nil).requireResponse(t, 504, "")
		h.requireFreed(t, "h1")
	})
}

func TestDispatcher_Serve_keepsHandleIfDecodeWorkerUnreachable(t *testing.T) {
	withFakeClock(t, func(t *testing.T, h *testHarness) {
		h.chooser.addChoices("p1>d1", "p2>d2")
		h.addScripts("p1", respondWithHandle("h1"))
		h.addScripts("d1", failWith(upstream.NotSent, upstream.DialFailed))
		h.addScripts("d2", streamEvents(1, 1, nil))
		h.send(nil).requireResponse(t, 200, eventTexts(1, 1))
		if h.calls[2].field(fieldKVFrom) != "p1:80/h1" {
			t.Fatalf("Kv-From of the last call is %q, want p1:80/h1; called workers %q", h.calls[2].field(fieldKVFrom), h.workersCalled())
		}
	})
}

func TestDispatcher_Serve_skipsDecodeWorkerRemovedDuringPrefill(t *testing.T) {
	withFakeClock(t, func(t *testing.T, h *testHarness) {
		h.chooser.addChoices("p1>d1", "p2>d2")
		h.addScripts("p1", delayed(50*time.Millisecond, respondWithHandle("h1")))
		h.addScripts("d2", streamEvents(1, 1, nil))
		view := *h.view
		view.Workers = map[string][]*fleetview.Worker{testService: {testWorker("d2"), testWorker("p1")}}
		time.AfterFunc(20*time.Millisecond, func() { h.dispatcher.SetView(&view) })
		h.send(nil).requireResponse(t, 200, eventTexts(1, 1))
		if h.workersCalled() != "p1 d2 " || h.calls[1].field(fieldKVFrom) != "p1:80/h1" {
			t.Fatalf("called workers %q, want %q and the last call with Kv-From p1:80/h1", h.workersCalled(), "p1 d2 ")
		}
	})
}

func TestDispatcher_Serve_executedPrefillResponseIsForwarded(t *testing.T) {
	withFakeClock(t, func(t *testing.T, h *testHarness) {
		h.chooser.addChoices("p1>d1")
		h.addScripts("p1", respondWith(200, "bytes", signedFields))
		h.send(nil).requireResponse(t, 200, "bytes")
		if h.workersCalled() != "p1 " {
			t.Fatalf("called workers %q, want %q", h.workersCalled(), "p1 ")
		}
		h.chooser.requireResults(t, "done")
	})
}

func TestDispatcher_Serve_failedExecutedPrefillIsNotRetried(t *testing.T) {
	withFakeClock(t, func(t *testing.T, h *testHarness) {
		h.chooser.addChoices("p1>d1", "d1")
		h.addScripts("p1", respondWith(500, "worker error", signedFields))
		h.addScripts("d1", streamEvents(1, 1, nil))
		h.send(nil).requireResponse(t, 500, "worker error")
	})
}

func TestDispatcher_Serve_ignoresClientsStageField(t *testing.T) {
	withFakeClock(t, func(t *testing.T, h *testHarness) {
		h.chooser.addChoices("p1>d1")
		h.addScripts("p1", respondWithHandle("h1"))
		h.addScripts("d1", streamEvents(1, 1, nil))
		h.send(func(request *httpserver.Request) {
			request.Header = append(request.Header, http1.HeaderField{Name: "X-Serving-Stage", Value: "decode"})
		}).requireResponse(t, 200, eventTexts(1, 1))
		if h.calls[0].request.Header.Count(fieldServingStage) != 1 {
			t.Fatalf("the prefill has %d stage fields, want 1", h.calls[0].request.Header.Count(fieldServingStage))
		}
	})
}

func TestDispatcher_Shutdown_waitsForFrees(t *testing.T) {
	withFakeClock(t, func(t *testing.T, h *testHarness) {
		h.chooser.addChoices("p1>d1")
		h.addScripts("p1", respondWithHandle("h1"))
		h.addScripts("d1", breakConnection())
		h.deleteDelay = 300 * time.Millisecond
		h.send(nil)
		before := h.now()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		h.dispatcher.Shutdown(ctx)
		if took := h.now() - before; took != 300*time.Millisecond {
			t.Fatalf("Shutdown waited %v, want 300ms", took)
		}
	})
}

func TestDispatcher_FreeAsync_boundsConcurrentFrees(t *testing.T) {
	withFakeClock(t, func(t *testing.T, h *testHarness) {
		for range maxConcurrentFrees {
			h.dispatcher.freeSemaphore <- struct{}{}
		}
		h.chooser.addChoices("p1>d1")
		h.addScripts("p1", respondWithHandle("h1"))
		h.addScripts("d1", breakConnection())
		client := h.send(nil)
		client.requireResponse(t, 502, "")
		if counts := h.dispatcher.Counts(); client.duration != 0 || counts.HandlesDropped != 1 || counts.HandlesFreed != 0 {
			t.Fatalf("HandlesDropped %d, HandlesFreed %d after %v; want 1, 0 and an immediate response",
				counts.HandlesDropped, counts.HandlesFreed, client.duration)
		}
	})
}

func TestDispatcher_Serve_requestWithoutTokensIsNotSplit(t *testing.T) {
	withFakeClock(t, func(t *testing.T, h *testHarness) {
		h.chooser.addChoices("p1>d1")
		h.addScripts("d1", streamEvents(1, 1, nil))
		h.send(func(request *httpserver.Request) {
			request.Header = request.Header.Without(fieldTokenCount)
		}).requireResponse(t, 200, eventTexts(1, 1))
		if h.workersCalled() != "d1 " {
			t.Fatalf("called workers %q, want %q", h.workersCalled(), "d1 ")
		}
	})
}

func TestDispatcher_Serve_signedPrefillResponseCountsAsRun(t *testing.T) {
	withFakeClock(t, func(t *testing.T, h *testHarness) {
		h.route.Type, h.route.Resumable = configuration.NonIdempotent, false
		h.setRoute()
		h.chooser.addChoices("p1>d1", "p2>d1")
		h.addScripts("p1", respondWith(200, "done", http1.Header{{Name: fieldSignature, Value: "s"}}))
		h.send(nil).requireResponse(t, 200, "done")
		if h.workersCalled() != "p1 " {
			t.Fatalf("called workers %q, want %q", h.workersCalled(), "p1 ")
		}
	})
}

func TestDispatcher_Serve_hungPrefillWithoutBudgetIsAwaited(t *testing.T) {
	withFakeClock(t, func(t *testing.T, h *testHarness) {
		for h.dispatcher.shared.spendBudget(testService, 1) {
		}
		h.chooser.addChoices("p1>d1", "p2>d1")
		h.addScripts("p1", delayed(time.Second, respondWithHandle("h1")))
		h.addScripts("d1", streamEvents(1, 1, nil))
		h.send(nil).requireResponse(t, 200, eventTexts(1, 1))
		if h.workersCalled() != "p1 d1 " {
			t.Fatalf("called workers %q, want %q", h.workersCalled(), "p1 d1 ")
		}
	})
}
