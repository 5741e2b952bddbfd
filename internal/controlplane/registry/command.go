package registry

import (
	"fmt"

	"github.com/hamba/avro/v2"

	"ospreybend/internal/util/strictavro"
)

// RemovalReason is why an instance was removed. Its values are stored in commands and snapshots.
type RemovalReason uint8

// Reasons for a removal. Deregistered and NeverRegistered are permanent: no heartbeat registers the instance again.
const (
	// Deregistered instances requested their removal.
	Deregistered RemovalReason = 1
	// Expired instances sent no heartbeat within the timeout; a later heartbeat registers them again.
	Expired RemovalReason = 2
	// Superseded instances had an address with which another instance has registered since. Once the other instance is
	// removed, a later heartbeat registers them again: the other one may have been dead when its first heartbeat arrived.
	Superseded RemovalReason = 3
	// NeverRegistered instances deregistered before any of their heartbeats arrived.
	NeverRegistered RemovalReason = 4
)

// String returns the name of the reason.
func (r RemovalReason) String() string {
	switch r {
	case Deregistered:
		return "deregistered"
	case Expired:
		return "expired"
	case Superseded:
		return "superseded"
	case NeverRegistered:
		return "never registered"
	default:
		return "unknown"
	}
}

// permanent reports whether no heartbeat registers the instance again.
func (r RemovalReason) permanent() bool { return r == Deregistered || r == NeverRegistered }

// operation is what a command does. Its values are stored in the log.
type operation int

const (
	operationPut    operation = 1
	operationRemove operation = 2
	operationAssign operation = 3 // records the command's stage as the one assigned to the instance
	operationStage  operation = 4 // records the command's stage as the one that the instance has
)

const (
	commandFormat    = 1
	maxArrayElements = 1 << 17 // limit for an array decoded from the log or a snapshot
)

var codec = avro.Config{MaxSliceAllocSize: maxArrayElements}.Freeze()

// instanceFields are the schema fields of an instance. A command has them in addition to its own fields.
const instanceFields = `
	{"name":"id","type":"string"},
	{"name":"service","type":"string"},
	{"name":"address","type":"string"},
	{"name":"zone","type":"string"},
	{"name":"generation","type":"string"},
	{"name":"slots","type":"long"},
	{"name":"state","type":"int"},
	{"name":"stage","type":"string"},
	{"name":"models","type":{"type":"array","items":{"type":"record","name":"model","fields":[
		{"name":"name","type":"string"},
		{"name":"generation","type":"long"},
		{"name":"adapters","type":{"type":"array","items":"string"}}]}}}`

var (
	itemSchema = avro.MustParse(`{"type":"record","name":"instance","fields":[` + instanceFields + `,
	{"name":"assigned","type":"string"}]}`)
	// itemSchemaV1 is the schema of instances in snapshots of format 1.
	itemSchemaV1  = avro.MustParse(`{"type":"record","name":"instance","fields":[` + instanceFields + `]}`)
	commandSchema = avro.MustParse(`{"type":"record","name":"registry_command","fields":[
	{"name":"format","type":"int"},
	{"name":"operation","type":"int"},
	{"name":"sequence","type":"long"},
	{"name":"reason","type":"int"},` + instanceFields + `]}`)
)

// instanceRecord is the encoded form of an Instance.
type instanceRecord struct {
	ID         string  `avro:"id"`
	Service    string  `avro:"service"`
	Address    string  `avro:"address"`
	Zone       string  `avro:"zone"`
	Generation string  `avro:"generation"`
	Slots      int64   `avro:"slots"`
	State      int     `avro:"state"`
	Stage      string  `avro:"stage"`
	Models     []Model `avro:"models"`
	Assigned   string  `avro:"assigned"`
}

// commandRecord is the encoded form of a command.
type commandRecord struct {
	Format    int   `avro:"format"`
	Operation int   `avro:"operation"`
	Sequence  int64 `avro:"sequence"`
	Reason    int   `avro:"reason"`
	instanceRecord
}

// command is a decoded command. Which fields are set depends on its operation.
type command struct {
	operation operation
	instance  Instance // a removal sets only the ID, the stage operations set the ID and the stage
	sequence  uint64
	reason    RemovalReason
}

