package scalereport

import (
	"bytes"
	"encoding/json"
	"encoding/xml"
	"errors"
	"io"
	"math"
	"strings"
	"testing"
	"time"
)

func near(a, b float64) bool { return math.Abs(a-b) < 1e-6 }

func TestFitTo_nodesAndWorkers(t *testing.T) {
	var observations []Observation
	for _, size := range []Size{{30, 60}, {100, 200}, {360, 600}, {30, 600}, {360, 60}} {
		observations = append(observations, Observation{size, 2 + 0.5*float64(size.Nodes) + 0.1*float64(size.Workers)})
	}
	fit, ok := FitTo(observations)
	if !ok || fit.Together || !near(fit.Base, 2) || !near(fit.PerNode, 0.5) || !near(fit.PerWorker, 0.1) {
		t.Fatalf("fit %+v, %v", fit, ok)
	}
	if value, half := fit.At(Size{1000, 2000}); !near(value, 702) || half > 1e-6 {
		t.Errorf("at 1000 nodes: %v ± %v", value, half)
	}
}

func TestFitTo_proportionalSizes(t *testing.T) {
	fit, ok := FitTo([]Observation{{Size{30, 60}, 31}, {Size{100, 200}, 101}, {Size{360, 600}, 361}})
	if !ok || !fit.Together || !near(fit.PerNode, 1) || !near(fit.Base, 1) || fit.PerWorker != 0 {
		t.Errorf("fit %+v, %v", fit, ok)
	}
	if _, ok := FitTo([]Observation{{Size{30, 60}, 1}, {Size{30, 60}, 2}}); ok {
		t.Error("one size alone was fitted")
	}
	if _, ok := FitTo(nil); ok {
		t.Error("nothing was fitted")
	}
}

// The interval is checked against a textbook line: y = 1, 3, 2, 5 at x = 1, 2, 3, 4.
func TestFit_At_predictionInterval(t *testing.T) {
	fit, _ := FitTo([]Observation{{Size{1, 1}, 1}, {Size{2, 2}, 3}, {Size{3, 3}, 2}, {Size{4, 4}, 5}})
	value, half := fit.At(Size{5, 5})
	// Slope 1.1, intercept 0, s^2 = 2.7/2; at 5: s * sqrt(1 + 1/4 + 2.5^2/5) * t(2).
	want := 4.30 * math.Sqrt(1.35) * math.Sqrt(1+0.25+1.25)
	if !near(value, 5.5) || math.Abs(half-want) > 1e-6 {
		t.Errorf("%v ± %v, want 5.5 ± %v", value, half, want)
	}
	two, _ := FitTo([]Observation{{Size{1, 1}, 1}, {Size{2, 2}, 3}})
	if _, half := two.At(Size{5, 5}); !math.IsNaN(half) {
		t.Errorf("two points have an interval: %v", half)
	}
}

func TestPercentilesOf(t *testing.T) {
	values := make([]float64, 200)
	for i := range values {
		values[len(values)-1-i] = float64(i + 1)
	}
	want := Percentiles{Count: 200, P50: 100, P95: 190, P99: 198, Max: 200}
	if got := PercentilesOf(values); got != want {
		t.Errorf("%+v, want %+v", got, want)
	}
	if got := PercentilesOf(nil); got != (Percentiles{}) {
		t.Errorf("of nothing: %+v", got)
	}
	if got := PercentilesOf([]float64{7}); got.P50 != 7 || got.P99 != 7 {
		t.Errorf("of one: %+v", got)
	}
}

func TestProcessorTime_anyName(t *testing.T) {
	stat := "4711 (a) b) S 1 2 3 4 5 6 7 8 9 10 150 50 0 0 20 0 9 0 100 200 300"
	if got, err := ProcessorTime(stat); err != nil || got != 2*time.Second {
		t.Errorf("%v, %v, want 2s", got, err)
	}
	for _, bad := range []string{"", "1 (x) S 1 2", "1 (x) S 1 2 3 4 5 6 7 8 9 10 x y 0"} {
		if _, err := ProcessorTime(bad); !errors.Is(err, ErrProcessFile) {
			t.Errorf("%q: %v", bad, err)
		}
	}
}

func TestNamed_kilobytes(t *testing.T) {
	got := Named("Name:\tospreyfleet\nVmRSS:\t  20 kB\nvoluntary_ctxt_switches:\t7\nrchar: 12\n\n")
	if len(got) != 3 || got["VmRSS"] != 20480 || got["voluntary_ctxt_switches"] != 7 || got["rchar"] != 12 {
		t.Errorf("%v", got)
	}
}

