package feedtransport

import "github.com/hamba/avro/v2"

// Avro schemas of the bodies of frames. An unsigned 64-bit number is encoded as the long that has the same bits.
const itemSchema = `{"type":"record","name":"Item","fields":[
	{"name":"Key","type":"string"},{"name":"Value","type":"bytes"}]}`

// helloFields are the fields of the first version of the Hello schema, which has no Compressed field.
const helloFields = `{"name":"Node","type":"string"},
	{"name":"Zone","type":"string"},
	{"name":"Region","type":"string"},
	{"name":"IP","type":"string"},
	{"name":"Role","type":"string"},
	{"name":"Incarnation","type":"long"},
	{"name":"Offsets","type":{"type":"array","items":{"type":"record","name":"Offset","fields":[
		{"name":"Shard","type":"long"},{"name":"Index","type":"long"}]}}}`

var (
	helloSchemaV1 = avro.MustParse(`{"type":"record","name":"Hello","fields":[` + helloFields + `]}`)

	helloSchema = avro.MustParse(`{"type":"record","name":"Hello","fields":[` + helloFields + `,
		{"name":"Compressed","type":"boolean"}]}`)

	compressedSchema = avro.MustParse(`{"type":"record","name":"Compressed","fields":[
		{"name":"Length","type":"long"},
		{"name":"Deflated","type":"bytes"}]}`)

	snapshotSchema = avro.MustParse(`{"type":"record","name":"SnapshotPart","fields":[
		{"name":"Shard","type":"long"},
		{"name":"Index","type":"long"},
		{"name":"First","type":"boolean"},
		{"name":"Last","type":"boolean"},
		{"name":"Items","type":{"type":"array","items":` + itemSchema + `}}]}`)

	changesSchema = avro.MustParse(`{"type":"record","name":"Changes","fields":[
		{"name":"Shard","type":"long"},
		{"name":"Changes","type":{"type":"array","items":{"type":"record","name":"Change","fields":[
			{"name":"Index","type":"long"},
			{"name":"Put","type":{"type":"array","items":` + itemSchema + `}},
			{"name":"Delete","type":{"type":"array","items":"string"}}]}}}]}`)

	statusSchema = avro.MustParse(`{"type":"record","name":"Status","fields":[
		{"name":"Sequence","type":"long"},
		{"name":"Shards","type":{"type":"array","items":{"type":"record","name":"ShardStatus","fields":[
			{"name":"Shard","type":"long"},
			{"name":"Index","type":"long"},
			{"name":"Current","type":"boolean"}]}}},
		{"name":"Keepers","type":{"type":"array","items":{"type":"record","name":"Keeper","fields":[
			{"name":"Address","type":"string"},
			{"name":"Zone","type":"string"},
			{"name":"Region","type":"string"}]}}}]}`)

	reportSchema = avro.MustParse(`{"type":"record","name":"Report","fields":[
		{"name":"Topic","type":"string"},{"name":"Body","type":"bytes"}]}`)

	suspicionSchema = avro.MustParse(`{"type":"record","name":"Suspicion","fields":[
		{"name":"IP","type":"string"},{"name":"Suspected","type":"boolean"}]}`)
)

// maxElements limits the elements of a decoded array, so that a forged count costs little memory.
const maxElements = 1 << 18

// codec accepts strings and byte fields that are up to MaxFrameBytes long.
var codec = avro.Config{MaxByteSliceSize: MaxFrameBytes, MaxSliceAllocSize: maxElements}.Freeze()
