package peerlink

import (
	"bytes"
	"errors"
	"fmt"
	"testing"
	"time"

	"ospreybend/coord/agreement"
	"ospreybend/internal/feedlink"
	"ospreybend/internal/testkit/golden"
)

// batchKinds names the fixture of a batch with a message of each kind.
var batchKinds = []struct {
	name string
	kind agreement.MessageKind
}{
	{"batch-pre-vote", agreement.MessagePreVote},
	{"batch-pre-vote-reply", agreement.MessagePreVoteReply},
	{"batch-vote", agreement.MessageVote},
	{"batch-vote-reply", agreement.MessageVoteReply},
	{"batch-append", agreement.MessageAppend},
	{"batch-append-reply", agreement.MessageAppendReply},
	{"batch-heartbeat", agreement.MessageHeartbeat},
	{"batch-heartbeat-reply", agreement.MessageHeartbeatReply},
	{"batch-snapshot", agreement.MessageSnapshot},
	{"batch-snapshot-reply", agreement.MessageSnapshotReply},
	{"batch-transfer-now", agreement.MessageTransferNow},
}

// messageOf returns a message with every field set. Some never have a value together; the form carries them all.
func messageOf(kind agreement.MessageKind) agreement.Message {
	members := []agreement.Member{
		{ID: 1 << 63, Address: "192.0.2.1:7100", Voter: true}, {ID: 12, Address: "192.0.2.2:7100"}, {ID: 13, Retired: true},
	}
	message := agreement.Message{
		Kind: kind, From: 1<<64 - 1, To: 12, Term: 7, LogIndex: 40, LogTerm: 6, Commit: 39, Reject: true,
		HintIndex: 38, HintTerm: 5, Context: 99, Forced: true,
	}
	switch kind {
	case agreement.MessageAppend:
		message.Entries = []agreement.Entry{
			{Term: 6, Index: 41, Kind: agreement.EntryNoop, Data: []byte{}},
			{Term: 7, Index: 42, Kind: agreement.EntryCommand, Data: []byte("command")},
			{Term: 7, Index: 43, Kind: agreement.EntryMembers, Data: []byte{}, Members: members},
		}
	case agreement.MessageSnapshot:
		message.Snapshot = &agreement.Snapshot{Index: 40, Term: 6, Data: []byte("state"), Members: members}
	}
	return message
}

// frameRow is a row of a frame of one kind.
func frameRow(name string, kind feedlink.Kind, value any, encode func() (frame, error), decode func([]byte) (any, error)) golden.Row {
	return golden.Row{
		Name: name, Value: value,
		Encode: func() ([]byte, error) {
			encoded, err := encode()
			return feedlink.AppendFrame(nil, encoded.kind, encoded.body), err
		},
		Decode: func(content []byte) (any, error) {
			read, body, err := feedlink.ReadFrame(bytes.NewReader(content))
			if err == nil && read != kind {
				err = fmt.Errorf("kind %d, want %d", read, kind)
			}
			if err != nil {
				return nil, err
			}
			return decode(body)
		},
	}
}

// callRow is a row of a call of one kind. The kinds are the caller's, numbered from 1.
func callRow(kind CallKind) golden.Row {
	body := []byte(fmt.Sprintf("body %d", kind))
	want := wireCall{ID: -1, Kind: int(kind), BudgetMs: 2500, Body: body}
	return frameRow(fmt.Sprintf("call-%d", kind), kindCall, want,
		func() (frame, error) { return encodeCall(1<<64-1, kind, 2500*time.Millisecond, body) },
		func(body []byte) (any, error) {
			var call wireCall
			err := decode(kindCall, callSchema, body, &call)
			return call, err
		})
}

// replyRow is a row of the answer to a call.
func replyRow(name string, want wireReply, failure error) golden.Row {
	return frameRow(name, kindReply, want,
		func() (frame, error) { return encodeReply(want.ID, want.Body, failure) },
		func(body []byte) (any, error) {
			var reply wireReply
			err := decode(kindReply, replySchema, body, &reply)
			return reply, err
		})
}

// compatibilityRows are one frame of each kind, and one batch for each kind of message of the consensus.
func compatibilityRows() []golden.Row {
	hello := Hello{Address: "192.0.2.1:7100", Member: 1<<64 - 2, Zone: "zone-a", Region: "region-1"}
	rows := []golden.Row{
		frameRow("hello", kindHello, hello,
			func() (frame, error) { return encodeHello(hello) },
			func(body []byte) (any, error) { return decodeHello(body) }),
		replyRow("reply", wireReply{ID: 8, Body: []byte("answer")}, nil),
		replyRow("reply-failed", wireReply{ID: 9, Failed: true, Text: "no such group", Body: []byte{}}, errors.New("no such group")),
	}
	for _, one := range batchKinds {
		batch := []GroupMessage{{Shard: 3, Message: messageOf(one.kind)}, {Shard: 4, Message: messageOf(one.kind)}}
		rows = append(rows, frameRow(one.name, kindBatch, batch,
			func() (frame, error) { return encodeBatch(batch) },
			func(body []byte) (any, error) { return decodeBatch(body) }))
	}
	const lastCallKind = 12
	for kind := CallKind(1); kind <= lastCallKind; kind++ {
		rows = append(rows, callRow(kind))
	}
	return rows
}

func TestFrames_asVersion8782861(t *testing.T) { golden.Check(t, compatibilityRows()) }
