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
	withFakeClock(t, func(t *testing.T, h *testHarness) {
		h.chooser.addChoices("d1")
		h.addScripts("d1", streamEvents(1, 5, nil))
		client := h.send(nil)
		client.requireResponse(t, 200, eventTexts(1, 5))
		if !client.finished || len(client.eventTimes) != 5 || h.chooser.firstEvents != 1 {
			t.Fatalf("finished %v, events at %v, %d first events reported; want a finished stream of 5 events and one first event",
				client.finished, client.eventTimes, h.chooser.firstEvents)
		}
		for i := range client.eventTimes {
			if want := client.eventTimes[0] + time.Duration(i)*10*time.Millisecond; client.eventTimes[i] != want {
				t.Fatalf("event %d was forwarded at %v, want %v", i, client.eventTimes[i], want)
			}
		}
		h.chooser.requireResults(t, "done")
	})
}

func TestDispatcher_Serve_truncatedStreamIsAborted(t *testing.T) {
	withFakeClock(t, func(t *testing.T, h *testHarness) {
		h.chooser.addChoices("d1", "d2")
		h.addScripts("d1", streamEvents(1, 2, truncated))
		h.addScripts("d2", streamEvents(3, 4, nil))
		h.send(nil).requireAborted(t, eventTexts(1, 2))
		if h.workersCalled() != "d1 " {
			t.Fatalf("called workers %q, want %q", h.workersCalled(), "d1 ")
		}
		h.chooser.requireResults(t, failedWith(selection.FailureBroken))
	})
}

func TestDispatcher_Serve_streamTruncatedBeforeFirstEventIs502(t *testing.T) {
	withFakeClock(t, func(t *testing.T, h *testHarness) {
		h.chooser.addChoices("d1")
		h.addScripts("d1", streamEvents(1, 0, truncated))
		h.send(nil).requireResponse(t, 502, "")
	})
}

func (h *testHarness) makeResumable() {
	h.route.Resumable = true
	h.setRoute()
}

func TestDispatcher_Serve_resumableStreamContinuesAtOtherWorker(t *testing.T) {
	withFakeClock(t, func(t *testing.T, h *testHarness) {
		h.makeResumable()
		h.chooser.addChoices("d1", "d2")
		h.addScripts("d1", streamEvents(1, 3, truncated))
		h.addScripts("d2", streamEvents(4, 6, nil))
		client := h.send(nil)
		client.requireResponse(t, 200, eventTexts(1, 6))
		if !client.finished || client.fields.Get("Versions") != "d1" {
			t.Fatalf("finished %v, fields %v; want a finished stream with the head of d1", client.finished, client.fields)
		}
		if h.calls[1].field(fieldLastEventID) != "3" || h.calls[0].request.Header.Has(fieldLastEventID) {
			t.Fatalf("the Last-Event-Id of the calls is %q and %q, want none and 3",
				h.calls[0].field(fieldLastEventID), h.calls[1].field(fieldLastEventID))
		}
	})
}

func TestDispatcher_Serve_resumedStreamRepeatsNoEvent(t *testing.T) {
	withFakeClock(t, func(t *testing.T, h *testHarness) {
		h.makeResumable()
		h.chooser.addChoices("d1", "d2")
		h.addScripts("d1", streamEvents(1, 3, truncated))
		h.addScripts("d2", streamEvents(1, 6, nil))
		h.send(nil).requireResponse(t, 200, eventTexts(1, 6))
	})
}

func TestStreamProgress_Unsent_keepsNewEventsWithoutID(t *testing.T) {
	withoutID := upstream.Event{Raw: []byte("data: bare\n\n"), Versions: -1}
	var progress streamProgress
	progress.started = true
	for id := 1; id <= 3; id++ {
		e := numberedEvent(id)
		progress.record(&e)
	}
	progress.beginRun()
	repeated := &upstream.Batch{Events: []upstream.Event{withoutID, numberedEvent(3), withoutID}}
	if got := progress.unsent(repeated); len(got) != 0 {
		t.Fatalf("unsent part of a repeated batch is %q, want none", got)
	}
	extended := &upstream.Batch{Events: []upstream.Event{numberedEvent(4), withoutID}}
	if got := string(progress.unsent(extended)); got != eventText(4)+"data: bare\n\n" {
		t.Fatalf("unsent part of a new batch is %q, want event 4 and the event without ID", got)
	}
	if got := string(progress.unsent(&upstream.Batch{Events: []upstream.Event{withoutID}})); got != "data: bare\n\n" {
		t.Fatalf("unsent part of a batch without IDs is %q, want the event without ID", got)
	}
}

func TestDispatcher_Serve_unresumableStreamIsAborted(t *testing.T) {
	withFakeClock(t, func(t *testing.T, h *testHarness) {
		h.makeResumable()
		h.chooser.addChoices("d1", "d2")
		h.addScripts("d1", streamEvents(1, 3, truncated))
		h.addScripts("d2", rejectCall())
		client := h.send(nil)
		client.requireAborted(t, eventTexts(1, 3))
		if client.responses != 1 {
			t.Fatalf("%d response heads, want 1", client.responses)
		}
	})
}

