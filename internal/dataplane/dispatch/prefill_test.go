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
func (r *testHarness) mustFree(t *testing.T, handles ...string) {
	t.Helper()
	if len(r.deletes) != len(handles) {
		t.Fatalf("%d handles were freed, want %v", len(r.deletes), handles)
	}
	for i, handle := range handles {
		entry := r.deletes[i]
		if entry.call.Target != kvHandlePath+handle || entry.call.Header.Has(fieldRequestID) {
			t.Fatalf("call %d that frees a handle is %+v, want handle %s and no X-Request-Id", i, entry.call, handle)
		}
	}
}

func TestDispatcher_Serve_transfersPrefill(t *testing.T) {
	withFakeClock(t, func(t *testing.T, r *testHarness) {
		r.chooser.offers("p1>d1")
		r.script("p1", givesHandle("3fa09c41b7d5"))
		r.script("d1", streams(1, 3, nil))
		r.ask(nil).mustBe(t, 200, texts(1, 3))
		read, run := r.calls[0], r.calls[1]
		if read.field(fieldServingStage) != "prefill" || read.field(fieldTargetInstance) != "p1" || read.call.StreamEvents {
			t.Fatalf("the prefill call is %+v, want stage prefill, target p1 and no event stream", read.call)
		}
		if run.field(fieldKVFrom) != "p1:80/3fa09c41b7d5" || run.field(fieldServingStage) != "" || run.field(fieldTargetInstance) != "d1" {
			t.Fatalf("the run call is %+v, want Kv-From p1:80/3fa09c41b7d5, no stage and target d1", run.call)
		}
		r.mustFree(t)
		r.chooser.mustEnd(t, "done", "done")
	})
}

func TestDispatcher_Serve_rejectedPrefillIsRetried(t *testing.T) {
	withFakeClock(t, func(t *testing.T, r *testHarness) {
		r.chooser.offers("p1>d1", "p2>d1")
		r.script("p1", rejects())
		r.script("p2", givesHandle("h2"))
		r.script("d1", streams(1, 1, nil))
		r.ask(nil).mustBe(t, 200, texts(1, 1))
		r.chooser.mustEnd(t, "rejected", "done", "done")
	})
}

func TestDispatcher_Serve_rejectedPrefillCountsAsAttempt(t *testing.T) {
	withFakeClock(t, func(t *testing.T, r *testHarness) {
		r.route.MaxAttempts = 1
		r.setRoute()
		r.chooser.offers("p1>d1", "d1")
		r.script("p1", rejects())
		r.ask(nil).mustReject(t)
		if r.workersCalled() != "p1 " {
			t.Fatalf("called workers %q, want %q", r.workersCalled(), "p1 ")
		}
	})
}

func TestDispatcher_Serve_firstPrefillIsFree(t *testing.T) {
	withFakeClock(t, func(t *testing.T, r *testHarness) {
		r.route.MaxAttempts = 1
		r.setRoute()
		for r.dispatcher.shared.spendBudget(testService, 1) {
		}
		r.chooser.offers("p1>d1")
		r.script("p1", givesHandle("h1"))
		r.script("d1", streams(1, 1, nil))
		r.ask(nil).mustBe(t, 200, texts(1, 1))
	})
}

func TestDispatcher_Serve_brokenPrefillFallsBackToDecodeWorker(t *testing.T) {
	withFakeClock(t, func(t *testing.T, r *testHarness) {
		r.route.MaxAttempts = 1
		r.setRoute()
		r.chooser.offers("p1>d1", "p2>d1")
		r.script("p1", breaksConnection())
		r.script("d1", streams(1, 1, nil))
		r.ask(nil).mustBe(t, 200, texts(1, 1))
		if r.workersCalled() != "p1 d1 " || r.calls[1].field(fieldKVFrom) != "" {
			t.Fatalf("called workers %q, want %q and a run without Kv-From", r.workersCalled(), "p1 d1 ")
		}
		r.chooser.mustEnd(t, failedBy(selection.FailureBroken), "done")
	})
}

func TestDispatcher_Serve_secondPrefillCountsAsAttempt(t *testing.T) {
	withFakeClock(t, func(t *testing.T, r *testHarness) {
		r.route.MaxAttempts = 2
		r.setRoute()
		r.chooser.offers("p1>d1", "p2>d1")
		r.script("p1", breaksConnection())
		r.script("p2", givesHandle("h2"))
		r.script("d1", rejects())
		r.script("d2", streams(1, 1, nil))
		r.chooser.offers("d2")
		r.ask(nil).mustReject(t)
		if r.workersCalled() != "p1 p2 d1 " {
			t.Fatalf("called workers %q, want %q", r.workersCalled(), "p1 p2 d1 ")
		}
		r.mustFree(t, "h2")
	})
}

