package dispatch

import (
	"context"
	"testing"
	"time"

	"ospreybend/internal/controlplane/configuration"
	"ospreybend/internal/dataplane/httpserver"
	"ospreybend/internal/dataplane/selection"
	"ospreybend/internal/dataplane/upstream"
	"ospreybend/internal/util/http1"
)

func (r *rig) mustFree(t *testing.T, handles ...string) {
	t.Helper()
	if len(r.deletes) != len(handles) {
		t.Fatalf("%d handles freed, want %v", len(r.deletes), handles)
	}
	for i, handle := range handles {
		entry := r.deletes[i]
		if entry.call.Target != handlePath+handle || entry.call.Header.Has(fieldRequestID) {
			t.Fatalf("freed by %+v, want %s", entry.call, handle)
		}
	}
}

func TestHandOver(t *testing.T) {
	inBubble(t, func(t *testing.T, r *rig) {
		r.chooser.offers("p1>d1")
		r.plays("p1", hands("3fa09c41b7d5"))
		r.plays("d1", streams(1, 3, nil))
		r.ask(nil).mustBe(t, 200, texts(1, 3))
		read, run := r.calls[0], r.calls[1]
		if read.field(fieldStage) != "prefill" || read.field(fieldTarget) != "p1" || read.call.StreamEvents {
			t.Fatalf("%+v", read.call)
		}
		if run.field(fieldKVFrom) != "p1:80/3fa09c41b7d5" || run.field(fieldStage) != "" || run.field(fieldTarget) != "d1" {
			t.Fatalf("%+v", run.call)
		}
		r.mustFree(t)
		r.chooser.mustEnd(t, "done", "done")
	})
}

func TestRejectedPrefillGoesElsewhere(t *testing.T) {
	inBubble(t, func(t *testing.T, r *rig) {
		r.chooser.offers("p1>d1", "p2>d1")
		r.plays("p1", rejects())
		r.plays("p2", hands("h2"))
		r.plays("d1", streams(1, 1, nil))
		r.ask(nil).mustBe(t, 200, texts(1, 1))
		r.chooser.mustEnd(t, "rejected", "done", "done")
	})
}

func TestRejectedPrefillCountsAsAnAttempt(t *testing.T) {
	inBubble(t, func(t *testing.T, r *rig) {
		r.route.MaxAttempts = 1
		r.setRoute()
		r.chooser.offers("p1>d1", "d1")
		r.plays("p1", rejects())
		r.ask(nil).mustPromise(t)
		if r.workersCalled() != "p1 " {
			t.Fatal(r.workersCalled())
		}
	})
}

func TestFirstPrefillIsFreeOfAttemptsAndBudget(t *testing.T) {
	inBubble(t, func(t *testing.T, r *rig) {
		r.route.MaxAttempts = 1
		r.setRoute()
		for r.dispatcher.guard.spend(testService, 1) {
		}
		r.chooser.offers("p1>d1")
		r.plays("p1", hands("h1"))
		r.plays("d1", streams(1, 1, nil))
		r.ask(nil).mustBe(t, 200, texts(1, 1))
	})
}

func TestBrokenPrefillIsFollowedByADecodeWorkerAlone(t *testing.T) {
	inBubble(t, func(t *testing.T, r *rig) {
		r.route.MaxAttempts = 1
		r.setRoute()
		r.chooser.offers("p1>d1", "p2>d1")
		r.plays("p1", breaks())
		r.plays("d1", streams(1, 1, nil))
		r.ask(nil).mustBe(t, 200, texts(1, 1))
		if r.workersCalled() != "p1 d1 " || r.calls[1].field(fieldKVFrom) != "" {
			t.Fatal(r.workersCalled())
		}
		r.chooser.mustEnd(t, failedBy(selection.FailureBroken), "done")
	})
}

func TestSecondPrefillCountsAsAnAttempt(t *testing.T) {
	inBubble(t, func(t *testing.T, r *rig) {
		r.route.MaxAttempts = 2
		r.setRoute()
		r.chooser.offers("p1>d1", "p2>d1")
		r.plays("p1", breaks())
		r.plays("p2", hands("h2"))
		r.plays("d1", rejects())
		r.plays("d2", streams(1, 1, nil))
		r.chooser.offers("d2")
		r.ask(nil).mustPromise(t)
		if r.workersCalled() != "p1 p2 d1 " {
			t.Fatal(r.workersCalled())
		}
		r.mustFree(t, "h2")
	})
}

