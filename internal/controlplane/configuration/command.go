package configuration

import (
	"fmt"

	"github.com/hamba/avro/v2"

	"ospreybend/internal/util/strictavro"
)

// CommandKind tells what the body of a command is.
type CommandKind uint8

const (
	CommandReplace CommandKind = 1 // a whole configuration
	CommandUpdate  CommandKind = 2 // items to add, to replace and to remove
)

// Command is one change as the operator sent it.
type Command struct {
	Kind CommandKind
	Base uint64 // the generation that it builds on; 0 for the first
	Body []byte // JSON, byte for byte
}

const (
	commandFormat = 1
	maxBodyBytes  = 256 << 20 // bytes of a field that is read from the log or a snapshot
)

// avroCodec reads and writes avro. The library's own bound, 1 MiB, is below what a body may have.
var avroCodec = avro.Config{MaxByteSliceSize: maxBodyBytes}.Freeze()

var commandSchema = avro.MustParse(`{"type":"record","name":"configuration_command","fields":[
	{"name":"format","type":"int"},
	{"name":"kind","type":"int"},
	{"name":"base","type":"long"},
	{"name":"body","type":"bytes"}]}`)

type commandRecord struct {
	Format int    `avro:"format"`
	Kind   int    `avro:"kind"`
	Base   int64  `avro:"base"`
	Body   []byte `avro:"body"`
}

// EncodeCommand returns the form that is replicated.
func EncodeCommand(command Command) []byte {
	return mustMarshal(commandSchema, commandRecord{
		Format: commandFormat,
		Kind:   int(command.Kind),
		Base:   int64(command.Base),
		Body:   command.Body,
	})
}

// DecodeCommand reads what EncodeCommand wrote. The body is a copy.
func DecodeCommand(encoded []byte) (Command, error) {
	if len(encoded) == 0 {
		return Command{}, reject(CodeBadCommand, "it is empty")
	}
	var record commandRecord
	if err := strictavro.Unmarshal(avroCodec, commandSchema, encoded, &record); err != nil {
		return Command{}, reject(CodeBadCommand, err.Error())
	}
	if record.Format != commandFormat {
		return Command{}, reject(CodeBadCommand, fmt.Sprintf("format %d", record.Format))
	}
	kind := CommandKind(record.Kind)
	if kind != CommandReplace && kind != CommandUpdate {
		return Command{}, reject(CodeBadCommand, fmt.Sprintf("kind %d", record.Kind))
	}
	return Command{Kind: kind, Base: uint64(record.Base), Body: record.Body}, nil
}

// mustMarshal writes a record of this package's own schemas, which cannot fail.
func mustMarshal(schema avro.Schema, record any) []byte {
	encoded, err := avroCodec.Marshal(schema, record)
	if err != nil {
		panic(fmt.Sprintf("configuration: encode: %v", err))
	}
	return encoded
}
