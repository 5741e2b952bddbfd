package dispatch

import (
	"testing"
	"time"

	"ospreybend/internal/controlplane/configuration"
	"ospreybend/internal/dataplane/fleetview"
	"ospreybend/internal/dataplane/selection"
)

func TestDispatcher_Serve_hungRunIs504AtDeadline(t *testing.T) {
	withFakeClock(t, func(t *testing.T, h *testHarness) {
		h.chooser.addChoices("d1", "d2")
		h.addScripts("d1", hangUntilCanceled())
		client := h.send(nil)
		client.requireResponse(t, 504, "")
		if client.duration < 3*time.Second || client.duration > 3010*time.Millisecond {
			t.Fatalf("the response took %v, want 3s to 3.01s", client.duration)
		}
		h.chooser.requireResults(t, failedWith(selection.FailureTimeout))
	})
}

func TestDispatcher_Serve_routeTimeoutBoundsDeadline(t *testing.T) {
	withFakeClock(t, func(t *testing.T, h *testHarness) {
		h.route.Timeout = time.Second
		h.setRoute()
		h.chooser.addChoices("d1")
		h.addScripts("d1", hangUntilCanceled())
		client := h.send(nil)
		client.requireResponse(t, 504, "")
		if client.duration > 1010*time.Millisecond || h.calls[0].field(fieldRequestDeadline) != "1000" {
			t.Fatalf("the response took %v with deadline field %s, want at most 1.01s with 1000",
				client.duration, h.calls[0].field(fieldRequestDeadline))
		}
	})
}

func TestDispatcher_Serve_deadlineBeforeRunIs503(t *testing.T) {
	withFakeClock(t, func(t *testing.T, h *testHarness) {
		h.chooser.addChoices("d1")
		h.addScripts("d1", delayed(4*time.Second, nil))
		h.scripts["d1"][0] = neverConnect
		client := h.send(nil)
		client.requireRejection(t)
		if client.duration > 3010*time.Millisecond {
			t.Fatalf("the response took %v, want at most 3.01s", client.duration)
		}
	})
}

func TestDispatcher_Serve_hungIdempotentRunIsRetried(t *testing.T) {
	withFakeClock(t, func(t *testing.T, h *testHarness) {
		h.route.Type = configuration.Idempotent
		h.setRoute()
		h.chooser.addChoices("d1", "d2")
		h.addScripts("d1", hangUntilCanceled())
		h.addScripts("d2", respondWith(200, "complete", signedFields))
		client := h.send(nil)
		client.requireResponse(t, 200, "complete")
		if client.duration != 1100*time.Millisecond { // 3 x 100 ms predicted + 2 x 400 ms latency target
			t.Fatalf("the response took %v, want 1.1s", client.duration)
		}
	})
}

func TestDispatcher_Serve_retryOfHungRunSpendsBudgetOnce(t *testing.T) {
	withFakeClock(t, func(t *testing.T, h *testHarness) {
		h.route.Type = configuration.Idempotent
		h.setRoute()
		for range 39 { // of the 40 retries available: 0.8 x the slack of 50
			h.dispatcher.shared.spendBudget(testService, 1)
		}
		h.chooser.addChoices("d1", "d2")
		h.addScripts("d1", hangUntilCanceled())
		h.addScripts("d2", respondWith(200, "complete", signedFields))
		h.send(nil).requireResponse(t, 200, "complete")
		if h.dispatcher.shared.spendBudget(testService, 1) {
			t.Fatal("budget is left after the retry, want the last of it spent")
		}
	})
}

func TestDispatcher_Serve_hungRunWithoutBudgetIsAwaited(t *testing.T) {
	withFakeClock(t, func(t *testing.T, h *testHarness) {
		h.route.Type = configuration.Idempotent
		h.setRoute()
		for h.dispatcher.shared.spendBudget(testService, 1) {
		}
		h.chooser.addChoices("d1", "d2")
		h.addScripts("d1", delayed(2*time.Second, respondWith(200, "late", signedFields)))
		h.send(nil).requireResponse(t, 200, "late")
	})
}

func TestDispatcher_Serve_clientDisconnectCancelsCall(t *testing.T) {
	withFakeClock(t, func(t *testing.T, h *testHarness) {
		h.chooser.addChoices("d1", "d2")
		h.addScripts("d1", hangUntilCanceled())
		client := &recordingClient{harness: h, disconnectAfter: 300 * time.Millisecond}
		h.sendAs(client, nil)
		if !client.aborted || client.responses != 0 || client.duration != 300*time.Millisecond {
			t.Fatalf("aborted %v after %v with %d responses, want an abort after 300ms without a response",
				client.aborted, client.duration, client.responses)
		}
		h.chooser.requireResults(t, "abandoned")
	})
}

func TestDispatcher_Serve_skipsRemovedWorker(t *testing.T) {
	withFakeClock(t, func(t *testing.T, h *testHarness) {
		view := *h.view
		view.Workers = map[string][]*fleetview.Worker{testService: {testWorker("d2")}}
		h.dispatcher.SetView(&view)
		h.chooser.addChoices("d1", "d2")
		h.addScripts("d2", respondWith(200, "complete", signedFields))
		h.send(nil).requireResponse(t, 200, "complete")
		if h.workersCalled() != "d2 " {
			t.Fatalf("called workers %q, want %q", h.workersCalled(), "d2 ")
		}
	})
}
