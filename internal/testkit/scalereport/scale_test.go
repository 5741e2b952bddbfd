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

func approxEqual(a, b float64) bool { return math.Abs(a-b) < 1e-6 }

func TestFitObservations_nodesAndWorkers(t *testing.T) {
	var observations []Observation
	for _, size := range []Size{{30, 60}, {100, 200}, {360, 600}, {30, 600}, {360, 60}} {
		observations = append(observations, Observation{size, 2 + 0.5*float64(size.Nodes) + 0.1*float64(size.Workers)})
	}
	fit, ok := FitObservations(observations)
	if !ok || fit.Together || !approxEqual(fit.Base, 2) || !approxEqual(fit.PerNode, 0.5) || !approxEqual(fit.PerWorker, 0.1) {
		t.Fatalf("FitObservations: got %+v, %v, want 2 + 0.5 per node + 0.1 per worker", fit, ok)
	}
	if value, half := fit.At(Size{1000, 2000}); !approxEqual(value, 702) || half > 1e-6 {
		t.Errorf("At 1000 nodes, 2000 workers: got %v ± %v, want 702 ± 0", value, half)
	}
}

func TestFitObservations_proportionalSizes(t *testing.T) {
	fit, ok := FitObservations([]Observation{{Size{30, 60}, 31}, {Size{100, 200}, 101}, {Size{360, 600}, 361}})
	if !ok || !fit.Together || !approxEqual(fit.PerNode, 1) || !approxEqual(fit.Base, 1) || fit.PerWorker != 0 {
		t.Errorf("FitObservations of proportional sizes: got %+v, %v, want 1 + 1 per node, Together", fit, ok)
	}
	if _, ok := FitObservations([]Observation{{Size{30, 60}, 1}, {Size{30, 60}, 2}}); ok {
		t.Error("FitObservations of two observations at the same size: got ok, want false")
	}
	if _, ok := FitObservations(nil); ok {
		t.Error("FitObservations without observations: got ok, want false")
	}
}

// The prediction interval must match a computation by hand: y = 1, 3, 2, 5 at x = 1, 2, 3, 4.
func TestFit_At_predictionInterval(t *testing.T) {
	fit, _ := FitObservations([]Observation{{Size{1, 1}, 1}, {Size{2, 2}, 3}, {Size{3, 3}, 2}, {Size{4, 4}, 5}})
	value, half := fit.At(Size{5, 5})
	// Slope 1.1, intercept 0, s^2 = 2.7/2; at 5: s * sqrt(1 + 1/4 + 2.5^2/5) * t(2).
	want := 4.30 * math.Sqrt(1.35) * math.Sqrt(1+0.25+1.25)
	if !approxEqual(value, 5.5) || math.Abs(half-want) > 1e-6 {
		t.Errorf("At size 5: got %v ± %v, want 5.5 ± %v", value, half, want)
	}
	two, _ := FitObservations([]Observation{{Size{1, 1}, 1}, {Size{2, 2}, 3}})
	if _, half := two.At(Size{5, 5}); !math.IsNaN(half) {
		t.Errorf("half width of a fit to two points: got %v, want NaN", half)
	}
}

func TestPercentilesOf(t *testing.T) {
	values := make([]float64, 200)
	for i := range values {
		values[len(values)-1-i] = float64(i + 1)
	}
	want := Percentiles{Count: 200, P50: 100, P95: 190, P99: 198, Max: 200}
	if got := PercentilesOf(values); got != want {
		t.Errorf("PercentilesOf 1 to 200: got %+v, want %+v", got, want)
	}
	if got := PercentilesOf(nil); got != (Percentiles{}) {
		t.Errorf("PercentilesOf(nil): got %+v, want zeros", got)
	}
	if got := PercentilesOf([]float64{7}); got.P50 != 7 || got.P99 != 7 {
		t.Errorf("PercentilesOf one value 7: got %+v, want 7", got)
	}
}

func TestProcessorTime_anyName(t *testing.T) {
	stat := "4711 (a) b) S 1 2 3 4 5 6 7 8 9 10 150 50 0 0 20 0 9 0 100 200 300"
	if got, err := ProcessorTime(stat); err != nil || got != 2*time.Second {
		t.Errorf("ProcessorTime: got %v, %v, want 2s", got, err)
	}
	for _, bad := range []string{"", "1 (x) S 1 2", "1 (x) S 1 2 3 4 5 6 7 8 9 10 x y 0"} {
		if _, err := ProcessorTime(bad); !errors.Is(err, ErrProcessFile) {
			t.Errorf("ProcessorTime(%q): got error %v, want ErrProcessFile", bad, err)
		}
	}
}

func TestParseNamedNumbers_kilobytes(t *testing.T) {
	got := ParseNamedNumbers("Name:\tospreyfleet\nVmRSS:\t  20 kB\nvoluntary_ctxt_switches:\t7\nrchar: 12\n\n")
	if len(got) != 3 || got["VmRSS"] != 20480 || got["voluntary_ctxt_switches"] != 7 || got["rchar"] != 12 {
		t.Errorf("ParseNamedNumbers: got %v, want VmRSS 20480, voluntary_ctxt_switches 7, rchar 12", got)
	}
}

