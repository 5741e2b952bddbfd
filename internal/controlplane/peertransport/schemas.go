package peertransport

import "github.com/hamba/avro/v2"

// Avro schemas of the frames' bodies. An unsigned 64-bit number is encoded as the signed long with the same bits.
const (
	memberSchema = `{"type":"record","name":"Member","fields":[
		{"name":"ID","type":"long"},{"name":"Address","type":"string"},{"name":"Voter","type":"boolean"}]}`

	entrySchema = `{"type":"record","name":"Entry","fields":[
		{"name":"Term","type":"long"},
		{"name":"Index","type":"long"},
		{"name":"Kind","type":"int"},
		{"name":"Data","type":"bytes"},
		{"name":"Members","type":{"type":"array","items":` + memberSchema + `}}]}`

	snapshotSchema = `{"type":"record","name":"Snapshot","fields":[
		{"name":"Index","type":"long"},
		{"name":"Term","type":"long"},
		{"name":"Data","type":"bytes"},
		{"name":"Members","type":{"type":"array","items":"Member"}}]}`
)

var (
	helloSchema = avro.MustParse(`{"type":"record","name":"Hello","fields":[
		{"name":"Address","type":"string"},
		{"name":"Member","type":"long"},
		{"name":"Zone","type":"string"},
		{"name":"Region","type":"string"}]}`)

	batchSchema = avro.MustParse(`{"type":"array","items":{"type":"record","name":"Message","fields":[
		{"name":"Shard","type":"long"},
		{"name":"Kind","type":"int"},
		{"name":"From","type":"long"},
		{"name":"To","type":"long"},
		{"name":"Term","type":"long"},
		{"name":"LogIndex","type":"long"},
		{"name":"LogTerm","type":"long"},
		{"name":"Commit","type":"long"},
		{"name":"Reject","type":"boolean"},
		{"name":"HintIndex","type":"long"},
		{"name":"HintTerm","type":"long"},
		{"name":"Context","type":"long"},
		{"name":"Forced","type":"boolean"},
		{"name":"Entries","type":{"type":"array","items":` + entrySchema + `}},
		{"name":"Snapshot","type":["null",` + snapshotSchema + `]}]}}`)

	callSchema = avro.MustParse(`{"type":"record","name":"Call","fields":[
		{"name":"ID","type":"long"},
		{"name":"Kind","type":"int"},
		{"name":"BudgetMs","type":"int"},
		{"name":"Body","type":"bytes"}]}`)

	replySchema = avro.MustParse(`{"type":"record","name":"Reply","fields":[
		{"name":"ID","type":"long"},
		{"name":"Failed","type":"boolean"},
		{"name":"Text","type":"string"},
		{"name":"Body","type":"bytes"}]}`)
)