func TestSilentPrefillIsGivenUp(t *testing.T) {
	inBubble(t, func(t *testing.T, r *rig) {
		r.chooser.offers("p1>d1", "p2>d1")
		r.plays("p1", silent())
		r.plays("p2", hands("h2"))
		r.plays("d1", streams(1, 1, nil))
		c := r.ask(nil)
		c.mustBe(t, 200, texts(1, 1))
		if c.took != 610*time.Millisecond { // the objective of 400 ms + 200 ms, and the first event
			t.Fatalf("took %v", c.took)
		}
		r.chooser.mustEnd(t, failedBy(selection.FailureTimeout), "done", "done")
	})
}

func TestPrefillAnswerWithoutAReadableHandleIsARun(t *testing.T) {
	for _, body := range []string{"", "{", `{"prefillHandle":""}`, `{"prefillHandle":"a b"}`, `{"tokens":4}`} {
		inBubble(t, func(t *testing.T, r *rig) {
			r.chooser.offers("p1>d1", "d1")
			r.plays("p1", answers(200, body, nil))
			r.plays("d1", streams(1, 1, nil))
			r.ask(nil).mustBe(t, 502, "")
			r.chooser.mustEnd(t, failedBy(selection.FailureBroken))
		})
	}
}

func TestPrefillAnswerWithoutAHandleIsRepeatedWhereTheRequestMayRunTwice(t *testing.T) {
	inBubble(t, func(t *testing.T, r *rig) {
		r.route.Resumable = true
		r.setRoute()
		r.chooser.offers("p1>d1", "d1")
		r.plays("p1", answers(200, "{", nil))
		r.plays("d1", streams(1, 1, nil))
		r.ask(nil).mustBe(t, 200, texts(1, 1))
		r.chooser.mustEnd(t, failedBy(selection.FailureBroken), "done")
	})
}

func TestUnsignedErrorOfAPrefillIsNoRun(t *testing.T) {
	inBubble(t, func(t *testing.T, r *rig) {
		r.chooser.offers("p1>d1", "d1")
		r.plays("p1", answers(500, "", nil))
		r.plays("d1", streams(1, 1, nil))
		r.ask(nil).mustBe(t, 200, texts(1, 1))
		r.chooser.mustEnd(t, failedBy(selection.FailureStatus), "done")
	})
}

func TestHandleOfAnotherRequestIsNotUsed(t *testing.T) {
	inBubble(t, func(t *testing.T, r *rig) {
		r.chooser.offers("p1>d1", "d1")
		r.plays("p1", hands("h1"))
		r.plays("d1", breaks())
		r.ask(func(request *httpserver.Request) { request.Header = request.Header.With(fieldRequestID, "another") })
		if r.workersCalled() != "p1 d1 " || r.calls[1].field(fieldKVFrom) != "" {
			t.Fatal(r.workersCalled())
		}
	})
}

func TestRunRejectedForWantOfPlaceKeepsTheHandle(t *testing.T) {
	inBubble(t, func(t *testing.T, r *rig) {
		r.chooser.offers("p1>d1", "p2>d2")
		r.plays("p1", hands("h1"))
		r.plays("d1", withLoad(rejects(), 64, 3, 64))
		r.plays("d2", streams(1, 1, nil))
		r.ask(nil).mustBe(t, 200, texts(1, 1))
		if r.workersCalled() != "p1 d1 d2 " || r.calls[2].field(fieldKVFrom) != "p1:80/h1" {
			t.Fatal(r.workersCalled())
		}
		r.chooser.mustEnd(t, "done", "rejected", "done")
		r.mustFree(t)
	})
}