func TestDispatcher_Serve_hungPrefillIsCanceled(t *testing.T) {
	withFakeClock(t, func(t *testing.T, r *testHarness) {
		r.chooser.offers("p1>d1", "p2>d1")
		r.script("p1", hangs())
		r.script("p2", givesHandle("h2"))
		r.script("d1", streams(1, 1, nil))
		c := r.ask(nil)
		c.mustBe(t, 200, texts(1, 1))
		if c.took != 610*time.Millisecond { // the latency target of 400 ms + 200 ms, and the first event
			t.Fatalf("the response took %v, want 610ms", c.took)
		}
		r.chooser.mustEnd(t, failedBy(selection.FailureTimeout), "done", "done")
	})
}

func TestDispatcher_Serve_prefillWithoutHandleIsRun(t *testing.T) {
	for _, body := range []string{"", "{", `{"prefillHandle":""}`, `{"prefillHandle":"a b"}`, `{"tokens":4}`} {
		withFakeClock(t, func(t *testing.T, r *testHarness) {
			r.chooser.offers("p1>d1", "d1")
			r.script("p1", respondsWith(200, body, nil))
			r.script("d1", streams(1, 1, nil))
			r.ask(nil).mustBe(t, 502, "")
			r.chooser.mustEnd(t, failedBy(selection.FailureBroken))
		})
	}
}

func TestDispatcher_Serve_prefillWithoutHandleIsRetriedIfAllowed(t *testing.T) {
	withFakeClock(t, func(t *testing.T, r *testHarness) {
		r.route.Resumable = true
		r.setRoute()
		r.chooser.offers("p1>d1", "d1")
		r.script("p1", respondsWith(200, "{", nil))
		r.script("d1", streams(1, 1, nil))
		r.ask(nil).mustBe(t, 200, texts(1, 1))
		r.chooser.mustEnd(t, failedBy(selection.FailureBroken), "done")
	})
}

func TestDispatcher_Serve_unsignedPrefillErrorIsNoRun(t *testing.T) {
	withFakeClock(t, func(t *testing.T, r *testHarness) {
		r.chooser.offers("p1>d1", "d1")
		r.script("p1", respondsWith(500, "", nil))
		r.script("d1", streams(1, 1, nil))
		r.ask(nil).mustBe(t, 200, texts(1, 1))
		r.chooser.mustEnd(t, failedBy(selection.FailureStatus), "done")
	})
}

func TestDispatcher_Serve_ignoresForeignHandle(t *testing.T) {
	withFakeClock(t, func(t *testing.T, r *testHarness) {
		r.chooser.offers("p1>d1", "d1")
		r.script("p1", givesHandle("h1"))
		r.script("d1", breaksConnection())
		r.ask(func(request *httpserver.Request) { request.Header = request.Header.With(fieldRequestID, "another") })
		if r.workersCalled() != "p1 d1 " || r.calls[1].field(fieldKVFrom) != "" {
			t.Fatalf("called workers %q, want %q and a run without Kv-From", r.workersCalled(), "p1 d1 ")
		}
	})
}

func TestDispatcher_Serve_fullDecodeWorkerKeepsHandle(t *testing.T) {
	withFakeClock(t, func(t *testing.T, r *testHarness) {
		r.chooser.offers("p1>d1", "p2>d2")
		r.script("p1", givesHandle("h1"))
		r.script("d1", withLoad(rejects(), 64, 3, 64))
		r.script("d2", streams(1, 1, nil))
		r.ask(nil).mustBe(t, 200, texts(1, 1))
		if r.workersCalled() != "p1 d1 d2 " || r.calls[2].field(fieldKVFrom) != "p1:80/h1" {
			t.Fatalf("called workers %q, want %q and the last call with Kv-From p1:80/h1", r.workersCalled(), "p1 d1 d2 ")
		}
		r.chooser.mustEnd(t, "done", "rejected", "done")
		r.mustFree(t)
	})
}

func TestDispatcher_Serve_rejectionWithCapacityDropsHandle(t *testing.T) {
	withFakeClock(t, func(t *testing.T, r *testHarness) {
		r.route.MaxAttempts = 2
		r.setRoute()
		r.chooser.offers("p1>d1", "d2")
		r.script("p1", givesHandle("h1"))
		r.script("d1", withLoad(rejects(), 3, 0, 64))
		r.script("d2", streams(1, 1, nil))
		r.ask(nil).mustBe(t, 200, texts(1, 1))
		if r.workersCalled() != "p1 d1 d2 " || r.calls[2].field(fieldKVFrom) != "" {
			t.Fatalf("called workers %q, want %q and the last call without Kv-From", r.workersCalled(), "p1 d1 d2 ")
		}
		r.chooser.mustEnd(t, "done", failedBy(selection.FailureTransfer), "done")
		r.mustFree(t, "h1")
	})
}

