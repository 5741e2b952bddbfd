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