// newInstanceRecord returns the encoded form of an instance.
func newInstanceRecord(instance Instance) instanceRecord {
	return instanceRecord{
		ID:         instance.ID,
		Service:    instance.Service,
		Address:    instance.Address,
		Zone:       instance.Zone,
		Generation: instance.Generation,
		Slots:      int64(instance.Slots),
		State:      int(instance.State),
		Stage:      instance.Stage,
		Models:     instance.Models,
		Assigned:   instance.Assigned,
	}
}

// instance returns the instance that a record encodes.
func (r instanceRecord) instance() Instance {
	return Instance{
		ID:         r.ID,
		Service:    r.Service,
		Address:    r.Address,
		Zone:       r.Zone,
		Generation: r.Generation,
		Slots:      int(r.Slots),
		State:      State(r.State),
		Stage:      r.Stage,
		Models:     r.Models,
		Assigned:   r.Assigned,
	}
}

// EncodePut returns the command that records an instance as reported by its heartbeat with the given sequence.
func EncodePut(instance Instance, sequence uint64) []byte {
	return mustMarshal(commandSchema, commandRecord{
		Format:         commandFormat,
		Operation:      int(operationPut),
		Sequence:       int64(sequence),
		instanceRecord: newInstanceRecord(instance),
	})
}

// EncodeRemove returns the command that removes an instance; sequence is that of its last known heartbeat, or 0 if it has
// none.
func EncodeRemove(id string, reason RemovalReason, sequence uint64) []byte {
	return mustMarshal(commandSchema, commandRecord{
		Format:         commandFormat,
		Operation:      int(operationRemove),
		Sequence:       int64(sequence),
		Reason:         int(reason),
		instanceRecord: instanceRecord{ID: id},
	})
}

// EncodeAssign returns the command that assigns a stage to an instance; an empty stage withdraws the assignment.
func EncodeAssign(id, stage string) []byte {
	return mustMarshal(commandSchema, commandRecord{
		Format:         commandFormat,
		Operation:      int(operationAssign),
		instanceRecord: instanceRecord{ID: id, Stage: stage},
	})
}

// EncodeStage returns the command that records the stage that an instance reported when it was polled.
func EncodeStage(id, stage string) []byte {
	return mustMarshal(commandSchema, commandRecord{
		Format:         commandFormat,
		Operation:      int(operationStage),
		instanceRecord: instanceRecord{ID: id, Stage: stage},
	})
}

// decodeCommand decodes a log entry. Its rejections have the code InvalidCommand.
func decodeCommand(encoded []byte) (command, *Rejection) {
	if len(encoded) == 0 {
		return command{}, reject(InvalidCommand, "it is empty")
	}
	var record commandRecord
	if err := strictavro.Unmarshal(codec, commandSchema, encoded, &record); err != nil {
		return command{}, reject(InvalidCommand, err.Error())
	}
	if record.Format != commandFormat {
		return command{}, reject(InvalidCommand, fmt.Sprintf("format %d", record.Format))
	}
	decoded := command{
		operation: operation(record.Operation),
		instance:  record.instance(),
		sequence:  uint64(record.Sequence),
		reason:    RemovalReason(record.Reason),
	}
	if decoded.instance.ID == "" {
		return command{}, reject(InvalidCommand, "it names no instance")
	}
	return decoded, nil
}

// EncodeItem returns the value of an instance's item in the feed.
func EncodeItem(instance Instance) []byte {
	return mustMarshal(itemSchema, newInstanceRecord(instance))
}

// DecodeItem decodes a value encoded by EncodeItem. The error is a *Rejection with the code InvalidCommand.
func DecodeItem(value []byte) (Instance, error) { return decodeItem(itemSchema, value) }

// decodeItem decodes an instance with the schema of its format.
func decodeItem(schema avro.Schema, value []byte) (Instance, error) {
	if len(value) == 0 {
		return Instance{}, reject(InvalidCommand, "the item is empty")
	}
	var record instanceRecord
	if err := strictavro.Unmarshal(codec, schema, value, &record); err != nil {
		return Instance{}, reject(InvalidCommand, err.Error())
	}
	return record.instance(), nil
}

// mustMarshal encodes a record of this package with the matching schema, which cannot fail.
func mustMarshal(schema avro.Schema, record any) []byte {
	encoded, err := codec.Marshal(schema, record)
	if err != nil {
		panic(fmt.Sprintf("registry: encode %T: %v", record, err))
	}
	return encoded
}
