package feedtransport

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"ospreybend/coord/feed"
	"ospreybend/internal/testkit/golden"
)

// frameRow returns the golden row of a message that is sent as one frame.
func frameRow[T any](name string, kind Kind, message T, appendTo func([]byte, T) ([]byte, error), decode func([]byte) (T, error)) golden.Row {
	return golden.Row{
		Name: name, Value: message,
		Encode: func() ([]byte, error) { return appendTo(nil, message) },
		Decode: func(frame []byte) (any, error) {
			read, body, err := ReadFrame(bytes.NewReader(frame))
			if err == nil && read != kind {
				err = fmt.Errorf("the frame has kind %d, want %d", read, kind)
			}
			if err != nil {
				return nil, err
			}
			return decode(body)
		},
	}
}

// compatibilityRows returns one message for each kind of frame, with all fields set, and an encoded Suspicion.
func compatibilityRows() []golden.Row {
	hello := Hello{
		Node: "node-7", Zone: "zone-b", Region: "region-1", IP: "192.0.2.7", Role: RoleAgent, Incarnation: 1 << 63,
		Offsets: []Offset{{Shard: 0, Index: 12}, {Shard: 5, Index: 1<<64 - 1}}, Compressed: true,
	}
	part := SnapshotPart{
		Shard: 3, Index: 900, First: true, Last: true,
		Items: []feed.Item{{Key: "worker-1", Value: []byte{0, 1, 2}}, {Key: "worker-2", Value: []byte("value")}},
	}
	changes := Changes{Shard: 9, Changes: []feed.Change{
		{Index: 901, Put: []feed.Item{{Key: "worker-3", Value: []byte("new")}}, Delete: []string{"worker-1", "worker-2"}},
		{Index: 902, Put: []feed.Item{{Key: "worker-4", Value: []byte{255}}}, Delete: []string{"worker-3"}},
	}}
	status := Status{
		Sequence: 44,
		Shards:   []ShardStatus{{Shard: 0, Index: 12, Current: true}, {Shard: 1, Index: 1 << 40, Current: false}},
		Servers:  []ServerEndpoint{{Address: "192.0.2.1:7101", Zone: "zone-a", Region: "region-1"}, {Address: "192.0.2.2:7101"}},
	}
	suspicion := Suspicion{IP: "192.0.2.9", Suspected: true}
	return []golden.Row{
		frameRow("hello", KindHello, hello, AppendHello, DecodeHello),
		frameRow("snapshot", KindSnapshot, part, AppendSnapshotPart, DecodeSnapshotPart),
		frameRow("changes", KindChanges, changes, AppendChanges, DecodeChanges),
		frameRow("status", KindStatus, status, AppendStatus, DecodeStatus),
		frameRow("report", KindReport, Report{Topic: "topic-x", Body: []byte{9, 8, 7}}, AppendReport, DecodeReport),
		compressedRow(),
		{
			Name: "suspicion", Value: suspicion,
			Encode: func() ([]byte, error) { return EncodeSuspicion(suspicion) },
			Decode: func(body []byte) (any, error) { return DecodeSuspicion(body) },
		},
	}
}

// compressedRow returns a frame of changes that is long enough to be compressed. Versions of the compressor may produce different
// bytes, so the decompressed content is compared instead.
func compressedRow() golden.Row {
	changes := Changes{Shard: 2, Changes: []feed.Change{
		{Index: 5, Put: []feed.Item{{Key: "worker-5", Value: []byte(strings.Repeat("model-a ", 100))}}, Delete: []string{"worker-6"}},
	}}
	row := frameRow("compressed", KindCompressed, changes, func(_ []byte, changes Changes) ([]byte, error) {
		frame, err := AppendChanges(nil, changes)
		if err != nil {
			return nil, err
		}
		return compressFrames(frame)
	}, func(body []byte) (Changes, error) {
		frames, err := decompressFrames(body)
		if err != nil {
			return Changes{}, err
		}
		kind, inner, err := ReadFrame(bytes.NewReader(frames))
		if err != nil || kind != KindChanges {
			return Changes{}, fmt.Errorf("the compressed frame has kind %d, want %d; error %w", kind, KindChanges, err)
		}
		return DecodeChanges(inner)
	})
	row.SameMeaning = true
	return row
}

func TestFrames_asVersion8782861(t *testing.T) { golden.Check(t, compatibilityRows()) }