func TestDispatcher_Serve_errorOfResumedStreamIsNotForwarded(t *testing.T) {
	withFakeClock(t, func(t *testing.T, h *testHarness) {
		h.makeResumable()
		h.chooser.addChoices("d1", "d2")
		h.addScripts("d1", streamEvents(1, 3, truncated))
		h.addScripts("d2", respondWith(500, "worker error", signedFields))
		h.send(nil).requireAborted(t, eventTexts(1, 3))
	})
}

func TestDispatcher_Serve_clientsLastEventIDIsForwarded(t *testing.T) {
	withFakeClock(t, func(t *testing.T, h *testHarness) {
		h.makeResumable()
		h.chooser.addChoices("d1", "d2")
		h.addScripts("d1", streamEvents(1, 0, truncated))
		h.addScripts("d2", streamEvents(8, 9, nil))
		client := h.send(func(request *httpserver.Request) {
			request.Header = append(request.Header, http1.HeaderField{Name: "last-event-id", Value: "7"})
		})
		client.requireResponse(t, 200, eventTexts(8, 9))
		if h.calls[0].field(fieldLastEventID) != "7" || h.calls[1].field(fieldLastEventID) != "7" {
			t.Fatalf("the Last-Event-Id of the calls is %q and %q, want the client's 7 in both",
				h.calls[0].field(fieldLastEventID), h.calls[1].field(fieldLastEventID))
		}
	})
}

func TestDispatcher_Serve_unnumberedEventsAreNotResumed(t *testing.T) {
	withFakeClock(t, func(t *testing.T, h *testHarness) {
		h.makeResumable()
		h.chooser.addChoices("d1", "d2")
		h.addScripts("d1", streamEvents(1, 2, func(s *scriptedEvents) {
			s.truncated = true
			s.events[1] = upstream.Event{Raw: []byte("data: x\n\n")}
		}))
		h.addScripts("d2", streamEvents(3, 4, nil))
		h.send(nil).requireAborted(t, eventText(1)+"data: x\n\n")
	})
}

// TestDispatcher_Serve_unorderedEventOfResumedStreamIsNotForwarded checks that an event of a resumed stream that cannot be ordered
// relative to those sent is not forwarded. A third worker must resume the stream, or it must be aborted.
func TestDispatcher_Serve_unorderedEventOfResumedStreamIsNotForwarded(t *testing.T) {
	for _, third := range []bool{false, true} {
		withFakeClock(t, func(t *testing.T, h *testHarness) {
			h.makeResumable()
			h.chooser.addChoices("d1", "d2")
			h.addScripts("d1", streamEvents(1, 3, truncated))
			h.addScripts("d2", streamEvents(4, 6, func(s *scriptedEvents) {
				s.events[1] = upstream.Event{Raw: []byte("id: x\ndata: x\n\n"), ID: "x", HasID: true}
			}))
			if third {
				h.chooser.addChoices("d3")
				h.addScripts("d3", streamEvents(5, 6, nil))
				h.send(nil).requireResponse(t, 200, eventTexts(1, 6))
				return
			}
			h.send(nil).requireAborted(t, eventTexts(1, 4))
		})
	}
}

func TestDispatcher_Serve_stalledResumableStreamContinuesAtOtherWorker(t *testing.T) {
	withFakeClock(t, func(t *testing.T, h *testHarness) {
		h.makeResumable()
		h.chooser.addChoices("d1", "d2")
		h.addScripts("d1", streamEvents(1, 3, stalled))
		h.addScripts("d2", streamEvents(4, 5, nil))
		client := h.send(nil)
		client.requireResponse(t, 200, eventTexts(1, 5))
		if client.duration != 30*time.Millisecond+time.Second+20*time.Millisecond { // idle timeout: 5 x 200 ms
			t.Fatalf("the stream took %v, want 1.05s", client.duration)
		}
	})
}

func TestDispatcher_Serve_stalledStreamIsAwaitedUntilDeadline(t *testing.T) {
	withFakeClock(t, func(t *testing.T, h *testHarness) {
		h.chooser.addChoices("d1", "d2")
		h.addScripts("d1", streamEvents(1, 3, stalled))
		client := h.send(nil)
		client.requireAborted(t, eventTexts(1, 3))
		if client.duration < 3*time.Second || client.duration > 3010*time.Millisecond {
			t.Fatalf("the stream took %v, want 3s to 3.01s", client.duration)
		}
	})
}

func TestDispatcher_Serve_writeErrorEndsStream(t *testing.T) {
	withFakeClock(t, func(t *testing.T, h *testHarness) {
		h.chooser.addChoices("d1")
		h.addScripts("d1", streamEvents(1, 50, nil))
		client := &recordingClient{harness: h, writesFail: true}
		h.sendAs(client, nil)
		if !client.aborted || client.duration > 20*time.Millisecond {
			t.Fatalf("aborted %v after %v, want an abort within 20ms", client.aborted, client.duration)
		}
		h.chooser.requireResults(t, "abandoned")
	})
}

func TestDispatcher_Serve_emptyStreamIsComplete(t *testing.T) {
	withFakeClock(t, func(t *testing.T, h *testHarness) {
		h.chooser.addChoices("d1")
		h.addScripts("d1", streamEvents(1, 0, nil))
		client := h.send(nil)
		client.requireResponse(t, 200, "")
		if !client.finished {
			t.Fatal("the empty stream was not finished")
		}
	})
}
