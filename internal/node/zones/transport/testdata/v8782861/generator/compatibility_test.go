package link

import (
	"encoding/json"
	"testing"
	"time"

	"ospreybend/internal/fleet/evidence"
	"ospreybend/internal/fleet/follow"
	"ospreybend/internal/fleet/orders"
	"ospreybend/internal/fleet/voter"
	"ospreybend/internal/testkit/golden"
)

// bodyRow is a row of the body of a call or of its answer.
func bodyRow[T any](name string, value T) golden.Row {
	return golden.Row{
		Name: name, Value: value,
		Encode: func() ([]byte, error) { return codec{}.Marshal(value) },
		Decode: func(encoded []byte) (any, error) {
			var read T
			err := codec{}.Unmarshal(encoded, &read)
			return read, err
		},
	}
}

// compatibilityRows are the bodies of each call and answer, with every field set.
func compatibilityRows() []golden.Row {
	sights := evidence.Sights{"north": {
		Count: evidence.Count{Sent: 1, Good: 2, Late: 3, Broken: 4, Silent: 5},
		Seers: 6, Bad: 7, Last: 8, Slots: 9, Cold: 10, Work: []float64{11, 12.5},
	}}
	word := orders.Word{Zone: "north", Do: orders.DoLeave, Reason: "maintenance", Until: 1790000000000000}
	table := orders.Table{
		Epoch: 4, Admit: map[string]float64{"batch": 0.5}, Words: map[string]orders.Word{"north": word},
		Zones: map[string]orders.Zone{"north": {Phase: orders.Eased, Share: 0.5, Since: 3, Cut: []string{"south"}}},
	}
	status := Status{
		Voter: 1, Leader: 2, Term: 3, Applied: 4, Voters: []uint64{1, 2, 3}, Table: table,
		Members:  []Member{{Name: "node-1", Zone: "north", Incarnation: 5, Silent: 6 * time.Millisecond}},
		Verdicts: map[string]string{"north": "fails"},
		Counts:   voter.Counts{Reports: 1, Late: 2, Outdone: 3, Strangers: 4, Orders: 5, Stale: 6, Refused: 7},
	}
	return []golden.Row{
		bodyRow("report", follow.Report{Fleet: "f", Name: "node-1", Zone: "north", Incarnation: 1 << 63, Sequence: 2, Epoch: 3, Sights: sights}),
		bodyRow("answer", follow.Answer{Incarnation: 1 << 63, Epoch: 4, Table: &table, Lease: 900 * time.Millisecond}),
		bodyRow("letter", voter.Letter{
			Fleet: "f", From: 2, Store: "store-a", Log: [][]byte{{1, 2}, {3}}, Leads: 3, Agreed: 4,
			Stamp: voter.Stamp{Start: 5, At: 6}, Echo: voter.Stamp{Start: 7, At: 8},
			Digest: evidence.Digest{"south": {Processes: 9, Sights: sights}}, Orders: []orders.Order{{ID: "order-1", Word: &word}},
		}),
		bodyRow("word", word),
		bodyRow("ask", Ask{}),
		bodyRow("taken", Taken{}),
		bodyRow("status", status),
		{
			Name: "status.json", Value: status,
			Encode: func() ([]byte, error) { return json.Marshal(status) },
			Decode: func(encoded []byte) (any, error) {
				var read Status
				err := json.Unmarshal(encoded, &read)
				return read, err
			},
		},
	}
}

func TestBodies_asVersion8782861(t *testing.T) { golden.Check(t, compatibilityRows()) }
