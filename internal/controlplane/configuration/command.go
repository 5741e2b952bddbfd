package configuration

import (
	"fmt"

	"github.com/hamba/avro/v2"

	"ospreybend/internal/util/strictavro"
)

// Kind tells what the body of a command is.
type Kind uint8

const (
	Replace Kind = 1 // a whole configuration
	Update  Kind = 2 // items to add, to replace and to remove
)

// Command is one change as the operator sent it.
type Command struct {
	Kind Kind
	Base uint64 // the generation that it builds on; 0 for the first
	Body []byte // JSON, byte for byte
}

const (
	commandFormat = 1
	largestBody   = 256 << 20 // bytes of a field that is read from the log or a snapshot
)

// binary reads and writes avro. The library's own bound, 1 MiB, is below what a body may have.
var binary = avro.Config{MaxByteSliceSize: largestBody}.Freeze()

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
		return Command{}, refuse(BadCommand, "it is empty")
	}
	var record commandRecord
	if err := strictavro.Unmarshal(binary, commandSchema, encoded, &record); err != nil {
		return Command{}, refuse(BadCommand, err.Error())
	}
	if record.Format != commandFormat {
		return Command{}, refuse(BadCommand, fmt.Sprintf("format %d", record.Format))
	}
	kind := Kind(record.Kind)
	if kind != Replace && kind != Update {
		return Command{}, refuse(BadCommand, fmt.Sprintf("kind %d", record.Kind))
	}
	return Command{Kind: kind, Base: uint64(record.Base), Body: record.Body}, nil
}

// mustMarshal writes a record of this package's own schemas, which cannot fail.
func mustMarshal(schema avro.Schema, record any) []byte {
	encoded, err := binary.Marshal(schema, record)
	if err != nil {
		panic(fmt.Sprintf("configuration: encode: %v", err))
	}
	return encoded
}