// withReportedLoad returns a script that adds a reported load to the response of another.
func withLoad(inner script, running, waiting, slots int) script {
	return func(ctx context.Context, call *upstream.Request) (*Response, *upstream.Failure) {
		response, failure := inner(ctx, call)
		response.Load = &upstream.Load{Running: running, Waiting: waiting, Slots: slots}
		return response, failure
	}
}

func TestDispatcher_Serve_freesHandleOfRejectedRun(t *testing.T) {
	withFakeClock(t, func(t *testing.T, r *testHarness) {
		r.route.MaxAttempts = 1
		r.setRoute()
		r.chooser.offers("p1>d1")
		r.script("p1", givesHandle("h1"))
		r.script("d1", rejects())
		r.ask(nil).mustReject(t)
		r.mustFree(t, "h1")
	})
}

func TestDispatcher_Serve_freesHandleOfBrokenRun(t *testing.T) {
	withFakeClock(t, func(t *testing.T, r *testHarness) {
		r.chooser.offers("p1>d1")
		r.script("p1", givesHandle("h1"))
		r.script("d1", breaksConnection())
		r.ask(nil).mustBe(t, 502, "")
		r.mustFree(t, "h1")
	})
}

func TestDispatcher_Serve_freesHandleOfDepartedClient(t *testing.T) {
	withFakeClock(t, func(t *testing.T, r *testHarness) {
		r.chooser.offers("p1>d1")
		r.script("p1", givesHandle("h1"))
		r.script("d1", hangs())
		c := &recordingClient{r: r, cancelAfter: 300 * time.Millisecond}
		r.askAs(c, nil)
		r.mustFree(t, "h1")
		r.chooser.mustEnd(t, "done", "abandoned")
	})
}

func TestDispatcher_Serve_freesHandleAtDeadline(t *testing.T) {
	withFakeClock(t, func(t *testing.T, r *testHarness) {
		r.chooser.offers("p1>d1")
		r.script("p1", givesHandle("h1"))
		r.script("d1", hangs())
		r.ask(nil).mustBe(t, 504, "")
		r.mustFree(t, "h1")
	})
}

func TestDispatcher_Serve_keepsHandleIfDecodeWorkerUnreachable(t *testing.T) {
	withFakeClock(t, func(t *testing.T, r *testHarness) {
		r.chooser.offers("p1>d1", "p2>d2")
		r.script("p1", givesHandle("h1"))
		r.script("d1", fails(upstream.NotSent, upstream.DialFailed))
		r.script("d2", streams(1, 1, nil))
		r.ask(nil).mustBe(t, 200, texts(1, 1))
		if r.calls[2].field(fieldKVFrom) != "p1:80/h1" {
			t.Fatalf("Kv-From of the last call is %q, want p1:80/h1; called workers %q", r.calls[2].field(fieldKVFrom), r.workersCalled())
		}
	})
}

func TestDispatcher_Serve_skipsDecodeWorkerDepartedDuringPrefill(t *testing.T) {
	withFakeClock(t, func(t *testing.T, r *testHarness) {
		r.chooser.offers("p1>d1", "p2>d2")
		r.script("p1", after(50*time.Millisecond, givesHandle("h1")))
		r.script("d2", streams(1, 1, nil))
		view := *r.view
		view.Workers = map[string][]*fleetview.Worker{testService: {testWorker("d2"), testWorker("p1")}}
		time.AfterFunc(20*time.Millisecond, func() { r.dispatcher.SetView(&view) })
		r.ask(nil).mustBe(t, 200, texts(1, 1))
		if r.workersCalled() != "p1 d2 " || r.calls[1].field(fieldKVFrom) != "p1:80/h1" {
			t.Fatalf("called workers %q, want %q and the last call with Kv-From p1:80/h1", r.workersCalled(), "p1 d2 ")
		}
	})
}

func TestDispatcher_Serve_executedPrefillIsResponse(t *testing.T) {
	withFakeClock(t, func(t *testing.T, r *testHarness) {
		r.chooser.offers("p1>d1")
		r.script("p1", respondsWith(200, "bytes", signed))
		r.ask(nil).mustBe(t, 200, "bytes")
		if r.workersCalled() != "p1 " {
			t.Fatalf("called workers %q, want %q", r.workersCalled(), "p1 ")
		}
		r.chooser.mustEnd(t, "done")
	})
}

