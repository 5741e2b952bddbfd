package feedtransport

import (
	"errors"
	"fmt"
	"sync"

	"github.com/hamba/avro/v2"

	"ospreybend/coord/feed"
	"ospreybend/coord/shards"
)

// The wire types mirror the schemas; the codec matches fields by name. They use int64 since the codec has no unsigned 64-bit
// type.
type (
	wireOffset struct{ Shard, Index int64 }

	wireHello struct {
		Node, Zone, Region, IP, Role string
		Incarnation                  int64
		Offsets                      []wireOffset
		Compressed                   bool
	}

	wireSnapshot struct {
		Shard, Index int64
		First, Last  bool
		Items        []feed.Item
	}

	wireChange struct {
		Index  int64
		Put    []feed.Item
		Delete []string
	}

	wireChanges struct {
		Shard   int64
		Changes []wireChange
	}

	wireShardStatus struct {
		Shard, Index int64
		Current      bool
	}

	wireStatus struct {
		Sequence int64
		Shards   []wireShardStatus
		Servers  []ServerEndpoint `avro:"Keepers"`
	}
)

// DecodeError is returned for a body that does not match the schema of its kind.
type DecodeError struct {
	Kind  Kind
	Cause error
}

// Error implements error.
func (e *DecodeError) Error() string {
	return fmt.Sprintf("feedtransport: decode the body of a frame of kind %d: %v", e.Kind, e.Cause)
}

// Unwrap returns the underlying error.
func (e *DecodeError) Unwrap() error { return e.Cause }

// avroReaders holds readers for reuse.
var avroReaders = sync.Pool{New: func() any { return avro.NewReader(nil, 0, avro.WithReaderConfig(codec)) }}

// decode decodes a body. Unlike the codec's own Unmarshal, it fails for a truncated body. Bytes after the schema's last field
// are ignored, so that a later version of the schema may add fields.
func decode(kind Kind, schema avro.Schema, body []byte, into any) (err error) {
	reader := avroReaders.Get().(*avro.Reader).Reset(body)
	reader.Error = nil
	defer func() {
		if panicked := recover(); panicked != nil { // the codec panics on some invalid lengths
			err = &DecodeError{Kind: kind, Cause: fmt.Errorf("%w: %v", errInvalidLength, panicked)}
			return
		}
		reader.Reset(nil)
		avroReaders.Put(reader)
	}()
	reader.ReadVal(schema, into)
	if reader.Error != nil {
		return &DecodeError{Kind: kind, Cause: reader.Error}
	}
	return nil
}

var errInvalidLength = errors.New("feedtransport: a length in the body is invalid")

// appendMessage encodes a message and appends it to buffer as a frame.
func appendMessage(buffer []byte, kind Kind, schema avro.Schema, message any) ([]byte, error) {
	body, err := codec.Marshal(schema, message)
	if err != nil {
		return nil, fmt.Errorf("feedtransport: encode a frame of kind %d: %w", kind, err)
	}
	if len(body) > MaxFrameBytes {
		return nil, ErrFrameTooLong
	}
	return AppendFrame(buffer, kind, body), nil
}

// AppendHello appends hello to buffer as a frame of KindHello.
func AppendHello(buffer []byte, hello Hello) ([]byte, error) {
	wire := wireHello{
		Node: hello.Node, Zone: hello.Zone, Region: hello.Region, IP: hello.IP, Role: hello.Role,
		Incarnation: int64(hello.Incarnation), Compressed: hello.Compressed,
	}
	for _, offset := range hello.Offsets {
		wire.Offsets = append(wire.Offsets, wireOffset{Shard: int64(offset.Shard), Index: int64(offset.Index)})
	}
	return appendMessage(buffer, KindHello, helloSchema, wire)
}

