package proxy

import (
	"testing"
	"time"

	"ospreybend/internal/controlplane/roleplanner"
)

func TestDemandReporter_report(t *testing.T) {
	var reporter demandReporter
	start := time.Now()
	total := func(read float64) map[string]roleplanner.Demand {
		return map[string]roleplanner.Demand{"s": {Prefill: read}}
	}
	if _, tell := reporter.report(start, total(5)); tell {
		t.Fatal("a total without an earlier one was reported")
	}
	list, tell := reporter.report(start.Add(2*time.Second), total(9))
	if !tell || len(list) != 1 || list[0].Demand.Prefill != 2 {
		t.Fatalf("%+v", list)
	}
	if list, tell := reporter.report(start.Add(3*time.Second), total(9)); !tell || len(list) != 0 {
		t.Fatalf("the end of the demand was not reported: %+v", list)
	}
	if _, tell := reporter.report(start.Add(4*time.Second), total(9)); tell {
		t.Fatal("an empty report was sent twice")
	}
	if list, _ := reporter.report(start.Add(5*time.Second), total(1)); len(list) != 1 || list[0].Demand.Prefill != 1 {
		t.Fatalf("a total that started again: %+v", list)
	}
}
