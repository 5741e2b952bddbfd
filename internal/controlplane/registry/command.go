package registry

import (
	"fmt"

	"github.com/hamba/avro/v2"

	"ospreybend/internal/util/strictavro"
)

// Reason tells why an instance was removed.
type Reason uint8

const (
	Deregistered    Reason = 1 // it said so; final
	Expired         Reason = 2 // it fell silent; a later heartbeat brings it back
	Superseded      Reason = 3 // another instance has its address; final
	NeverRegistered Reason = 4 // it said that it goes before any heartbeat of it came; final
)

// final tells whether heartbeats no longer bring the instance back.
func (r Reason) final() bool { return r != Expired }

// operation numbers what a command does.
type operation int

const (
	operationPut    operation = 1
	operationRemove operation = 2
	operationAssign operation = 3 // the stage of the command is the one that the fleet wants of the instance
	operationStage  operation = 4 // the stage of the command is the one that the instance has been found to have
)

const (
	commandFormat    = 1
	maxArrayElements = 1 << 17 // elements of an array that is read from the log or a snapshot
)

var codec = avro.Config{MaxSliceAllocSize: maxArrayElements}.Freeze()

// The schemas of instances; a command holds one with its operation's fields.
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
	itemSchemaV1  = avro.MustParse(`{"type":"record","name":"instance","fields":[` + instanceFields + `]}`) // of snapshots of format 1
	commandSchema = avro.MustParse(`{"type":"record","name":"registry_command","fields":[
	{"name":"format","type":"int"},
	{"name":"operation","type":"int"},
	{"name":"sequence","type":"long"},
	{"name":"reason","type":"int"},` + instanceFields + `]}`)
)

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

type commandRecord struct {
	Format    int   `avro:"format"`
	Operation int   `avro:"operation"`
	Sequence  int64 `avro:"sequence"`
	Reason    int   `avro:"reason"`
	instanceRecord
}

// command is what was decoded.
type command struct {
	operation operation
	instance  Instance // only its ID where it is removed
	sequence  uint64
	reason    Reason
}

func recordOf(instance Instance) instanceRecord {
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

// EncodePut returns the command that records an instance as its heartbeat of that sequence told.
func EncodePut(instance Instance, sequence uint64) []byte {
	return mustMarshal(commandSchema, commandRecord{
		Format:         commandFormat,
		Operation:      int(operationPut),
		Sequence:       int64(sequence),
		instanceRecord: recordOf(instance),
	})
}

// EncodeRemove returns the command that removes an instance whose last known heartbeat had that
// sequence; 0 where it is not known.
func EncodeRemove(id string, reason Reason, sequence uint64) []byte {
	return mustMarshal(commandSchema, commandRecord{
		Format:         commandFormat,
		Operation:      int(operationRemove),
		Sequence:       int64(sequence),
		Reason:         int(reason),
		instanceRecord: instanceRecord{ID: id},
	})
}

// EncodeAssign returns the command that records which stage the fleet wants of an instance; empty: none.
func EncodeAssign(id, stage string) []byte {
	return mustMarshal(commandSchema, commandRecord{
		Format:         commandFormat,
		Operation:      int(operationAssign),
		instanceRecord: instanceRecord{ID: id, Stage: stage},
	})
}

// EncodeStage returns the command that records the stage that an instance has been found to have.
func EncodeStage(id, stage string) []byte {
	return mustMarshal(commandSchema, commandRecord{
		Format:         commandFormat,
		Operation:      int(operationStage),
		instanceRecord: instanceRecord{ID: id, Stage: stage},
	})
}

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
		reason:    Reason(record.Reason),
	}
	if decoded.instance.ID == "" {
		return command{}, reject(InvalidCommand, "it names no instance")
	}
	return decoded, nil
}

// EncodeItem returns the feed's value of an instance.
func EncodeItem(instance Instance) []byte { return mustMarshal(itemSchema, recordOf(instance)) }

// DecodeItem reads what EncodeItem wrote. The error is a *Refusal.
func DecodeItem(value []byte) (Instance, error) { return decodeItem(itemSchema, value) }

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

// mustMarshal writes a record of this package's own schemas, which cannot fail.
func mustMarshal(schema avro.Schema, record any) []byte {
	encoded, err := codec.Marshal(schema, record)
	if err != nil {
		panic(fmt.Sprintf("registry: encode: %v", err))
	}
	return encoded
}
