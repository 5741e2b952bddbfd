// Package loadshare encodes and paces the messages by which the proxies of a fleet tell each other what
// they have in flight at workers. A message is a complete state in one datagram, so that a lost or late
// one is made good by the next. The package rejects malformed and old messages.
//
// It has no socket and no clock: package proxy sends and receives the datagrams, and gives their entries
// to package selection.
package loadshare

import (
	"errors"
	"slices"

	"github.com/hamba/avro/v2"

	"ospreybend/internal/dataplane/selection"
	"ospreybend/internal/util/strictavro"
)

// MaxDatagramBytes bounds datagrams, so that they fit one Ethernet frame.
const MaxDatagramBytes = 1400

const (
	maxEntries            = 60 // of a message, so that it fits a datagram
	microsecondsPerSecond = 1e6
)

// ErrInvalidMessage is returned for a datagram that is not a valid message.
var ErrInvalidMessage = errors.New("loadshare: not a message")

// Message is the state of one node.
type Message struct {
	Node     uint64 // random, of one incarnation of a process
	Sequence uint64 // increases with every message of the node
	Entries  []selection.Outstanding
}

// wireMessage is the avro encoding of a Message.
type wireMessage struct {
	Node     int64       `avro:"node"`
	Sequence int64       `avro:"sequence"`
	List     []wireEntry `avro:"list"`
}

// wireEntry is the avro encoding of a selection.Outstanding.
type wireEntry struct {
	Worker  int64 `avro:"worker"`
	Waiting int   `avro:"waiting"` // microseconds of work
	Running int   `avro:"running"`
	Memory  int   `avro:"memory"`
	Failing bool  `avro:"failing"`
}

var schema = avro.MustParse(`{"type":"record","name":"load","fields":[

{"name":"node","type":"long"},{"name":"sequence","type":"long"},
{"name":"list","type":{"type":"array","items":{"type":"record","name":"entry","fields":[
{"name":"worker","type":"long"},{"name":"waiting","type":"int"},
{"name":"running","type":"int"},{"name":"memory","type":"int"},{"name":"failing","type":"boolean"}]}}}]}`)

// Encode returns the datagram of a message. Entries beyond maxEntries are left out, see mostLoaded.
func Encode(message Message) ([]byte, error) {
	encoded := wireMessage{Node: int64(message.Node), Sequence: int64(message.Sequence)}
	for _, entry := range mostLoaded(message.Entries) {
		encoded.List = append(encoded.List, newWireEntry(entry))
	}
	return avro.Marshal(schema, encoded)
}

// newWireEntry returns the encoding of an entry.
func newWireEntry(entry selection.Outstanding) wireEntry {
	return wireEntry{
		Worker:  int64(entry.WorkerHash),
		Waiting: int(entry.Waiting * microsecondsPerSecond),
		Running: int(entry.Running),
		Memory:  int(entry.Memory),
		Failing: entry.Failing,
	}
}

// outstanding returns the entry that is encoded. Its numbers must not be negative.
func (e wireEntry) outstanding() selection.Outstanding {
	return selection.Outstanding{
		WorkerHash: uint64(e.Worker),
		Waiting:    float64(e.Waiting) / microsecondsPerSecond,
		Running:    float64(e.Running),
		Memory:     float64(e.Memory),
		Failing:    e.Failing,
	}
}

// Decode parses a datagram. It returns ErrInvalidMessage for one that is malformed, has trailing bytes or
// values out of range.
func Decode(datagram []byte) (Message, error) {
	var decoded wireMessage
	if strictavro.Unmarshal(avro.DefaultConfig, schema, datagram, &decoded) != nil || len(decoded.List) > maxEntries {
		return Message{}, ErrInvalidMessage
	}
	message := Message{Node: uint64(decoded.Node), Sequence: uint64(decoded.Sequence)}
	for _, entry := range decoded.List {
		if entry.Waiting < 0 || entry.Running < 0 || entry.Memory < 0 {
			return Message{}, ErrInvalidMessage
		}
		message.Entries = append(message.Entries, entry.outstanding())
	}
	return message, nil
}

// mostLoaded returns at most maxEntries entries: those of failing workers first, then those with the most
// waiting work. It does not change list.
func mostLoaded(list []selection.Outstanding) []selection.Outstanding {
	if len(list) <= maxEntries {
		return list
	}
	list = slices.Clone(list)
	slices.SortFunc(list, func(a, b selection.Outstanding) int {
		switch {
		case a.Failing != b.Failing:
			if a.Failing {
				return -1
			}
			return 1
		case a.Waiting > b.Waiting:
			return -1
		case a.Waiting < b.Waiting:
			return 1
		}
		return 0
	})
	return list[:maxEntries]
}
