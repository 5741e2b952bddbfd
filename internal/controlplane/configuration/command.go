package configuration

import (
	"fmt"

	"github.com/hamba/avro/v2"

	"ospreybend/internal/util/strictavro"
)

// CommandKind determines what the body of a command contains. Its numbers are stored and must not change.
type CommandKind uint8

const (
	// CommandReplace replaces the whole configuration with the one in the body.
	CommandReplace CommandKind = 1
	// CommandUpdate adds, replaces and removes the items in the body.
	CommandUpdate CommandKind = 2
)

// Command is one change to the configuration, as the operator sent it.
type Command struct {
	Kind CommandKind
	Base uint64 // generation that the change is based on; 0 before the first configuration
	Body []byte // JSON, byte for byte as received
}

// Format and size limit of a stored command.
const (
	commandFormat = 1
	maxBodyBytes  = 256 << 20 // upper bound of a byte field that is read from the log or a snapshot
)

// avroCodec encodes and decodes stored records. It raises the library's default limit for a byte field, 1 MiB, which is too
// small for a body.
var avroCodec = avro.Config{MaxByteSliceSize: maxBodyBytes}.Freeze()

// commandSchema is the schema of a log entry.
var commandSchema = avro.MustParse(`{"type":"record","name":"configuration_command","fields":[
	{"name":"format","type":"int"},
	{"name":"kind","type":"int"},
	{"name":"base","type":"long"},
	{"name":"body","type":"bytes"}]}`)

// commandRecord is the Avro record of a Command.
type commandRecord struct {
	Format int    `avro:"format"`
	Kind   int    `avro:"kind"`
	Base   int64  `avro:"base"`
	Body   []byte `avro:"body"`
}

// EncodeCommand encodes the command as a log entry for replica.Group.Propose.
func EncodeCommand(command Command) []byte {
	return mustMarshal(commandSchema, commandRecord{
		Format: commandFormat,
		Kind:   int(command.Kind),
		Base:   int64(command.Base),
		Body:   command.Body,
	})
}

// DecodeCommand decodes a log entry made by EncodeCommand. The body does not share memory with the entry. The error is a
// *Rejection with CodeBadCommand.
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

// mustMarshal encodes a record with one of this package's schemas. It panics on an error, which can only mean that the
// record type does not match the schema.
func mustMarshal(schema avro.Schema, record any) []byte {
	encoded, err := avroCodec.Marshal(schema, record)
	if err != nil {
		panic(fmt.Sprintf("configuration: encode %T: %v", record, err))
	}
	return encoded
}
