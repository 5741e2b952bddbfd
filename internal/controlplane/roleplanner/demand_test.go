package roleplanner

import (
	"errors"
	"math"
	"reflect"
	"testing"
	"time"
)

func TestReportsSurviveTheirEncoding(t *testing.T) {
	for _, report := range [][]ServiceDemand{
		{},
		{{Service: "a", Demand: Demand{Read: 1.5, Slots: 0.25, Memory: 3, Moves: 1e-9}}, {Service: "b"}},
	} {
		encoded, err := EncodeReport(report)
		if err != nil {
			t.Fatal(err)
		}
		read, err := DecodeReport(encoded)
		if err != nil || !reflect.DeepEqual(read, report) {
			t.Fatalf("%+v became %+v: %v", report, read, err)
		}
		if _, err := DecodeReport(append(encoded, 0)); !errors.Is(err, ErrReport) {
			t.Fatalf("bytes after a report: %v", err)
		}
	}
}

func TestReportsThatCannotBeAreRefused(t *testing.T) {
	for _, wrong := range []ServiceDemand{
		{Service: "", Demand: Demand{Read: 1}},
		{Service: "a", Demand: Demand{Read: -1}},
		{Service: "a", Demand: Demand{Slots: math.NaN()}},
		{Service: "a", Demand: Demand{Moves: math.Inf(1)}},
	} {
		encoded, err := EncodeReport([]ServiceDemand{wrong})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := DecodeReport(encoded); !errors.Is(err, ErrReport) {
			t.Errorf("%+v: %v", wrong, err)
		}
	}
}

func TestTheLedgerAddsUpWhatStillCounts(t *testing.T) {
	ledger := NewLedger(2 * time.Second)
	ledger.Put(0, "one", []ServiceDemand{{"a", Demand{Read: 1}}, {"b", Demand{Slots: 1}}})
	ledger.Put(time.Second, "two", []ServiceDemand{{"a", Demand{Read: 2}}})
	if sum := ledger.Sum(time.Second); sum["a"].Read != 3 || sum["b"].Slots != 1 {
		t.Fatal(sum)
	}
	ledger.Put(2*time.Second, "two", []ServiceDemand{{"a", Demand{Read: 5}}})
	if sum := ledger.Sum(2500 * time.Millisecond); sum["a"].Read != 5 || len(sum) != 1 {
		t.Fatal(sum)
	}
}

func TestASumThatBeganAnewCountsWhole(t *testing.T) {
	if since := (Demand{Read: 3, Slots: 1}).Since(Demand{Read: 1, Slots: 1}); since != (Demand{Read: 2}) {
		t.Fatal(since)
	}
	if since := (Demand{Read: 1}).Since(Demand{Read: 3}); since != (Demand{Read: 1}) {
		t.Fatal(since)
	}
}
