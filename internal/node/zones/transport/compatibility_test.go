package transport

import (
	"encoding/json"
	"testing"
	"time"

	"ospreybend/internal/node/zones/commands"
	"ospreybend/internal/node/zones/follower"
	"ospreybend/internal/node/zones/health"
	"ospreybend/internal/node/zones/replica"
	"ospreybend/internal/testkit/golden"
)

// bodyRow returns the row for the body of a request or response.
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

// compatibilityRows returns a row for the body of each request and response, with every field set.
func compatibilityRows() []golden.Row {
	observations := health.Observations{"north": {
		StepCounts: health.StepCounts{Sent: 1, Succeeded: 2, Late: 3, Failed: 4, TimedOut: 5},
		Observers:  6, FailingObservers: 7, RecentSteps: 8, Slots: 9, WarmupDeficit: 10, WorkRate: []float64{11, 12.5},
	}}
	override := commands.Override{Zone: "north", Action: commands.OverrideEvacuate, Reason: "maintenance", Until: 1790000000000000}
	table := commands.Table{
		Epoch: 4, Admission: map[string]float64{"batch": 0.5}, Overrides: map[string]commands.Override{"north": override},
		Zones: map[string]commands.ZoneState{"north": {Phase: commands.PhaseReduced, Share: 0.5, SinceEpoch: 3, UnreachableFrom: []string{"south"}}},
	}
	status := Status{
		Voter: 1, Leader: 2, Term: 3, AppliedIndex: 4, Voters: []uint64{1, 2, 3}, Table: table,
		Members:     []MemberStatus{{Name: "node-1", Zone: "north", Incarnation: 5, SinceHeartbeat: 6 * time.Millisecond}},
		Assessments: map[string]string{"north": "fails"},
		Counts:      replica.Counts{Reports: 1, OutOfOrder: 2, Superseded: 3, Foreign: 4, Commands: 5, Stale: 6, Rejected: 7},
	}
	return []golden.Row{
		bodyRow("report", follower.Report{Fleet: "f", Name: "node-1", Zone: "north", Incarnation: 1 << 63, Sequence: 2, Epoch: 3, Observations: observations}),
		bodyRow("answer", follower.Response{Incarnation: 1 << 63, Epoch: 4, Table: &table, Lease: 900 * time.Millisecond}),
		bodyRow("letter", replica.Message{
			Fleet: "f", From: 2, Store: "store-a", Log: [][]byte{{1, 2}, {3}}, LeaderTerm: 3, CommitIndex: 4,
			Stamp: replica.Timestamp{Incarnation: 5, At: 6}, Echo: replica.Timestamp{Incarnation: 7, At: 8},
			Digest: health.Digest{"south": {Processes: 9, Observations: observations}}, Commands: []commands.Command{{ID: "order-1", Override: &override}},
		}),
		bodyRow("word", override),
		bodyRow("ask", StatusRequest{}),
		bodyRow("taken", Ack{}),
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
