package dispatch

import (
	"testing"
	"time"

	"ospreybend/internal/dataplane/httpserver"
	"ospreybend/internal/dataplane/selection"
	"ospreybend/internal/dataplane/upstream"
	"ospreybend/internal/util/http1"
)

func TestDispatcher_Serve_forwardsEventsAsTheyArrive(t *testing.T) {
	withFakeClock(t, func(t *testing.T, r *testHarness) {
		r.chooser.offers("d1")
		r.script("d1", streams(1, 5, nil))
		c := r.ask(nil)
		c.mustBe(t, 200, texts(1, 5))
		if !c.finished || len(c.eventTimes) != 5 || r.chooser.firsts != 1 {
			t.Fatalf("finished %v, events at %v, %d first events reported; want a finished stream of 5 events and one first event",
				c.finished, c.eventTimes, r.chooser.firsts)
		}
		for i := range c.eventTimes {
			if want := c.eventTimes[0] + time.Duration(i)*10*time.Millisecond; c.eventTimes[i] != want {
				t.Fatalf("event %d was forwarded at %v, want %v", i, c.eventTimes[i], want)
			}
		}
		r.chooser.mustEnd(t, "done")
	})
}

func TestDispatcher_Serve_cutStreamIsAborted(t *testing.T) {
	withFakeClock(t, func(t *testing.T, r *testHarness) {
		r.chooser.offers("d1", "d2")
		r.script("d1", streams(1, 2, cut))
		r.script("d2", streams(3, 4, nil))
		r.ask(nil).mustAbort(t, texts(1, 2))
		if r.workersCalled() != "d1 " {
			t.Fatalf("called workers %q, want %q", r.workersCalled(), "d1 ")
		}
		r.chooser.mustEnd(t, failedBy(selection.FailureBroken))
	})
}

func TestDispatcher_Serve_streamCutBeforeFirstEventIs502(t *testing.T) {
	withFakeClock(t, func(t *testing.T, r *testHarness) {
		r.chooser.offers("d1")
		r.script("d1", streams(1, 0, cut))
		r.ask(nil).mustBe(t, 502, "")
	})
}

func (p *testHarness) makeResumable() {
	p.route.Resumable = true
	p.setRoute()
}

func TestDispatcher_Serve_resumableStreamContinuesElsewhere(t *testing.T) {
	withFakeClock(t, func(t *testing.T, r *testHarness) {
		r.makeResumable()
		r.chooser.offers("d1", "d2")
		r.script("d1", streams(1, 3, cut))
		r.script("d2", streams(4, 6, nil))
		c := r.ask(nil)
		c.mustBe(t, 200, texts(1, 6))
		if !c.finished || c.fields.Get("Versions") != "d1" {
			t.Fatalf("finished %v, fields %v; want a finished stream with the head of d1", c.finished, c.fields)
		}
		if r.calls[1].field(fieldLastEventID) != "3" || r.calls[0].call.Header.Has(fieldLastEventID) {
			t.Fatalf("the Last-Event-Id of the calls is %q and %q, want none and 3", r.calls[0].field(fieldLastEventID), r.calls[1].field(fieldLastEventID))
		}
	})
}

func TestDispatcher_Serve_resumedStreamRepeatsNoEvent(t *testing.T) {
	withFakeClock(t, func(t *testing.T, r *testHarness) {
		r.makeResumable()
		r.chooser.offers("d1", "d2")
		r.script("d1", streams(1, 3, cut))
		r.script("d2", streams(1, 6, nil))
		r.ask(nil).mustBe(t, 200, texts(1, 6))
	})
}

func TestStreamProgress_Unsent_keepsNewEventsWithoutID(t *testing.T) {
	bare := upstream.Event{Raw: []byte("data: bare\n\n"), Versions: -1}
	var relayed streamProgress
	relayed.started = true
	for id := 1; id <= 3; id++ {
		e := event(id)
		relayed.record(&e)
	}
	relayed.beginRun()
	old := &upstream.Batch{Events: []upstream.Event{bare, event(3), bare}}
	if got := relayed.unsent(old); len(got) != 0 {
		t.Fatalf("unsent part of a repeated batch is %q, want none", got)
	}
	newer := &upstream.Batch{Events: []upstream.Event{event(4), bare}}
	if got := string(relayed.unsent(newer)); got != eventText(4)+"data: bare\n\n" {
		t.Fatalf("unsent part of a new batch is %q, want event 4 and the event without ID", got)
	}
	if got := string(relayed.unsent(&upstream.Batch{Events: []upstream.Event{bare}})); got != "data: bare\n\n" {
		t.Fatalf("unsent part of a batch without IDs is %q, want the event without ID", got)
	}
}

func TestDispatcher_Serve_unresumableStreamIsAborted(t *testing.T) {
	withFakeClock(t, func(t *testing.T, r *testHarness) {
		r.makeResumable()
		r.chooser.offers("d1", "d2")
		r.script("d1", streams(1, 3, cut))
		r.script("d2", rejects())
		c := r.ask(nil)
		c.mustAbort(t, texts(1, 3))
		if c.responses != 1 {
			t.Fatalf("%d response heads, want 1", c.responses)
		}
	})
}

