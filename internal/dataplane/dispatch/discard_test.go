package dispatch

import (
	"slices"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"ospreybend/internal/dataplane/upstream"
)

// TestDispatcher_Serve_discardedResponsesAreCounted makes the dispatcher discard a worker's response for each reason but DiscardSlow.
// Only that reason may be counted, once, and the debug log must name it.
func TestDispatcher_Serve_discardedResponsesAreCounted(t *testing.T) {
	unordered := func(s *scriptedEvents) {
		s.events[1] = upstream.Event{Raw: []byte("id: x\ndata: x\n\n"), ID: "x", HasID: true}
	}
	for _, c := range []struct {
		reason    DiscardReason
		resumable bool
		scripts   []script
		broken    int64 // DiscardBroken count of the earlier run, without which no stream is resumed
	}{
		{reason: DiscardInvalid, scripts: []script{respondWith(200, "unsigned", nil)}},
		{reason: DiscardStatus, scripts: []script{respondWith(429, "", signedFields)}},
		{reason: DiscardBroken, scripts: []script{streamEvents(1, 2, truncated)}},
		{reason: DiscardDeadline, scripts: []script{hangUntilCanceled()}},
		{reason: DiscardMidStream, resumable: true, scripts: []script{streamEvents(1, 2, truncated), respondWith(200, "whole", signedFields)}, broken: 1},
		{reason: DiscardUnordered, resumable: true, scripts: []script{streamEvents(1, 3, truncated), streamEvents(4, 6, unordered)}, broken: 1},
	} {
		withFakeClock(t, func(t *testing.T, h *testHarness) {
			if c.resumable {
				h.makeResumable()
			}
			names := []string{"d1", "d2"}[:len(c.scripts)]
			for i, name := range names {
				h.addScripts(name, c.scripts[i])
			}
			h.chooser.addChoices(names...)
			core, logs := observer.New(zap.DebugLevel)
			h.dispatcher.log = zap.New(core)
			h.send(nil)
			var want [NumDiscardReasons]int64
			want[DiscardBroken] = c.broken
			want[c.reason]++
			if got := h.dispatcher.Counts().Discarded; got != want {
				t.Errorf("%v: discard counts are %v, want %v", c.reason, got, want)
			}
			finished := logs.FilterMessage("request finished").All()
			if len(finished) != 1 || !hasReason(finished[0].ContextMap()["discarded"], c.reason) {
				t.Errorf("%v: logged %v, want one entry with this reason", c.reason, finished)
			}
		})
	}
}

// hasReason reports whether the logged list of reasons includes reason.
func hasReason(logged any, reason DiscardReason) bool {
	reasons, _ := logged.([]any)
	return slices.Contains(reasons, any(reason.String()))
}

// TestDispatcher_Serve_forwardedResponsesAreNotDiscarded checks that a success, a worker's 500, the rejection of a run and a complete stream
// do not count as discarded responses.
func TestDispatcher_Serve_forwardedResponsesAreNotDiscarded(t *testing.T) {
	for _, response := range []script{respondWith(200, "x", signedFields), respondWith(500, "worker error", signedFields), rejectCall(), streamEvents(1, 3, nil)} {
		withFakeClock(t, func(t *testing.T, h *testHarness) {
			h.chooser.addChoices("d1")
			h.addScripts("d1", response)
			h.send(nil)
			if got := h.dispatcher.Counts().Discarded; got != [NumDiscardReasons]int64{} {
				t.Errorf("discard counts are %v, want none", got)
			}
		})
	}
}
