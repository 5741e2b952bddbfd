// Package loadshare is how the proxies of a fleet tell each other what they have under way at workers:
// whole states in datagrams, so that a lost or late one does no lasting harm. It paces the sending and
// drops what is old or foreign; it has no socket and no clock.
package loadshare

import (
	"errors"
	"slices"

	"github.com/hamba/avro/v2"

	"ospreybend/internal/dataplane/selection"
	"ospreybend/internal/util/strictavro"
)

// MaxDatagramBytes is the largest datagram that is sent or read.
const MaxDatagramBytes = 1400

const (
	maxEntries            = 60  // of a message: the workers with most work go first
	microsecondsPerSecond = 1e6 // in a second
)

// ErrInvalidMessage is a datagram that is no message.
var ErrInvalidMessage = errors.New("loadshare: not a message")

// Message is the state of one node.
type Message struct {
	Node     uint64 // of one life of a process
	Sequence uint64 // rises with every message
	Entries  []selection.Outstanding
}

// wireMessage is a message as it is encoded.
type wireMessage struct {
	Node     int64       `avro:"node"`
	Sequence int64       `avro:"sequence"`
	List     []wireEntry `avro:"list"`
}

type wireEntry struct {
	Worker  int64 `avro:"worker"`
	Waiting int   `avro:"waiting"` // microseconds
	Running int   `avro:"running"`
	Memory  int   `avro:"memory"`
	Failing bool  `avro:"failing"`
}

var schema = avro.MustParse(`{"type":"record","name":"load","fields":[

{"name":"node","type":"long"},{"name":"sequence","type":"long"},
{"name":"list","type":{"type":"array","items":{"type":"record","name":"entry","fields":[
{"name":"worker","type":"long"},{"name":"waiting","type":"int"},
{"name":"running","type":"int"},{"name":"memory","type":"int"},{"name":"failing","type":"boolean"}]}}}]}`)

// Encode returns a message's bytes.
func Encode(message Message) ([]byte, error) {
	encoded := wireMessage{Node: int64(message.Node), Sequence: int64(message.Sequence)}
	for _, entry := range mostLoaded(message.Entries) {
		encoded.List = append(encoded.List, wireEntry{Worker: int64(entry.WorkerHash), Waiting: int(entry.Waiting * microsecondsPerSecond),
			Running: int(entry.Running), Memory: int(entry.Memory), Failing: entry.Failing})
	}
	return avro.Marshal(schema, encoded)
}

// Decode reads a message.
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
		message.Entries = append(message.Entries, selection.Outstanding{WorkerHash: uint64(entry.Worker),
			Waiting: float64(entry.Waiting) / microsecondsPerSecond, Running: float64(entry.Running), Memory: float64(entry.Memory),
			Failing: entry.Failing})
	}
	return message, nil
}

// mostLoaded are the entries of failing workers, and those with most work, as many as a message holds.
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