func TestUsageBetween_perSecond(t *testing.T) {
	before := Counters{Processor: time.Second, Read: 1000, Written: 2000, Reads: 1, Writes: 2, Switches: 3}
	after := Counters{Processor: 2 * time.Second, Resident: 3e6, Peak: 4e6, Read: 11000, Written: 4000, Reads: 11, Writes: 22, Switches: 13}
	want := Usage{Processor: 10, MemoryMB: 3, PeakMB: 4, ReadKB: 1, WrittenKB: 0.2, Reads: 1, Writes: 2, Switches: 1}
	if got := UsageBetween(before, after, 10*time.Second); got != want {
		t.Errorf("UsageBetween: got %+v, want %+v", got, want)
	}
}

func TestBounds_Check(t *testing.T) {
	need := EstimateNeed(Size{360, 600}, 3, 1, 3700)
	enough := Bounds(need)
	if err := enough.Check(need); err != nil {
		t.Errorf("Check with bounds equal to the need: %v", err)
	}
	for word, short := range map[string]Bounds{
		"half of the machine": {Memory: need.Memory - 1, Descriptors: need.Descriptors, Processes: need.Processes},
		"descriptors":         {Memory: need.Memory, Descriptors: need.Descriptors - 1, Processes: need.Processes},
		"processes":           {Memory: need.Memory, Descriptors: need.Descriptors, Processes: need.Processes - 1},
	} {
		if err := short.Check(need); err == nil || !strings.Contains(err.Error(), word) {
			t.Errorf("Check with too few %s: got error %v, want one with that text", word, err)
		}
	}
	if got := NewBounds(1000, 7); got.Memory != 500 || got.Descriptors != 7 {
		t.Errorf("NewBounds(1000, 7): got %+v, want memory 500, descriptors 7", got)
	}
}

func TestParseSizes(t *testing.T) {
	got, err := ParseSizes("30x60, 360x600")
	if err != nil || len(got) != 2 || got[1] != (Size{360, 600}) {
		t.Errorf("ParseSizes: got %v, %v, want two sizes, the second 360x600", got, err)
	}
	for _, bad := range []string{"", "30", "x60", "0x1", "3x-1", "30x60,"} {
		if _, err := ParseSizes(bad); !errors.Is(err, ErrSizes) {
			t.Errorf("ParseSizes(%q): got error %v, want ErrSizes", bad, err)
		}
	}
}

// exampleResult returns a result with two steps, trends and a skipped size.
func exampleResult() Result {
	target := Size{360, 600}
	var steps []Step
	for _, size := range []Size{{30, 60}, {100, 200}} {
		step := Step{Size: size, Servers: 3, ChangeAtAgents: Percentiles{Count: 30, P50: 20, P95: 25, P99: 30, Max: 40}}
		for window := range 2 {
			for _, role := range []string{"controlplane", "controlplane", "agent", "proxy"} {
				use := Usage{Processor: float64(size.Nodes) / 100, MemoryMB: 20, WrittenKB: float64(size.Nodes)}
				step.Processes = append(step.Processes, ProcessUsage{Role: role, Phase: PhaseIdle, Window: window, Usage: use})
			}
		}
		steps = append(steps, step)
	}
	return Result{Command: "measure <scale>", Steps: steps, Target: target, Trends: Trends(steps, target),
		Skipped: []SkippedSize{{Size: target, Reason: "needs more descriptors"}}}
}

func TestTrends_sumOfServers(t *testing.T) {
	for _, trend := range exampleResult().Trends {
		if trend.Name == "all keepers: written at rest" && !approxEqual(trend.Target, 720) {
			t.Errorf("sum for two control plane servers of 360 kB/s each: got %v, want 720", trend.Target)
		}
		if trend.Name == "agent: processor at rest" && !approxEqual(trend.Target, 3.6) {
			t.Errorf("processor of an agent: got %v, want 3.6", trend.Target)
		}
	}
}

func TestResult_Write(t *testing.T) {
	result := exampleResult()
	var encoded bytes.Buffer
	if err := result.WriteJSON(&encoded); err != nil {
		t.Fatal(err)
	}
	var decoded Result
	if err := json.Unmarshal(encoded.Bytes(), &decoded); err != nil || len(decoded.Steps) != 2 {
		t.Errorf("decode the written JSON: error %v, %d steps, want 2", err, len(decoded.Steps))
	}
	var text bytes.Buffer
	result.WriteText(&text)
	for _, wanted := range []string{"all keepers: processor at rest", "skipped: 360 nodes, 600 workers: needs more"} {
		if !strings.Contains(text.String(), wanted) {
			t.Errorf("WriteText: no %q in\n%s", wanted, text.String())
		}
	}
	checkSVG(t, result)
}

// checkSVG fails the test unless the plot is well-formed XML and has all points.
func checkSVG(t *testing.T, result Result) {
	t.Helper()
	var plot bytes.Buffer
	if err := result.WriteSVG(&plot); err != nil {
		t.Fatal(err)
	}
	circles := strings.Count(plot.String(), "<circle")
	if circles < 2*2+2*2+2*3 {
		t.Errorf("WriteSVG: got %d circles, want at least 14", circles)
	}
	for decoder := xml.NewDecoder(&plot); ; {
		if _, err := decoder.Token(); errors.Is(err, io.EOF) {
			return
		} else if err != nil {
			t.Fatalf("WriteSVG: not well-formed XML: %v", err)
		}
	}
}
