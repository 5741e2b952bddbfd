package dispatch

import (
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

func (c *client) mustBe(t *testing.T, status int, body string) {
	t.Helper()
	if c.status != status || c.body != body || c.answers > 1 {
		t.Fatalf("answer %d %q (%d answers, finished %v, broken %v), want %d %q",
			c.status, c.body, c.answers, c.finished, c.broken, status, body)
	}
	if c.fields.Has(fieldNotExecuted) {
		t.Fatal("X-Not-Executed passed on")
	}
}

// mustPromise checks a refusal: it says when to come back and carries no stamp.
func (c *client) mustPromise(t *testing.T) {
	t.Helper()
	c.mustBe(t, http.StatusServiceUnavailable, "")
	if c.fields.Get(fieldRetryAfter) == "" || c.fields.Has(fieldSignature) {
		t.Fatalf("fields of the refusal: %v", c.fields)
	}
}

func (c *client) mustBreak(t *testing.T, body string) {
	t.Helper()
	if !c.broken || c.finished || c.body != body {
		t.Fatalf("broken %v, finished %v, body %q", c.broken, c.finished, c.body)
	}
}

func TestUnknownRouteIs404(t *testing.T) {
	inBubble(t, func(t *testing.T, r *rig) {
		r.ask(func(request *httpserver.Request) { request.Path = "/none/" }).mustBe(t, 404, "")
	})
}

func TestMissingIDIs400(t *testing.T) {
	inBubble(t, func(t *testing.T, r *rig) {
		r.ask(func(request *httpserver.Request) { request.Header = request.Header.Without(fieldRequestID) }).mustBe(t, 400, "")
	})
}

func TestNoConfigurationIsRefused(t *testing.T) {
	inBubble(t, func(t *testing.T, r *rig) {
		r.dispatcher.view.Store(nil)
		r.ask(nil).mustPromise(t)
	})
}

func TestRefusalIsAnsweredAtOnce(t *testing.T) {
	inBubble(t, func(t *testing.T, r *rig) {
		r.chooser.refusal = 1250 * time.Millisecond
		c := r.ask(nil)
		c.mustPromise(t)
		if c.fields.Get(fieldRetryAfter) != "1.250" || c.took != 0 {
			t.Fatalf("fields %v after %v", c.fields, c.took)
		}
	})
}

func TestChoiceIsAskedWithWhatTheRequestTells(t *testing.T) {
	inBubble(t, func(t *testing.T, r *rig) {
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

func TestCallCarriesTheSystemsFieldsAlone(t *testing.T) {
	inBubble(t, func(t *testing.T, r *rig) {
		r.chooser.offers("d1")
		r.plays("d1", answers(200, "bytes", signed))
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

func TestDeadlineOfTheCallIsWhatIsLeft(t *testing.T) {
	inBubble(t, func(t *testing.T, r *rig) {
		r.chooser.offers("p1>d1")
		r.plays("p1", after(150*time.Millisecond, hands("h1")))
		r.plays("d1", streams(1, 2, nil))
		r.ask(nil).mustBe(t, 200, texts(1, 2))
		if r.calls[0].field(fieldDeadline) != "3000" || r.calls[1].field(fieldDeadline) != "2850" {
			t.Fatalf("%q then %q", r.calls[0].field(fieldDeadline), r.calls[1].field(fieldDeadline))
		}
	})
}

func TestServiceWithoutEngineGetsNoPriority(t *testing.T) {
	inBubble(t, func(t *testing.T, r *rig) {
		r.view.Services[testService].Engine = nil
		r.chooser.offers("d1")
		r.plays("d1", answers(200, "", signed))
		r.ask(nil)
		if r.calls[0].call.Header.Has(fieldPriority) {
			t.Fatal("priority sent")
		}
	})
}

func TestSuccessWithoutSignatureIsNotPassedOn(t *testing.T) {
	inBubble(t, func(t *testing.T, r *rig) {
		r.chooser.offers("d1")
		r.plays("d1", answers(200, "bytes", nil))
		r.ask(nil).mustBe(t, 502, "")
		r.chooser.mustEnd(t, failedBy(selection.FailureBroken))
	})
}

// An answer without length whose connection ended in order is whole.
func TestAnswerWithoutLengthIsPassedOn(t *testing.T) {
	inBubble(t, func(t *testing.T, r *rig) {
		r.chooser.offers("d1")
		r.plays("d1", toEnd(answers(200, "bytes", signed)))
		r.ask(nil).mustBe(t, 200, "bytes")
		r.chooser.mustEnd(t, "done")
	})
}

func TestStreamWithoutLengthIsPassedOn(t *testing.T) {
	inBubble(t, func(t *testing.T, r *rig) {
		r.chooser.offers("d1")
		r.plays("d1", toEnd(streams(1, 3, nil)))
		c := r.ask(nil)
		c.mustBe(t, 200, texts(1, 3))
		if !c.finished {
			t.Fatal("not finished")
		}
	})
}

// toEnd takes the length from a worker's answer.
func toEnd(then script) script {
	return func(ctx ctxt, call *upstream.Request) (*Answer, *upstream.Failure) {
		answer, failure := then(ctx, call)
		answer.UntilClose = true
		return answer, failure
	}
}

func TestEncodedAnswerIsNotPassedOn(t *testing.T) {
	inBubble(t, func(t *testing.T, r *rig) {
		r.chooser.offers("d1")
		r.plays("d1", answers(200, "bytes", append(signed, http1.HeaderField{Name: fieldEncoding, Value: "gzip"})))
		r.ask(nil).mustBe(t, 502, "")
	})
}

func TestAnswerOfAnotherRequestIsNotPassedOn(t *testing.T) {
	inBubble(t, func(t *testing.T, r *rig) {
		r.chooser.offers("d1")
		r.plays("d1", answers(200, "bytes", signed))
		r.ask(func(request *httpserver.Request) {
			request.Header = request.Header.With(fieldRequestID, "another")
		}).mustBe(t, 502, "")
	})
}

func TestWorkersOwnErrorIsPassedOnUnchanged(t *testing.T) {
	for _, status := range []int{404, 500, 504} {
		inBubble(t, func(t *testing.T, r *rig) {
			r.chooser.offers("d1", "d2")
			r.plays("d1", answers(status, "mine", signed))
			c := r.ask(nil)
			c.mustBe(t, status, "mine")
			if c.fields.Get(fieldSignature) == "" || len(r.calls) != 1 {
				t.Fatalf("fields %v, calls %s", c.fields, r.workersCalled())
			}
		})
	}
}

func TestPromiseOfAWorkerThatMayHaveRunIsNotPassedOn(t *testing.T) {
	for _, status := range []int{503, 429, 408} {
		inBubble(t, func(t *testing.T, r *rig) {
			r.chooser.offers("d1", "d2")
			r.plays("d1", answers(status, "busy", signed))
			c := r.ask(nil)
			c.mustBe(t, 502, "")
			if len(r.calls) != 1 || c.fields.Has(fieldSignature) {
				t.Fatalf("calls %s, fields %v", r.workersCalled(), c.fields)
			}
		})
	}
}

func TestRunThatMayHaveRunIsNotRepeated(t *testing.T) {
	inBubble(t, func(t *testing.T, r *rig) {
		r.chooser.offers("d1", "d2")
		r.plays("d1", breaks())
		r.plays("d2", answers(200, "again", signed))
		r.ask(nil).mustBe(t, 502, "")
		if r.workersCalled() != "d1 " {
			t.Fatal(r.workersCalled())
		}
	})
}

func TestRunThatWasNotSentIsRepeatedFreely(t *testing.T) {
	inBubble(t, func(t *testing.T, r *rig) {
		r.route.MaxAttempts = 1
		r.setRoute()
		r.chooser.offers("d1", "d2")
		r.plays("d1", fails(upstream.NotSent, upstream.DialFailed))
		r.plays("d2", answers(200, "there", signed))
		r.ask(nil).mustBe(t, 200, "there")
		r.chooser.mustEnd(t, failedBy(selection.FailureConnect), "done")
	})
}

func TestRejectedRunGoesToAnotherWorker(t *testing.T) {
	inBubble(t, func(t *testing.T, r *rig) {
		r.chooser.offers("d1", "d2")
		r.plays("d1", rejects())
		r.plays("d2", answers(200, "there", signed))
		r.ask(nil).mustBe(t, 200, "there")
		r.chooser.mustEnd(t, "rejected", "done")
	})
}

func TestMisdirectedRunGoesToAnotherWorker(t *testing.T) {
	inBubble(t, func(t *testing.T, r *rig) {
		r.chooser.offers("d1", "d2")
		r.plays("d1", answers(421, "", nil))
		r.plays("d2", answers(200, "there", signed))
		r.ask(nil).mustBe(t, 200, "there")
		r.chooser.mustEnd(t, failedBy(selection.FailureMisrouted), "done")
	})
}

func TestRejectedEverywhereIsAPromise(t *testing.T) {
	inBubble(t, func(t *testing.T, r *rig) {
		r.chooser.offers("d1", "d2")
		r.plays("d1", rejects())
		r.plays("d2", rejects())
		r.ask(nil).mustPromise(t)
	})
}

func TestNoMoreRunsThanAttempts(t *testing.T) {
	inBubble(t, func(t *testing.T, r *rig) {
		r.route.MaxAttempts = 2
		r.setRoute()
		r.chooser.offers("d1", "d2", "d3")
		r.plays("d1", rejects())
		r.plays("d2", rejects())
		r.plays("d3", answers(200, "", signed))
		r.ask(nil).mustPromise(t)
		if len(r.calls) != 2 {
			t.Fatal(r.workersCalled())
		}
	})
}

func TestRepeatNeedsBudget(t *testing.T) {
	inBubble(t, func(t *testing.T, r *rig) {
		for r.dispatcher.guard.spend(testService, 1) {
		}
		r.chooser.offers("d1", "d2")
		r.plays("d1", rejects())
		r.ask(nil).mustPromise(t)
		if len(r.calls) != 1 {
			t.Fatal(r.workersCalled())
		}
	})
}

func TestIdempotentRequestIsRepeatedAfterAnyFailure(t *testing.T) {
	for name, first := range map[string]script{
		"broken": breaks(), "own error": answers(500, "mine", signed), "unsigned": answers(200, "", nil),
		"unclear promise": answers(503, "busy", nil),
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T, r *rig) {
				r.route.Type = configuration.Idempotent
				r.setRoute()
				r.chooser.offers("d1", "d2")
				r.plays("d1", first)
				r.plays("d2", answers(200, "there", signed))
				r.ask(nil).mustBe(t, 200, "there")
			})
		})
	}
}

func TestIdempotentErrorIsPassedOnWhereNoRunIsLeft(t *testing.T) {
	inBubble(t, func(t *testing.T, r *rig) {
		r.route.Type = configuration.Idempotent
		r.setRoute()
		r.chooser.offers("d1", "d2")
		r.plays("d1", answers(500, "mine", signed))
		r.plays("d2", rejects())
		r.ask(nil).mustBe(t, 500, "mine")
	})
}

func TestNoPromiseOnceARunMayHaveTakenPlace(t *testing.T) {
	inBubble(t, func(t *testing.T, r *rig) {
		r.route.Type = configuration.Idempotent
		r.setRoute()
		r.chooser.offers("d1", "d2")
		r.plays("d1", breaks())
		r.plays("d2", rejects())
		r.ask(nil).mustBe(t, 502, "")
	})
}

func TestUrgencyIsTheChoicesUntilThePromptIsRead(t *testing.T) {
	inBubble(t, func(t *testing.T, r *rig) {
		r.chooser.urgency = 4
		r.chooser.offers("p1>d1")
		r.plays("p1", hands("h1"))
		r.plays("d1", streams(1, 1, nil))
		r.ask(nil).mustBe(t, 200, texts(1, 1))
		if r.calls[0].field(fieldPriority) != "4" || r.calls[1].field(fieldPriority) != "0" {
			t.Fatalf("%q then %q", r.calls[0].field(fieldPriority), r.calls[1].field(fieldPriority))
		}
	})
}

func TestChangesOfWhatIsUnderWayAreTold(t *testing.T) {
	inBubble(t, func(t *testing.T, r *rig) {
		changes := 0
		r.dispatcher.guard.changed = func() { changes++ }
		r.chooser.offers("p1>d1")
		r.plays("p1", hands("h1"))
		r.plays("d1", streams(1, 1, nil))
		r.ask(nil).mustBe(t, 200, texts(1, 1))
		// Two calls sent, the second one's first event, two ended.
		if changes != 5 {
			t.Fatalf("%d changes told", changes)
		}
		r.dispatcher.Peer(7, nil)
		if len(r.dispatcher.Outstanding()) != 1 || len(r.chooser.peers) != 1 || r.chooser.peers[0] != 7 {
			t.Fatal("the chooser was not asked or told")
		}
	})
}

func TestNothingNewIsSentToAWorkerThatTurns(t *testing.T) {
	inBubble(t, func(t *testing.T, r *rig) {
		r.chooser.offers("d1", "d2")
		turning := testWorker("d1")
		turning.Stage, turning.Assigned = "decode", "prefill"
		view := *r.view
		view.Workers = map[string][]*fleetview.Worker{testService: {turning, testWorker("d2"), testWorker("d3")}}
		r.dispatcher.SetView(&view)
		r.plays("d2", answers(200, "there", signed))
		r.ask(nil).mustBe(t, 200, "there")
		if len(r.calls) != 1 || r.calls[0].field(fieldTarget) != "d2" {
			t.Fatalf("%+v", r.calls)
		}
	})
}