// DecodeHello decodes the body of a frame of KindHello. It also accepts the earlier schema, which has no Compressed field.
func DecodeHello(body []byte) (Hello, error) {
	var wire wireHello
	if decode(KindHello, helloSchema, body, &wire) != nil {
		wire = wireHello{}
		if err := decode(KindHello, helloSchemaV1, body, &wire); err != nil {
			return Hello{}, err
		}
	}
	hello := Hello{
		Node: wire.Node, Zone: wire.Zone, Region: wire.Region, IP: wire.IP, Role: wire.Role,
		Incarnation: uint64(wire.Incarnation), Compressed: wire.Compressed,
	}
	for _, offset := range wire.Offsets {
		hello.Offsets = append(hello.Offsets, Offset{Shard: shards.ID(offset.Shard), Index: uint64(offset.Index)})
	}
	return hello, nil
}

// AppendSnapshotPart appends part to buffer as a frame of KindSnapshot.
func AppendSnapshotPart(buffer []byte, part SnapshotPart) ([]byte, error) {
	return appendMessage(buffer, KindSnapshot, snapshotSchema, wireSnapshot{
		Shard: int64(part.Shard), Index: int64(part.Index),
		First: part.First, Last: part.Last, Items: part.Items,
	})
}

// DecodeSnapshotPart decodes the body of a frame of KindSnapshot.
func DecodeSnapshotPart(body []byte) (SnapshotPart, error) {
	var wire wireSnapshot
	if err := decode(KindSnapshot, snapshotSchema, body, &wire); err != nil {
		return SnapshotPart{}, err
	}
	return SnapshotPart{
		Shard: shards.ID(wire.Shard), Index: uint64(wire.Index),
		First: wire.First, Last: wire.Last, Items: wire.Items,
	}, nil
}

// AppendChanges appends changes to buffer as one frame of KindChanges.
func AppendChanges(buffer []byte, changes Changes) ([]byte, error) {
	wire := wireChanges{Shard: int64(changes.Shard), Changes: make([]wireChange, len(changes.Changes))}
	for i, change := range changes.Changes {
		wire.Changes[i] = wireChange{Index: int64(change.Index), Put: change.Put, Delete: change.Delete}
	}
	return appendMessage(buffer, KindChanges, changesSchema, wire)
}

// DecodeChanges decodes the body of a frame of KindChanges.
func DecodeChanges(body []byte) (Changes, error) {
	var wire wireChanges
	if err := decode(KindChanges, changesSchema, body, &wire); err != nil {
		return Changes{}, err
	}
	changes := Changes{Shard: shards.ID(wire.Shard), Changes: make([]feed.Change, len(wire.Changes))}
	for i, change := range wire.Changes {
		changes.Changes[i] = feed.Change{Index: uint64(change.Index), Put: change.Put, Delete: change.Delete}
	}
	return changes, nil
}

// AppendStatus appends status to buffer as a frame of KindStatus.
func AppendStatus(buffer []byte, status Status) ([]byte, error) {
	wire := wireStatus{Sequence: int64(status.Sequence), Servers: status.Servers}
	for _, shard := range status.Shards {
		wire.Shards = append(wire.Shards, wireShardStatus{
			Shard: int64(shard.Shard), Index: int64(shard.Index), Current: shard.Current,
		})
	}
	return appendMessage(buffer, KindStatus, statusSchema, wire)
}

// DecodeStatus decodes the body of a frame of KindStatus.
func DecodeStatus(body []byte) (Status, error) {
	var wire wireStatus
	if err := decode(KindStatus, statusSchema, body, &wire); err != nil {
		return Status{}, err
	}
	status := Status{Sequence: uint64(wire.Sequence), Servers: wire.Servers}
	for _, shard := range wire.Shards {
		status.Shards = append(status.Shards, ShardStatus{
			Shard: shards.ID(shard.Shard), Index: uint64(shard.Index), Current: shard.Current,
		})
	}
	return status, nil
}

// AppendReport appends report to buffer as a frame of KindReport.
func AppendReport(buffer []byte, report Report) ([]byte, error) {
	return appendMessage(buffer, KindReport, reportSchema, report)
}

// DecodeReport decodes the body of a frame of KindReport.
func DecodeReport(body []byte) (Report, error) {
	var report Report
	err := decode(KindReport, reportSchema, body, &report)
	return report, err
}
