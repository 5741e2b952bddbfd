package dispatch

import (
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// TestDispatcher_Serve_logsFirstEventOfLastRun truncates a stream after two events and delays the first event of the worker that resumes it.
// The debug log must have the time to the first event of the resuming run.
func TestDispatcher_Serve_logsFirstEventOfLastRun(t *testing.T) {
	const (
		wait = 50 * time.Millisecond
		gap  = 10 * time.Millisecond // before each event, including the first
	)
	withFakeClock(t, func(t *testing.T, h *testHarness) {
		h.makeResumable()
		h.addScripts("d1", streamEvents(1, 2, truncated))
		h.addScripts("d2", delayed(wait, streamEvents(3, 6, func(s *scriptedEvents) { s.gap = gap })))
		h.chooser.addChoices("d1", "d2")
		core, logs := observer.New(zap.DebugLevel)
		h.dispatcher.log = zap.New(core)
		h.send(nil)
		finished := logs.FilterMessage("request finished").All()
		if len(finished) != 1 || finished[0].ContextMap()["firstEvent"] != wait+gap {
			t.Errorf("logged %v, want one entry with firstEvent %v", finished, wait+gap)
		}
	})
}
