package dispatch

import (
	"testing"
	"time"

	"ospreybend/internal/controlplane/configuration"
	"ospreybend/internal/dataplane/fleetview"
	"ospreybend/internal/dataplane/selection"
)

func TestDispatcher_Serve_hungRunIs504AtDeadline(t *testing.T) {
	withFakeClock(t, func(t *testing.T, r *testHarness) {
		r.chooser.offers("d1", "d2")
		r.script("d1", hangs())
		c := r.ask(nil)
		c.mustBe(t, 504, "")
		if c.took < 3*time.Second || c.took > 3010*time.Millisecond {
			t.Fatalf("the response took %v, want 3s to 3.01s", c.took)
		}
		r.chooser.mustEnd(t, failedBy(selection.FailureTimeout))
	})
}

func TestDispatcher_Serve_routeTimeoutBoundsDeadline(t *testing.T) {
	withFakeClock(t, func(t *testing.T, r *testHarness) {
		r.route.Timeout = time.Second
		r.setRoute()
		r.chooser.offers("d1")
		r.script("d1", hangs())
		c := r.ask(nil)
		c.mustBe(t, 504, "")
		if c.took > 1010*time.Millisecond || r.calls[0].field(fieldRequestDeadline) != "1000" {
			t.Fatalf("the response took %v with deadline field %s, want at most 1.01s with 1000", c.took, r.calls[0].field(fieldRequestDeadline))
		}
	})
}

func TestDispatcher_Serve_deadlineBeforeRunIs503(t *testing.T) {
	withFakeClock(t, func(t *testing.T, r *testHarness) {
		r.chooser.offers("d1")
		r.script("d1", after(4*time.Second, nil))
		r.scripts["d1"][0] = neverConnects
		c := r.ask(nil)
		c.mustReject(t)
		if c.took > 3010*time.Millisecond {
			t.Fatalf("the response took %v, want at most 3.01s", c.took)
		}
	})
}

func TestDispatcher_Serve_hungIdempotentRunIsRetried(t *testing.T) {
	withFakeClock(t, func(t *testing.T, r *testHarness) {
		r.route.Type = configuration.Idempotent
		r.setRoute()
		r.chooser.offers("d1", "d2")
		r.script("d1", hangs())
		r.script("d2", respondsWith(200, "there", signed))
		c := r.ask(nil)
		c.mustBe(t, 200, "there")
		if c.took != 1100*time.Millisecond { // 3 x 100 ms predicted + 2 x 400 ms latency target
			t.Fatalf("the response took %v, want 1.1s", c.took)
		}
	})
}

func TestDispatcher_Serve_retryOfHungRunSpendsBudgetOnce(t *testing.T) {
	withFakeClock(t, func(t *testing.T, r *testHarness) {
		r.route.Type = configuration.Idempotent
		r.setRoute()
		for range 39 { // of the 40 retries available: 0.8 x the slack of 50
			r.dispatcher.shared.spendBudget(testService, 1)
		}
		r.chooser.offers("d1", "d2")
		r.script("d1", hangs())
		r.script("d2", respondsWith(200, "there", signed))
		r.ask(nil).mustBe(t, 200, "there")
		if r.dispatcher.shared.spendBudget(testService, 1) {
			t.Fatal("budget is left after the retry, want the last of it spent")
		}
	})
}

func TestDispatcher_Serve_hungRunWithoutBudgetIsAwaited(t *testing.T) {
	withFakeClock(t, func(t *testing.T, r *testHarness) {
		r.route.Type = configuration.Idempotent
		r.setRoute()
		for r.dispatcher.shared.spendBudget(testService, 1) {
		}
		r.chooser.offers("d1", "d2")
		r.script("d1", after(2*time.Second, respondsWith(200, "late", signed)))
		r.ask(nil).mustBe(t, 200, "late")
	})
}

func TestDispatcher_Serve_departedClientCancelsCall(t *testing.T) {
	withFakeClock(t, func(t *testing.T, r *testHarness) {
		r.chooser.offers("d1", "d2")
		r.script("d1", hangs())
		c := &recordingClient{r: r, cancelAfter: 300 * time.Millisecond}
		r.askAs(c, nil)
		if !c.aborted || c.responses != 0 || c.took != 300*time.Millisecond {
			t.Fatalf("aborted %v after %v with %d responses, want an abort after 300ms without a response", c.aborted, c.took, c.responses)
		}
		r.chooser.mustEnd(t, "abandoned")
	})
}

func TestDispatcher_Serve_skipsDepartedWorker(t *testing.T) {
	withFakeClock(t, func(t *testing.T, r *testHarness) {
		view := *r.view
		view.Workers = map[string][]*fleetview.Worker{testService: {testWorker("d2")}}
		r.dispatcher.SetView(&view)
		r.chooser.offers("d1", "d2")
		r.script("d2", respondsWith(200, "there", signed))
		r.ask(nil).mustBe(t, 200, "there")
		if r.workersCalled() != "d2 " {
			t.Fatalf("called workers %q, want %q", r.workersCalled(), "d2 ")
		}
	})
}
