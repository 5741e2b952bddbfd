package dispatch

import (
	"testing"
	"time"

	"ospreybend/internal/controlplane/configuration"
	"ospreybend/internal/dataplane/selection"
)

func TestSilentRunEndsWith504AtTheLimit(t *testing.T) {
	inBubble(t, func(t *testing.T, r *rig) {
		r.chooser.offers("d1", "d2")
		r.plays("d1", silent())
		c := r.ask(nil)
		c.mustBe(t, 504, "")
		if c.took < 3*time.Second || c.took > 3010*time.Millisecond {
			t.Fatalf("took %v", c.took)
		}
		r.chooser.mustEnd(t, failedBy(selection.FailureTimeout))
	})
}

func TestRouteTimeoutLimitsALongerDeadline(t *testing.T) {
	inBubble(t, func(t *testing.T, r *rig) {
		r.route.Timeout = time.Second
		r.setRoute()
		r.chooser.offers("d1")
		r.plays("d1", silent())
		c := r.ask(nil)
		c.mustBe(t, 504, "")
		if c.took > 1010*time.Millisecond || r.calls[0].field(fieldDeadline) != "1000" {
			t.Fatalf("took %v, told %s", c.took, r.calls[0].field(fieldDeadline))
		}
	})
}

func TestLimitBeforeAnythingRanIsAPromise(t *testing.T) {
	inBubble(t, func(t *testing.T, r *rig) {
		r.chooser.offers("d1")
		r.plays("d1", after(4*time.Second, nil))
		r.scripts["d1"][0] = notSentAtEnd
		c := r.ask(nil)
		c.mustPromise(t)
		if c.took > 3010*time.Millisecond {
			t.Fatalf("took %v", c.took)
		}
	})
}

func TestSilentIdempotentRunIsGivenUpForAnother(t *testing.T) {
	inBubble(t, func(t *testing.T, r *rig) {
		r.route.Type = configuration.Idempotent
		r.setRoute()
		r.chooser.offers("d1", "d2")
		r.plays("d1", silent())
		r.plays("d2", answers(200, "there", signed))
		c := r.ask(nil)
		c.mustBe(t, 200, "there")
		if c.took != 1100*time.Millisecond { // 3 x 100 ms predicted + 2 x 400 ms objective
			t.Fatalf("took %v", c.took)
		}
	})
}

func TestGivingUpASilentRunPaysForItsRepeatOnce(t *testing.T) {
	inBubble(t, func(t *testing.T, r *rig) {
		r.route.Type = configuration.Idempotent
		r.setRoute()
		for range 39 { // of 0.8 x 50
			r.dispatcher.guard.spend(testService, 1)
		}
		r.chooser.offers("d1", "d2")
		r.plays("d1", silent())
		r.plays("d2", answers(200, "there", signed))
		r.ask(nil).mustBe(t, 200, "there")
		if r.dispatcher.guard.spend(testService, 1) {
			t.Fatal("the repeat was not paid")
		}
	})
}

func TestSilentRunIsKeptWhereNoBudgetIsLeft(t *testing.T) {
	inBubble(t, func(t *testing.T, r *rig) {
		r.route.Type = configuration.Idempotent
		r.setRoute()
		for r.dispatcher.guard.spend(testService, 1) {
		}
		r.chooser.offers("d1", "d2")
		r.plays("d1", after(2*time.Second, answers(200, "late", signed)))
		r.ask(nil).mustBe(t, 200, "late")
	})
}

func TestClientThatLeavesEndsTheCall(t *testing.T) {
	inBubble(t, func(t *testing.T, r *rig) {
		r.chooser.offers("d1", "d2")
		r.plays("d1", silent())
		c := &client{r: r, leavesIn: 300 * time.Millisecond}
		r.askAs(c, nil)
		if !c.broken || c.answers != 0 || c.took != 300*time.Millisecond {
			t.Fatalf("%+v", c)
		}
		r.chooser.mustEnd(t, "abandoned")
	})
}

func TestWorkerThatLeftTheListIsNotCalled(t *testing.T) {
	inBubble(t, func(t *testing.T, r *rig) {
		view := *r.view
		view.Workers = map[string][]*catalogWorker{testService: {testWorker("d2")}}
		r.dispatcher.SetView(&view)
		r.chooser.offers("d1", "d2")
		r.plays("d2", answers(200, "there", signed))
		r.ask(nil).mustBe(t, 200, "there")
		if r.workersCalled() != "d2 " {
			t.Fatal(r.workersCalled())
		}
	})
}
