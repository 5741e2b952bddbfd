package dispatch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"ospreybend/internal/controlplane/configuration"
	"ospreybend/internal/dataplane/selection"
	"ospreybend/internal/dataplane/upstream"
)

// ordinaryPause is how long a worker may preempt a stream: longer than the idle timeout of a test route's stream.
const ordinaryPause = 1400 * time.Millisecond

// TestDispatcher_Serve_pausedCallWithoutSuccessor guards against calls that are canceled because their worker pauses though no other worker
// would take the request: the client then lost an answer that the worker was still at work on.
func TestDispatcher_Serve_pausedCallWithoutSuccessor(t *testing.T) {
	only := func(text string) func(*testHarness) { return func(h *testHarness) { h.chooser.addChoices(text) } }
	for name, c := range map[string]struct {
		choose func(*testHarness)
		change func(*testHarness)
		first  script
		worker string
		want   string
	}{
		"no other worker of the stage":   {only("d1"), nil, streamEvents(1, 9, pausedBefore("5")), "d1", eventTexts(1, 9)},
		"no first event":                 {only("d1"), nil, streamEvents(1, 9, pausedBefore("1")), "d1", eventTexts(1, 9)},
		"the other worker sheds load":    {admitOnce, nil, streamEvents(1, 9, pausedBefore("5")), "d1", eventTexts(1, 9)},
		"no attempt left":                {only2, func(h *testHarness) { h.route.MaxAttempts = 1 }, streamEvents(1, 9, pausedBefore("5")), "d1", eventTexts(1, 9)},
		"the other worker is full":       {onlyFull2, func(h *testHarness) { h.route.MaxAttempts = 2 }, streamEvents(1, 9, pausedBefore("5")), "d1", eventTexts(1, 9)},
		"a stream that can't be resumed": {only2, nil, streamEvents(1, 9, unnumberedAndPaused), "d1", eventTexts(1, 4) + "data: y\n\n" + eventTexts(5, 9)},
		"an idempotent call":             {only("d1"), func(h *testHarness) { h.route.Type = configuration.Idempotent }, delayed(2*time.Second, respondWith(200, "late", signedFields)), "d1", "late"},
	} {
		t.Run(name, func(t *testing.T) {
			withFakeClock(t, func(t *testing.T, h *testHarness) {
				h.route.Resumable = true
				if c.change != nil {
					c.change(h)
				}
				h.setRoute()
				c.choose(h)
				h.addScripts(c.worker, c.first)
				client := h.send(nil)
				if !client.finished || client.aborted || client.body != c.want || h.workersCalled() != c.worker+" " {
					t.Fatalf("finished %v, aborted %v, workers %s, body %q, want the whole answer of %s: %q",
						client.finished, client.aborted, h.workersCalled(), client.body, c.worker, c.want)
				}
			})
		})
	}
}

func only2(h *testHarness) { h.chooser.addChoices("d1", "d2") }

// onlyFull2 offers a second worker that would reject the request.
func onlyFull2(h *testHarness) {
	only2(h)
	h.chooser.full = []string{"d2"}
}

// admitOnce has all workers reject the request once it has been sent.
func admitOnce(h *testHarness) {
	h.chooser.chooseFunc = func(excluded []string) (selection.Choice, bool) {
		if len(excluded) > 0 {
			return selection.Choice{Run: testWorker("d2")}, false
		}
		return selection.Choice{Run: testWorker("d1"), TimeToFirstEvent: 100 * time.Millisecond}, true
	}
}

// unnumberedAndPaused inserts an event without an ID before the fifth one, which the stream pauses before.
func unnumberedAndPaused(s *scriptedEvents) {
	unnumbered := upstream.Event{Raw: []byte("data: y\n\n"), Versions: -1}
	s.events = append(s.events[:4:4], append([]upstream.Event{unnumbered}, s.events[4:]...)...)
	pausedBefore("5")(s)
}

// TestDispatcher_Serve_pausedPrefillWithoutSuccessor checks that a prefill is not canceled if nobody would take the request.
func TestDispatcher_Serve_pausedPrefillWithoutSuccessor(t *testing.T) {
	withFakeClock(t, func(t *testing.T, h *testHarness) {
		h.chooser.addChoices("p1>d1")
		h.addScripts("p1", delayed(ordinaryPause, respondWithHandle("h1")))
		h.addScripts("d1", streamEvents(1, 3, nil))
		if client := h.send(nil); client.status != 200 || h.workersCalled() != "p1 d1 " {
			t.Fatalf("status %d by workers %s, want 200 by p1 d1", client.status, h.workersCalled())
		}
	})
}

// TestDispatcher_Serve_stalledStreamMovesToLaterSuccessor has another worker become available only after the stream has stalled for a time.
// It must then resume the stream, even if the load would be shed a moment later.
func TestDispatcher_Serve_stalledStreamMovesToLaterSuccessor(t *testing.T) {
	withFakeClock(t, func(t *testing.T, h *testHarness) {
		h.route.Resumable = true
		h.setRoute()
		const availableAfter = 1500 * time.Millisecond
		checks := 0
		h.chooser.chooseFunc = func(excluded []string) (selection.Choice, bool) {
			if len(excluded) == 0 {
				return selection.Choice{Run: testWorker("d1"), TimeToFirstEvent: 100 * time.Millisecond}, true
			}
			checks++
			return selection.Choice{Run: testWorker("d2"), TimeToFirstEvent: 100 * time.Millisecond}, h.now() > 10*time.Second+availableAfter && checks%2 == 0
		}
		h.addScripts("d1", streamEvents(1, 4, stalled))
		h.addScripts("d2", streamEvents(5, 9, nil))
		client := h.send(nil)
		if !client.finished || client.body != eventTexts(1, 9) || h.workersCalled() != "d1 d2 " {
			t.Fatalf("finished %v, workers %s, body %q, want the stream resumed by d2", client.finished, h.workersCalled(), client.body)
		}
	})
}

// TestDispatcher_Serve_stalledStreamAsksFullWorkerWithAttemptsLeft has a stream move to a worker that may be full while an attempt is left for
// another one.
func TestDispatcher_Serve_stalledStreamAsksFullWorkerWithAttemptsLeft(t *testing.T) {
	withFakeClock(t, func(t *testing.T, h *testHarness) {
		h.route.Resumable = true
		h.route.MaxAttempts = 3
		h.setRoute()
		onlyFull2(h)
		h.chooser.addChoices("d3")
		h.addScripts("d1", streamEvents(1, 4, stalled))
		h.addScripts("d2", respondWith(503, "", notExecutedFields))
		h.addScripts("d3", streamEvents(5, 9, nil))
		client := h.send(nil)
		if !client.finished || client.body != eventTexts(1, 9) || h.workersCalled() != "d1 d2 d3 " {
			t.Fatalf("finished %v, workers %s, body %q, want the stream resumed by d3", client.finished, h.workersCalled(), client.body)
		}
	})
}

// TestIdleWatcher_pauseDuringCheck has the worker send something while it is decided whether its call is canceled.
func TestIdleWatcher_pauseDuringCheck(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		checked := make(chan *idleWatcher, 1)
		watcher := newIdleWatcher(context.Background(), time.Second, func() bool { (<-checked).pause(); return true })
		defer watcher.stop()
		checked <- watcher
		time.Sleep(2 * time.Second)
		synctest.Wait()
		if watcher.timedOut() {
			t.Fatal("the call is canceled though its worker has sent something")
		}
	})
}
