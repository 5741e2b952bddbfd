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
		t.Errorf("%v, %v", got, err)
	}
	for _, bad := range []string{"", "5", "0x1", "5x0", "ax1"} {
		if _, err := ParseRates(bad); !errors.Is(err, ErrRates) {
			t.Errorf("%q: %v", bad, err)
		}
	}
}

func TestTrafficResult_Conclude(t *testing.T) {
	result := TrafficResult{Target: Rate{12, 200}}
	for _, rate := range []Rate{{3, 20}, {6, 200}, {12, 200}, {12, 20}} {
		events := float64(rate.Requests * rate.Tokens)
		use := Use{Processor: 1 + 0.5*float64(rate.Requests) + 0.01*events, MemoryMB: float64(rate.Requests)}
		result.Steps = append(result.Steps, TrafficStep{Rate: rate, Windows: []TrafficUse{{Events: events, Proxy: use}}})
	}
	if !result.Conclude() || !near(result.Processor.PerNode, 0.5) || !near(result.Processor.PerWorker, 0.01) {
		t.Fatalf("%+v", result.Processor)
	}
	if !near(result.AtTarget, 31) || result.MostMemory != 12 {
		t.Errorf("at the target %v, memory %v", result.AtTarget, result.MostMemory)
	}
	var text, encoded bytes.Buffer
	result.WriteText(&text)
	if !strings.Contains(text.String(), "31.0") {
		t.Errorf("text: %s", text.String())
	}
	if err := result.WriteJSON(&encoded); err != nil || !json.Valid(encoded.Bytes()) {
		t.Errorf("JSON: %v", err)
	}
	if new(TrafficResult).Conclude() {
		t.Error("nothing was concluded from")
	}
}