func TestRunRejectedWithRoomMeansThatTheHandleIsGone(t *testing.T) {
	inBubble(t, func(t *testing.T, r *rig) {
		r.route.MaxAttempts = 2
		r.setRoute()
		r.chooser.offers("p1>d1", "d2")
		r.plays("p1", hands("h1"))
		r.plays("d1", withLoad(rejects(), 3, 0, 64))
		r.plays("d2", streams(1, 1, nil))
		r.ask(nil).mustBe(t, 200, texts(1, 1))
		if r.workersCalled() != "p1 d1 d2 " || r.calls[2].field(fieldKVFrom) != "" {
			t.Fatal(r.workersCalled())
		}
		r.chooser.mustEnd(t, "done", failedBy(selection.FailureTransfer), "done")
		r.mustFree(t, "h1")
	})
}

func withLoad(inner script, running, waiting, slots int) script {
	return func(ctx ctxt, call *upstream.Request) (*Answer, *upstream.Failure) {
		answer, failure := inner(ctx, call)
		answer.Load = &upstream.Load{Running: running, Waiting: waiting, Slots: slots}
		return answer, failure
	}
}

func TestHandleIsFreedWhereTheRunIsRefused(t *testing.T) {
	inBubble(t, func(t *testing.T, r *rig) {
		r.route.MaxAttempts = 1
		r.setRoute()
		r.chooser.offers("p1>d1")
		r.plays("p1", hands("h1"))
		r.plays("d1", rejects())
		r.ask(nil).mustPromise(t)
		r.mustFree(t, "h1")
	})
}

func TestHandleIsFreedWhereTheRunBreaks(t *testing.T) {
	inBubble(t, func(t *testing.T, r *rig) {
		r.chooser.offers("p1>d1")
		r.plays("p1", hands("h1"))
		r.plays("d1", breaks())
		r.ask(nil).mustBe(t, 502, "")
		r.mustFree(t, "h1")
	})
}

func TestHandleIsFreedWhereTheClientLeaves(t *testing.T) {
	inBubble(t, func(t *testing.T, r *rig) {
		r.chooser.offers("p1>d1")
		r.plays("p1", hands("h1"))
		r.plays("d1", silent())
		c := &client{r: r, leavesIn: 300 * time.Millisecond}
		r.askAs(c, nil)
		r.mustFree(t, "h1")
		r.chooser.mustEnd(t, "done", "abandoned")
	})
}

func TestHandleIsFreedAtTheLimit(t *testing.T) {
	inBubble(t, func(t *testing.T, r *rig) {
		r.chooser.offers("p1>d1")
		r.plays("p1", hands("h1"))
		r.plays("d1", silent())
		r.ask(nil).mustBe(t, 504, "")
		r.mustFree(t, "h1")
	})
}

func TestHandleIsKeptWhereTheDecodeWorkerCannotBeReached(t *testing.T) {
	inBubble(t, func(t *testing.T, r *rig) {
		r.chooser.offers("p1>d1", "p2>d2")
		r.plays("p1", hands("h1"))
		r.plays("d1", fails(upstream.NotSent, upstream.DialFailed))
		r.plays("d2", streams(1, 1, nil))
		r.ask(nil).mustBe(t, 200, texts(1, 1))
		if r.calls[2].field(fieldKVFrom) != "p1:80/h1" {
			t.Fatal(r.workersCalled())
		}
	})
}

func TestDecodeWorkerThatLeftWhileThePromptWasReadIsNotCalled(t *testing.T) {
	inBubble(t, func(t *testing.T, r *rig) {
		r.chooser.offers("p1>d1", "p2>d2")
		r.plays("p1", after(50*time.Millisecond, hands("h1")))
		r.plays("d2", streams(1, 1, nil))
		view := *r.view
		view.Workers = map[string][]*catalogWorker{testService: {testWorker("d2"), testWorker("p1")}}
		time.AfterFunc(20*time.Millisecond, func() { r.dispatcher.SetView(&view) })
		r.ask(nil).mustBe(t, 200, texts(1, 1))
		if r.workersCalled() != "p1 d2 " || r.calls[1].field(fieldKVFrom) != "p1:80/h1" {
			t.Fatal(r.workersCalled())
		}
	})
}