func TestDispatcher_Serve_failedExecutedPrefillIsNotRetried(t *testing.T) {
	withFakeClock(t, func(t *testing.T, r *testHarness) {
		r.chooser.offers("p1>d1", "d1")
		r.script("p1", respondsWith(500, "mine", signed))
		r.script("d1", streams(1, 1, nil))
		r.ask(nil).mustBe(t, 500, "mine")
	})
}

func TestDispatcher_Serve_ignoresClientsStageField(t *testing.T) {
	withFakeClock(t, func(t *testing.T, r *testHarness) {
		r.chooser.offers("p1>d1")
		r.script("p1", givesHandle("h1"))
		r.script("d1", streams(1, 1, nil))
		r.ask(func(request *httpserver.Request) {
			request.Header = append(request.Header, http1.HeaderField{Name: "X-Serving-Stage", Value: "decode"})
		}).mustBe(t, 200, texts(1, 1))
		if r.calls[0].call.Header.Count(fieldServingStage) != 1 {
			t.Fatalf("the prefill has %d stage fields, want 1", r.calls[0].call.Header.Count(fieldServingStage))
		}
	})
}

func TestDispatcher_Shutdown_waitsForFrees(t *testing.T) {
	withFakeClock(t, func(t *testing.T, r *testHarness) {
		r.chooser.offers("p1>d1")
		r.script("p1", givesHandle("h1"))
		r.script("d1", breaksConnection())
		r.deleteDelay = 300 * time.Millisecond
		r.ask(nil)
		before := r.now()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		r.dispatcher.Shutdown(ctx)
		if took := r.now() - before; took != 300*time.Millisecond {
			t.Fatalf("Shutdown waited %v, want 300ms", took)
		}
	})
}

func TestDispatcher_FreeAsync_boundsConcurrentFrees(t *testing.T) {
	withFakeClock(t, func(t *testing.T, r *testHarness) {
		for range maxConcurrentFrees {
			r.dispatcher.freeSemaphore <- struct{}{}
		}
		r.chooser.offers("p1>d1")
		r.script("p1", givesHandle("h1"))
		r.script("d1", breaksConnection())
		c := r.ask(nil)
		c.mustBe(t, 502, "")
		if counts := r.dispatcher.Counts(); c.took != 0 || counts.HandlesDropped != 1 || counts.HandlesFreed != 0 {
			t.Fatalf("HandlesDropped %d, HandlesFreed %d after %v; want 1, 0 and an immediate response",
				counts.HandlesDropped, counts.HandlesFreed, c.took)
		}
	})
}

func TestDispatcher_Serve_requestWithoutTokensIsNotSplit(t *testing.T) {
	withFakeClock(t, func(t *testing.T, r *testHarness) {
		r.chooser.offers("p1>d1")
		r.script("d1", streams(1, 1, nil))
		r.ask(func(request *httpserver.Request) {
			request.Header = request.Header.Without(fieldTokenCount)
		}).mustBe(t, 200, texts(1, 1))
		if r.workersCalled() != "d1 " {
			t.Fatalf("called workers %q, want %q", r.workersCalled(), "d1 ")
		}
	})
}

func TestDispatcher_Serve_signedPrefillResponseIsRun(t *testing.T) {
	withFakeClock(t, func(t *testing.T, r *testHarness) {
		r.route.Type, r.route.Resumable = configuration.NonIdempotent, false
		r.setRoute()
		r.chooser.offers("p1>d1", "p2>d1")
		r.script("p1", respondsWith(200, "done", http1.Header{{Name: fieldSignature, Value: "s"}}))
		r.ask(nil).mustBe(t, 200, "done")
		if r.workersCalled() != "p1 " {
			t.Fatalf("called workers %q, want %q", r.workersCalled(), "p1 ")
		}
	})
}

func TestDispatcher_Serve_hungPrefillWithoutBudgetIsAwaited(t *testing.T) {
	withFakeClock(t, func(t *testing.T, r *testHarness) {
		for r.dispatcher.shared.spendBudget(testService, 1) {
		}
		r.chooser.offers("p1>d1", "p2>d1")
		r.script("p1", after(time.Second, givesHandle("h1")))
		r.script("d1", streams(1, 1, nil))
		r.ask(nil).mustBe(t, 200, texts(1, 1))
		if r.workersCalled() != "p1 d1 " {
			t.Fatalf("called workers %q, want %q", r.workersCalled(), "p1 d1 ")
		}
	})
}
