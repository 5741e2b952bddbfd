package roleplanner

import (
	"errors"
	"math"
	"reflect"
	"testing"
	"time"
)

func TestEncodeReport_roundTrip(t *testing.T) {
	for _, report := range [][]ServiceDemand{
		{},
		{{Service: "a", Demand: Demand{Prefill: 1.5, Slots: 0.25, Memory: 3, Transfers: 1e-9}}, {Service: "b"}},
	} {
		encoded, err := EncodeReport(report)
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := DecodeReport(encoded)
		if err != nil || !reflect.DeepEqual(decoded, report) {
			t.Fatalf("decoded report %+v, error %v; want %+v", decoded, err, report)
		}
		if _, err := DecodeReport(append(encoded, 0)); !errors.Is(err, ErrInvalidReport) {
			t.Fatalf("decode a report with a trailing byte: error %v, want %v", err, ErrInvalidReport)
		}
	}
}

func TestDecodeReport_rejectsInvalidReports(t *testing.T) {
	for _, invalid := range []ServiceDemand{
		{Service: "", Demand: Demand{Prefill: 1}},
		{Service: "a", Demand: Demand{Prefill: -1}},
		{Service: "a", Demand: Demand{Slots: math.NaN()}},
		{Service: "a", Demand: Demand{Transfers: math.Inf(1)}},
	} {
		encoded, err := EncodeReport([]ServiceDemand{invalid})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := DecodeReport(encoded); !errors.Is(err, ErrInvalidReport) {
			t.Errorf("decode %+v: error %v, want %v", invalid, err, ErrInvalidReport)
		}
	}
}

func TestDemandTable_Sum_ignoresExpiredReports(t *testing.T) {
	table := NewDemandTable(2 * time.Second)
	table.Put(0, "one", []ServiceDemand{{"a", Demand{Prefill: 1}}, {"b", Demand{Slots: 1}}})
	table.Put(time.Second, "two", []ServiceDemand{{"a", Demand{Prefill: 2}}})
	if sum := table.Sum(time.Second); sum["a"].Prefill != 3 || sum["b"].Slots != 1 {
		t.Fatalf("sum at 1s is %+v, want prefill 3 for a and slots 1 for b", sum)
	}
	table.Put(2*time.Second, "two", []ServiceDemand{{"a", Demand{Prefill: 5}}})
	if sum := table.Sum(2500 * time.Millisecond); sum["a"].Prefill != 5 || len(sum) != 1 {
		t.Fatalf("sum at 2.5s, after the report of source one expired, is %+v, want only prefill 5 for a", sum)
	}
}

func TestDemand_Since_afterRestart(t *testing.T) {
	if since := (Demand{Prefill: 3, Slots: 1}).Since(Demand{Prefill: 1, Slots: 1}); since != (Demand{Prefill: 2}) {
		t.Fatalf("increase of the totals is %+v, want prefill 2", since)
	}
	if since := (Demand{Prefill: 1}).Since(Demand{Prefill: 3}); since != (Demand{Prefill: 1}) {
		t.Fatalf("increase after a reset of the totals is %+v, want prefill 1", since)
	}
}
