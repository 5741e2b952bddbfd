// Package loadshare encodes and rate-limits the messages in which the proxies of a fleet tell each other
// what they have in flight at each worker. Each message is one datagram with the sender's complete state,
// so the next message makes up for one that was lost or late. The package rejects malformed and outdated
// messages.
//
// The package uses no socket and no clock: package proxy sends and receives the datagrams and passes their
// entries to package selection.
package loadshare

import (
	"errors"
	"slices"

	"github.com/hamba/avro/v2"

	"ospreybend/internal/dataplane/selection"
	"ospreybend/internal/util/strictavro"
)

// MaxDatagramBytes is the largest size of a datagram; one of this size fits into a single Ethernet frame.
const MaxDatagramBytes = 1400

const (
	maxEntries            = 60 // entries of one message; this many fit into MaxDatagramBytes
	microsecondsPerSecond = 1e6
)

// ErrInvalidMessage is returned for a datagram that is not a valid message.
var ErrInvalidMessage = errors.New("loadshare: datagram is not a valid message")

// Message is the state of one node: its calls in flight at workers.
type Message struct {
	Node     uint64 // random ID that a proxy process draws at its start
	Sequence uint64 // rises with every message of the node
	Entries  []selection.Outstanding
}

// wireMessage is the Avro form of a Message. Avro has no unsigned integers, so uint64 values are
// converted to int64.
type wireMessage struct {
	Node     int64       `avro:"node"`
	Sequence int64       `avro:"sequence"`
	Entries  []wireEntry `avro:"list"`
}

// wireEntry is the Avro form of a selection.Outstanding.
type wireEntry struct {
	WorkerHash int64 `avro:"worker"`
	Waiting    int   `avro:"waiting"` // work in microseconds
	Running    int   `avro:"running"`
	Memory     int   `avro:"memory"`
	Failing    bool  `avro:"failing"`
}

var schema = avro.MustParse(`{"type":"record","name":"load","fields":[

{"name":"node","type":"long"},{"name":"sequence","type":"long"},
{"name":"list","type":{"type":"array","items":{"type":"record","name":"entry","fields":[
{"name":"worker","type":"long"},{"name":"waiting","type":"int"},
{"name":"running","type":"int"},{"name":"memory","type":"int"},{"name":"failing","type":"boolean"}]}}}]}`)

// Encode returns the datagram of a message. A message with more than maxEntries entries is cut down to
// those that mostLoaded selects.
func Encode(message Message) ([]byte, error) {
	encoded := wireMessage{Node: int64(message.Node), Sequence: int64(message.Sequence)}
	for _, entry := range mostLoaded(message.Entries) {
		encoded.Entries = append(encoded.Entries, newWireEntry(entry))
	}
	return avro.Marshal(schema, encoded)
}

func newWireEntry(entry selection.Outstanding) wireEntry {
	return wireEntry{
		WorkerHash: int64(entry.WorkerHash),
		Waiting:    int(entry.WaitingWork * microsecondsPerSecond),
		Running:    int(entry.Running),
		Memory:     int(entry.ReservedTokens),
		Failing:    entry.Failing,
	}
}

// outstanding converts a decoded entry back. Its numbers must not be negative.
func (e wireEntry) outstanding() selection.Outstanding {
	return selection.Outstanding{
		WorkerHash:     uint64(e.WorkerHash),
		WaitingWork:    float64(e.Waiting) / microsecondsPerSecond,
		Running:        float64(e.Running),
		ReservedTokens: float64(e.Memory),
		Failing:        e.Failing,
	}
}

// Decode parses a datagram. It returns ErrInvalidMessage if the datagram is malformed, has trailing bytes
// or too many entries, or if an entry has a negative number.
func Decode(datagram []byte) (Message, error) {
	var decoded wireMessage
	if strictavro.Unmarshal(avro.DefaultConfig, schema, datagram, &decoded) != nil || len(decoded.Entries) > maxEntries {
		return Message{}, ErrInvalidMessage
	}
	message := Message{Node: uint64(decoded.Node), Sequence: uint64(decoded.Sequence)}
	for _, entry := range decoded.Entries {
		if entry.Waiting < 0 || entry.Running < 0 || entry.Memory < 0 {
			return Message{}, ErrInvalidMessage
		}
		message.Entries = append(message.Entries, entry.outstanding())
	}
	return message, nil
}

// mostLoaded returns at most maxEntries of the entries: those of failing workers first, then those with
// the most waiting work. It does not modify the slice passed in.
func mostLoaded(entries []selection.Outstanding) []selection.Outstanding {
	if len(entries) <= maxEntries {
		return entries
	}
	entries = slices.Clone(entries)
	slices.SortFunc(entries, func(a, b selection.Outstanding) int {
		switch {
		case a.Failing != b.Failing:
			if a.Failing {
				return -1
			}
			return 1
		case a.WaitingWork > b.WaitingWork:
			return -1
		case a.WaitingWork < b.WaitingWork:
			return 1
		}
		return 0
	})
	return entries[:maxEntries]
}