func TestDispatcher_Serve_errorOfResumedStreamIsNotForwarded(t *testing.T) {
	withFakeClock(t, func(t *testing.T, r *testHarness) {
		r.makeResumable()
		r.chooser.offers("d1", "d2")
		r.script("d1", streams(1, 3, cut))
		r.script("d2", respondsWith(500, "mine", signed))
		r.ask(nil).mustAbort(t, texts(1, 3))
	})
}

func TestDispatcher_Serve_clientsLastEventIDIsForwarded(t *testing.T) {
	withFakeClock(t, func(t *testing.T, r *testHarness) {
		r.makeResumable()
		r.chooser.offers("d1", "d2")
		r.script("d1", streams(1, 0, cut))
		r.script("d2", streams(8, 9, nil))
		c := r.ask(func(request *httpserver.Request) {
			request.Header = append(request.Header, http1.HeaderField{Name: "last-event-id", Value: "7"})
		})
		c.mustBe(t, 200, texts(8, 9))
		if r.calls[0].field(fieldLastEventID) != "7" || r.calls[1].field(fieldLastEventID) != "7" {
			t.Fatalf("the Last-Event-Id of the calls is %q and %q, want the client's 7 in both", r.calls[0].field(fieldLastEventID), r.calls[1].field(fieldLastEventID))
		}
	})
}

func TestDispatcher_Serve_unnumberedEventsAreNotResumed(t *testing.T) {
	withFakeClock(t, func(t *testing.T, r *testHarness) {
		r.makeResumable()
		r.chooser.offers("d1", "d2")
		r.script("d1", streams(1, 2, func(s *scriptedEvents) {
			s.cut = true
			s.events[1] = upstream.Event{Raw: []byte("data: x\n\n")}
		}))
		r.script("d2", streams(3, 4, nil))
		r.ask(nil).mustAbort(t, eventText(1)+"data: x\n\n")
	})
}

// TestDispatcher_Serve_unorderedEventOfResumedStreamIsNotForwarded checks that an event of a resumed stream that cannot be ordered
// relative to those sent is not forwarded. A third worker must resume the stream, or it must be aborted.
func TestDispatcher_Serve_unorderedEventOfResumedStreamIsNotForwarded(t *testing.T) {
	for _, third := range []bool{false, true} {
		withFakeClock(t, func(t *testing.T, r *testHarness) {
			r.makeResumable()
			r.chooser.offers("d1", "d2")
			r.script("d1", streams(1, 3, cut))
			r.script("d2", streams(4, 6, func(s *scriptedEvents) {
				s.events[1] = upstream.Event{Raw: []byte("id: x\ndata: x\n\n"), ID: "x", HasID: true}
			}))
			if third {
				r.chooser.offers("d3")
				r.script("d3", streams(5, 6, nil))
				r.ask(nil).mustBe(t, 200, texts(1, 6))
				return
			}
			r.ask(nil).mustAbort(t, texts(1, 4))
		})
	}
}

func TestDispatcher_Serve_hungResumableStreamContinuesElsewhere(t *testing.T) {
	withFakeClock(t, func(t *testing.T, r *testHarness) {
		r.makeResumable()
		r.chooser.offers("d1", "d2")
		r.script("d1", streams(1, 3, hang))
		r.script("d2", streams(4, 5, nil))
		c := r.ask(nil)
		c.mustBe(t, 200, texts(1, 5))
		if c.took != 30*time.Millisecond+time.Second+20*time.Millisecond { // idle timeout: 5 x 200 ms
			t.Fatalf("the stream took %v, want 1.05s", c.took)
		}
	})
}

func TestDispatcher_Serve_hungStreamIsAwaitedUntilDeadline(t *testing.T) {
	withFakeClock(t, func(t *testing.T, r *testHarness) {
		r.chooser.offers("d1", "d2")
		r.script("d1", streams(1, 3, hang))
		c := r.ask(nil)
		c.mustAbort(t, texts(1, 3))
		if c.took < 3*time.Second || c.took > 3010*time.Millisecond {
			t.Fatalf("the stream took %v, want 3s to 3.01s", c.took)
		}
	})
}

func TestDispatcher_Serve_writeErrorEndsStream(t *testing.T) {
	withFakeClock(t, func(t *testing.T, r *testHarness) {
		r.chooser.offers("d1")
		r.script("d1", streams(1, 50, nil))
		c := &recordingClient{r: r, gone: true}
		r.askAs(c, nil)
		if !c.aborted || c.took > 20*time.Millisecond {
			t.Fatalf("aborted %v after %v, want an abort within 20ms", c.aborted, c.took)
		}
		r.chooser.mustEnd(t, "abandoned")
	})
}

func TestDispatcher_Serve_emptyStreamIsComplete(t *testing.T) {
	withFakeClock(t, func(t *testing.T, r *testHarness) {
		r.chooser.offers("d1")
		r.script("d1", streams(1, 0, nil))
		c := r.ask(nil)
		c.mustBe(t, 200, "")
		if !c.finished {
			t.Fatal("the empty stream was not finished")
		}
	})
}
