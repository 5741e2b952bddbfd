package server

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/hamba/avro/v2"

	"ospreybend/internal/controlplane/peertransport"
	"ospreybend/internal/testkit/golden"
	"ospreybend/internal/util/strictavro"
)

// callKinds lists the kinds of calls with the names of their fixtures.
var callKinds = []struct {
	name string
	kind peertransport.CallKind
}{
	{"call-replace", callReplace}, {"call-update", callUpdate}, {"call-read", callRead}, {"call-heartbeat", callHeartbeat},
	{"call-nodes", callNodeHeartbeats}, {"call-deregister", callDeregister}, {"call-join", callJoin}, {"call-currency", callGroupStates},
	{"call-presences", callSessionLiveness}, {"call-identity", callIdentity}, {"call-leave", callLeave}, {"call-demand", callDemand},
}

// avroRow is a row for the body of a call or a response that is encoded by an Avro schema.
func avroRow[T any](name string, schema avro.Schema, value T) golden.Row {
	return golden.Row{
		Name: name, Value: value,
		Encode: func() ([]byte, error) { return codec.Marshal(schema, value) },
		Decode: func(body []byte) (any, error) {
			var decoded T
			err := strictavro.Unmarshal(codec, schema, body, &decoded)
			return decoded, err
		},
	}
}

// responseRow is a row for the owner's response to a call.
func responseRow(name string, value shardResponse) golden.Row {
	return golden.Row{
		Name: name, Value: value,
		Encode: func() ([]byte, error) { return encodeShardResponse(value) },
		Decode: func(body []byte) (any, error) { return decodeShardResponse(body) },
	}
}

// jsonRow is a row for a JSON document that this package writes and does not read.
func jsonRow(name string, value any) golden.Row {
	return golden.Row{Name: name, Value: value, Encode: func() ([]byte, error) { return json.Marshal(value) }}
}

// callRows returns a row for a call of each kind.
func callRows() []golden.Row {
	var rows []golden.Row
	for _, call := range callKinds {
		value := shardRequest{Kind: call.kind, Shard: 1, ID: "worker-1", Base: 1<<64 - 1, Body: []byte("body")}
		rows = append(rows, golden.Row{
			Name: call.name, Value: value,
			Encode: func() ([]byte, error) { return encodeShardRequest(value) },
			Decode: func(body []byte) (any, error) { return decodeShardRequest(body) },
		})
	}
	return rows
}

// responseRows returns rows for the responses to calls, and for the lists that calls and responses carry.
func responseRows() []golden.Row {
	identity := identityReply{ID: 1<<64 - 3, Age: 4321 * time.Millisecond, ShuttingDown: true}
	return []golden.Row{
		responseRow("answer-success", shardResponse{Status: 200, Body: []byte(`{"generation":4}`), Known: true}),
		responseRow("answer-refusal", shardResponse{Status: 409, Code: 1203, Text: "base is not current", Body: []byte{}}),
		responseRow("answer-not-owner", shardResponse{NotOwner: true, Leader: "192.0.2.2:7100", Body: []byte{}}),
		{
			Name: "identity", Value: identity,
			Encode: func() ([]byte, error) { return encodeIdentity(identity) },
			Decode: func(body []byte) (any, error) { return decodeIdentity(body) },
		},
		avroRow("nodes", nodesSchema, []edgeNode{{ID: "node-1", Address: "192.0.2.7:7000", Zone: "zone-b"}}),
		avroRow("presences", sessionHeartbeatsSchema, []sessionHeartbeat{{ID: "worker-1", Sequence: 1 << 40}, {ID: "worker-2", Sequence: 2}}),
		avroRow("groups", groupsSchema, []groupState{{Shard: 1, Voter: true, Writable: true}, {Shard: 2, Current: true}}),
		avroRow("servers", serversSchema, []serverInfo{{Address: "192.0.2.1:7100", Zone: "zone-a", Region: "region-1"}}),
	}
}

// documentRows returns rows for the JSON documents.
func documentRows() []golden.Row {
	var rejection errorReport
	rejection.Error.Code, rejection.Error.Text = 1203, "base is not current"
	return []golden.Row{
		jsonRow("order.json", roleCommandBody{Operation: operationSetRole, Role: "decode", LeaseHolder: "192.0.2.1:7100", FencingToken: 77}),
		jsonRow("error.json", rejection),
		jsonRow("status.json", statusReport{
			Address: "192.0.2.1:7100", Member: "1f", UptimeS: 60, Leaving: true, Agents: 3,
			Shards: []shardReport{{
				Shard: 2, Role: "leader", Term: 4, Leader: "192.0.2.1:7100", Applied: 10, Commit: 11, ConfirmedMs: -1,
				Current: true, Writable: true, DiskBytes: 4096, FeedPosition: 9,
				Members: []memberReport{{Member: "1f", Address: "192.0.2.1:7100", Voter: true}},
			}},
			Peers: []peerReport{{Address: "192.0.2.2:7100", Connected: true, Accepted: true, Queued: 1, Dropped: 2, HeardMs: 3}},
		}),
		{
			Name: "report.json", Value: workerReport{Role: "prefill", Busy: true},
			Encode: func() ([]byte, error) { return json.Marshal(workerReport{Role: "prefill", Busy: true}) },
			Decode: func(body []byte) (any, error) {
				var report workerReport
				err := json.Unmarshal(body, &report)
				return report, err
			},
		},
	}
}

// compatibilityRows returns rows for calls and responses of each kind and for the JSON documents.
func compatibilityRows() []golden.Row {
	return append(append(callRows(), responseRows()...), documentRows()...)
}

// The messages and documents must be encoded as by version 8782861, and its encodings must be decoded to the same values.
func TestMessages_compatibleWithVersion8782861(t *testing.T) { golden.Check(t, compatibilityRows()) }
