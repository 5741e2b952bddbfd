package scalereport

import (
	"bytes"
	"encoding/json"
	"errors"
	"strings"
	"testing"
)

func TestParseRates(t *testing.T) {
	got, err := ParseRates("5x100, 12x207")
	if err != nil || len(got) != 2 || got[1] != (Rate{12, 207}) {
		t.Errorf("ParseRates: got %v, %v, want two rates, the second 12x207", got, err)
	}
	for _, bad := range []string{"", "5", "0x1", "5x0", "ax1"} {
		if _, err := ParseRates(bad); !errors.Is(err, ErrRates) {
			t.Errorf("ParseRates(%q): got error %v, want ErrRates", bad, err)
		}
	}
}

func TestTrafficResult_FitProcessor(t *testing.T) {
	result := TrafficResult{Target: Rate{12, 200}}
	for _, rate := range []Rate{{3, 20}, {6, 200}, {12, 200}, {12, 20}} {
		events := float64(rate.Requests * rate.Tokens)
		use := Usage{Processor: 1 + 0.5*float64(rate.Requests) + 0.01*events, MemoryMB: float64(rate.Requests)}
		result.Steps = append(result.Steps, TrafficStep{Rate: rate, Windows: []TrafficUsage{{Events: events, Proxy: use}}})
	}
	if !result.FitProcessor() || !approxEqual(result.Processor.PerNode, 0.5) || !approxEqual(result.Processor.PerWorker, 0.01) {
		t.Fatalf("FitProcessor: got fit %+v, want 0.5 per request and 0.01 per event", result.Processor)
	}
	if !approxEqual(result.AtTarget, 31) || result.MaxMemoryMB != 12 {
		t.Errorf("at the target rate: got %v%% of a core, want 31; memory %v MB, want 12", result.AtTarget, result.MaxMemoryMB)
	}
	var text, encoded bytes.Buffer
	result.WriteText(&text)
	if !strings.Contains(text.String(), "31.0") {
		t.Errorf("WriteText: no 31.0 in %s", text.String())
	}
	if err := result.WriteJSON(&encoded); err != nil || !json.Valid(encoded.Bytes()) {
		t.Errorf("WriteJSON: error %v, want valid JSON", err)
	}
	if new(TrafficResult).FitProcessor() {
		t.Error("FitProcessor without steps: got ok, want false")
	}
}
