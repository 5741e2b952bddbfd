package roleplanner

import (
	"testing"

	"ospreybend/internal/testkit/golden"
)

// compatibilityRows returns one demand report in which every field of Demand is set.
func compatibilityRows() []golden.Row {
	report := []ServiceDemand{
		{Service: "chat", Demand: Demand{Offered: 1, Started: 2, Prefill: 3, PrefillDone: 4, PrefillTime: 5, Slots: 6, Memory: 7, Transfers: 8}},
		{Service: "code", Demand: Demand{Prefill: 0.25}},
	}
	return []golden.Row{{
		Name: "demand", Value: report,
		Encode: func() ([]byte, error) { return EncodeReport(report) },
		Decode: func(encoded []byte) (any, error) { return DecodeReport(encoded) },
	}}
}

func TestReport_asVersion8782861(t *testing.T) { golden.Check(t, compatibilityRows()) }