func TestPrefillThatTheWorkerRanIsTheAnswer(t *testing.T) {
	inBubble(t, func(t *testing.T, r *rig) {
		r.chooser.offers("p1>d1")
		r.plays("p1", answers(200, "bytes", signed))
		r.ask(nil).mustBe(t, 200, "bytes")
		if r.workersCalled() != "p1 " {
			t.Fatal(r.workersCalled())
		}
		r.chooser.mustEnd(t, "done")
	})
}

func TestPrefillThatTheWorkerRanInVainIsNotRepeated(t *testing.T) {
	inBubble(t, func(t *testing.T, r *rig) {
		r.chooser.offers("p1>d1", "d1")
		r.plays("p1", answers(500, "mine", signed))
		r.plays("d1", streams(1, 1, nil))
		r.ask(nil).mustBe(t, 500, "mine")
	})
}

func TestClientsCopyOfTheStageDoesNotMakeAPrefill(t *testing.T) {
	inBubble(t, func(t *testing.T, r *rig) {
		r.chooser.offers("p1>d1")
		r.plays("p1", hands("h1"))
		r.plays("d1", streams(1, 1, nil))
		r.ask(func(request *httpserver.Request) {
			request.Header = append(request.Header, http1.HeaderField{Name: "X-Serving-Stage", Value: "decode"})
		}).mustBe(t, 200, texts(1, 1))
		if r.calls[0].call.Header.Count(fieldStage) != 1 {
			t.Fatal("two stages")
		}
	})
}

func TestSettleWaitsForHandlesBeingFreed(t *testing.T) {
	inBubble(t, func(t *testing.T, r *rig) {
		r.chooser.offers("p1>d1")
		r.plays("p1", hands("h1"))
		r.plays("d1", breaks())
		r.deleteTakes = 300 * time.Millisecond
		r.ask(nil)
		before := r.now()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		r.dispatcher.Settle(ctx)
		if took := r.now() - before; took != 300*time.Millisecond {
			t.Fatalf("waited %v", took)
		}
	})
}

func TestHandleLapsesWhereTooManyAreBeingFreed(t *testing.T) {
	inBubble(t, func(t *testing.T, r *rig) {
		for range maxFreeing {
			r.dispatcher.freeing <- struct{}{}
		}
		r.chooser.offers("p1>d1")
		r.plays("p1", hands("h1"))
		r.plays("d1", breaks())
		c := r.ask(nil)
		c.mustBe(t, 502, "")
		if counts := r.dispatcher.Counts(); c.took != 0 || counts.HandlesDropped != 1 || counts.HandlesFreed != 0 {
			t.Fatalf("%+v after %v", counts, c.took)
		}
	})
}

func TestRequestWithoutTokensIsNotReadApart(t *testing.T) {
	inBubble(t, func(t *testing.T, r *rig) {
		r.chooser.offers("p1>d1")
		r.plays("d1", streams(1, 1, nil))
		r.ask(func(request *httpserver.Request) {
			request.Header = request.Header.Without(fieldTokenCount)
		}).mustBe(t, 200, texts(1, 1))
		if r.workersCalled() != "d1 " {
			t.Fatal(r.workersCalled())
		}
	})
}

func TestSignedAnswerToPrefillIsARun(t *testing.T) {
	inBubble(t, func(t *testing.T, r *rig) {
		r.route.Type, r.route.Resumable = configuration.NonIdempotent, false
		r.setRoute()
		r.chooser.offers("p1>d1", "p2>d1")
		r.plays("p1", answers(200, "done", http1.Header{{Name: fieldSignature, Value: "s"}}))
		r.ask(nil).mustBe(t, 200, "done")
		if r.workersCalled() != "p1 " {
			t.Fatal(r.workersCalled())
		}
	})
}

func TestSilentPrefillIsWaitedForWithoutBudget(t *testing.T) {
	inBubble(t, func(t *testing.T, r *rig) {
		for r.dispatcher.guard.spend(testService, 1) {
		}
		r.chooser.offers("p1>d1", "p2>d1")
		r.plays("p1", after(time.Second, hands("h1")))
		r.plays("d1", streams(1, 1, nil))
		r.ask(nil).mustBe(t, 200, texts(1, 1))
		if r.workersCalled() != "p1 d1 " {
			t.Fatal(r.workersCalled())
		}
	})
}
