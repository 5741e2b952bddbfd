package proxy

import (
	"testing"
	"time"

	"ospreybend/internal/controlplane/roleplanner"
)

func TestDemandReporter_report(t *testing.T) {
	var reporter demandReporter
	start := time.Now()
	total := func(prefill float64) map[string]roleplanner.Demand {
		return map[string]roleplanner.Demand{"s": {Prefill: prefill}}
	}
	if _, shouldSend := reporter.report(start, total(5)); shouldSend {
		t.Fatal("the first total was reported, although there is no earlier one to compute a rate from")
	}
	rates, shouldSend := reporter.report(start.Add(2*time.Second), total(9))
	if !shouldSend || len(rates) != 1 || rates[0].Demand.Prefill != 2 {
		t.Fatalf("after a rise by 4 within 2 s: send %v, rates %+v; want one rate of 2 to be sent", shouldSend, rates)
	}
	if rates, shouldSend := reporter.report(start.Add(3*time.Second), total(9)); !shouldSend || len(rates) != 0 {
		t.Fatalf("after the demand ended: send %v, rates %+v; want an empty report to be sent", shouldSend, rates)
	}
	if _, shouldSend := reporter.report(start.Add(4*time.Second), total(9)); shouldSend {
		t.Fatal("a second empty report was sent")
	}
	if rates, _ := reporter.report(start.Add(5*time.Second), total(1)); len(rates) != 1 || rates[0].Demand.Prefill != 1 {
		t.Fatalf("after the total restarted at 1: rates %+v, want one rate of 1", rates)
	}
}
