package loadshare

import (
	"testing"

	"ospreybend/internal/dataplane/selection"
	"ospreybend/internal/testkit/golden"
)

// compatibilityRows returns one message with every field set.
func compatibilityRows() []golden.Row {
	message := Message{Node: 1<<64 - 9, Sequence: 12, Entries: []selection.Outstanding{
		{WorkerHash: 1<<63 + 5, WaitingWork: 2.5, Running: 4, ReservedTokens: 3000, Failing: true},
		{WorkerHash: 77, WaitingWork: 0.000001, Running: 1, ReservedTokens: 20},
	}}
	return []golden.Row{{
		Name: "message", Value: message,
		Encode: func() ([]byte, error) { return Encode(message) },
		Decode: func(datagram []byte) (any, error) { return Decode(datagram) },
	}}
}

func TestMessage_asVersion8782861(t *testing.T) { golden.Check(t, compatibilityRows()) }
