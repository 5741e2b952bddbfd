package catchupbench

import (
	"strings"
	"testing"
	"time"
)

// catchUpBound is the limit catchUpS of the operators' documents.
const catchUpBound = 4 * time.Second

// TestRun_membersCatchUpWithinTheBound is a short version of "inference-router measure catchup".
func TestRun_membersCatchUpWithinTheBound(t *testing.T) {
	steps, err := Run(t.Context(), Plan{
		Directory: t.TempDir(), Routes: 450, Rate: 30, ReplaceEvery: 10, Limit: 20 * time.Second,
		Offline: []time.Duration{100 * time.Millisecond, time.Second},
	})
	if err != nil {
		t.Fatal(err)
	}
	result := Result{Command: "short", Steps: steps}
	for _, step := range steps {
		t.Log(step)
	}
	if len(steps) != 2*len(ReturnModes()) || result.Slowest() > catchUpBound {
		t.Errorf("got %d steps, the slowest caught up after %v, want %d steps and at most %v", len(steps), result.Slowest(), 2*len(ReturnModes()), catchUpBound)
	}
	var plot strings.Builder
	if err := result.WriteSVG(&plot); err != nil || !strings.HasSuffix(plot.String(), "</svg>\n") {
		t.Errorf("WriteSVG returned error %v and wrote %d bytes, want a complete SVG document", err, plot.Len())
	}
}

// TestRun_manySmallChangesOfALargeConfiguration guards against members that need longer than the bound to apply the small changes
// that they have missed, since each of them cost work in proportion to all routes.
func TestRun_manySmallChangesOfALargeConfiguration(t *testing.T) {
	const changes, rate = 900, 30
	steps, err := Run(t.Context(), Plan{
		Directory: t.TempDir(), Routes: 9000, Rate: rate, ReplaceEvery: 10 * changes, Limit: 20 * time.Second,
		Offline: []time.Duration{changes / rate * time.Second},
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, step := range steps {
		t.Log(step)
		if step.MissedChanges != changes || step.CatchUpTime > catchUpBound || step.TimeToVoter > catchUpBound {
			t.Errorf("%s: caught up with %d changes after %v and was a voter after %v, want %d changes and at most %v",
				step.Mode, step.MissedChanges, step.CatchUpTime, step.TimeToVoter, changes, catchUpBound)
		}
	}
}