func TestUseBetween_perSecond(t *testing.T) {
	before := Counters{Processor: time.Second, Read: 1000, Written: 2000, Reads: 1, Writes: 2, Switches: 3}
	after := Counters{Processor: 2 * time.Second, Resident: 3e6, Peak: 4e6, Read: 11000, Written: 4000, Reads: 11, Writes: 22, Switches: 13}
	want := Use{Processor: 10, MemoryMB: 3, PeakMB: 4, ReadKB: 1, WrittenKB: 0.2, Reads: 1, Writes: 2, Switches: 1}
	if got := UseBetween(before, after, 10*time.Second); got != want {
		t.Errorf("%+v, want %+v", got, want)
	}
}

func TestBounds_Check(t *testing.T) {
	need := NeedOf(Size{360, 600}, 3, 1, 3700)
	enough := Bounds(need)
	if err := enough.Check(need); err != nil {
		t.Errorf("enough is not: %v", err)
	}
	for word, short := range map[string]Bounds{
		"half of the machine": {Memory: need.Memory - 1, Descriptors: need.Descriptors, Processes: need.Processes},
		"descriptors":         {Memory: need.Memory, Descriptors: need.Descriptors - 1, Processes: need.Processes},
		"processes":           {Memory: need.Memory, Descriptors: need.Descriptors, Processes: need.Processes - 1},
	} {
		if err := short.Check(need); err == nil || !strings.Contains(err.Error(), word) {
			t.Errorf("%s: %v", word, err)
		}
	}
	if got := BoundsOf(1000, 7); got.Memory != 500 || got.Descriptors != 7 {
		t.Errorf("bounds: %+v", got)
	}
}

func TestParseSizes(t *testing.T) {
	got, err := ParseSizes("30x60, 360x600")
	if err != nil || len(got) != 2 || got[1] != (Size{360, 600}) {
		t.Errorf("%v, %v", got, err)
	}
	for _, bad := range []string{"", "30", "x60", "0x1", "3x-1", "30x60,"} {
		if _, err := ParseSizes(bad); !errors.Is(err, ErrSizes) {
			t.Errorf("%q: %v", bad, err)
		}
	}
}

// example is a result with all kinds of figures.
func example() Result {
	target := Size{360, 600}
	var steps []Step
	for _, size := range []Size{{30, 60}, {100, 200}} {
		step := Step{Size: size, Servers: 3, InForce: Percentiles{Count: 30, P50: 20, P95: 25, P99: 30, Max: 40}}
		for window := range 2 {
			for _, role := range []string{"controlplane", "controlplane", "agent", "proxy"} {
				use := Use{Processor: float64(size.Nodes) / 100, MemoryMB: 20, WrittenKB: float64(size.Nodes)}
				step.Processes = append(step.Processes, ProcessUse{Role: role, Phase: PhaseRest, Window: window, Use: use})
			}
		}
		steps = append(steps, step)
	}
	return Result{Command: "measure <scale>", Steps: steps, Target: target, Trends: Trends(steps, target),
		Cuts: []Cut{{Size: target, Why: "needs more descriptors"}}}
}

func TestTrends_sumOfServers(t *testing.T) {
	for _, trend := range example().Trends {
		if trend.Name == "all keepers: written at rest" && !near(trend.Target, 720) {
			t.Errorf("two keepers of 360 kB/s each are %v", trend.Target)
		}
		if trend.Name == "agent: processor at rest" && !near(trend.Target, 3.6) {
			t.Errorf("an agent's processor is %v", trend.Target)
		}
	}
}

func TestResult_Write(t *testing.T) {
	result := example()
	var encoded bytes.Buffer
	if err := result.WriteJSON(&encoded); err != nil {
		t.Fatal(err)
	}
	var decoded Result
	if err := json.Unmarshal(encoded.Bytes(), &decoded); err != nil || len(decoded.Steps) != 2 {
		t.Errorf("read back: %v, %d steps", err, len(decoded.Steps))
	}
	var text bytes.Buffer
	result.WriteText(&text)
	for _, wanted := range []string{"all keepers: processor at rest", "not played: 360 nodes, 600 workers: needs more"} {
		if !strings.Contains(text.String(), wanted) {
			t.Errorf("no %q in\n%s", wanted, text.String())
		}
	}
	checkSVG(t, result)
}

// checkSVG reports whether a plot is well-formed and shows all points.
func checkSVG(t *testing.T, result Result) {
	t.Helper()
	var plot bytes.Buffer
	if err := result.WriteSVG(&plot); err != nil {
		t.Fatal(err)
	}
	circles := strings.Count(plot.String(), "<circle")
	if circles < 2*2+2*2+2*3 {
		t.Errorf("%d points in the plot", circles)
	}
	for decoder := xml.NewDecoder(&plot); ; {
		if _, err := decoder.Token(); errors.Is(err, io.EOF) {
			return
		} else if err != nil {
			t.Fatalf("the plot is not well-formed: %v", err)
		}
	}
}
