package peertransport

import (
	"bytes"
	"errors"
	"fmt"
	"testing"
	"time"

	"ospreybend/coord/consensus"
	"ospreybend/internal/controlplane/feedtransport"
	"ospreybend/internal/testkit/golden"
)

// batchFixtures lists the fixtures of batches: one for each kind of consensus message.
var batchFixtures = []struct {
	name string
	kind consensus.MessageKind
}{
	{"batch-pre-vote", consensus.MessagePreVote},
	{"batch-pre-vote-reply", consensus.MessagePreVoteReply},
	{"batch-vote", consensus.MessageRequestVote},
	{"batch-vote-reply", consensus.MessageRequestVoteReply},
	{"batch-append", consensus.MessageAppendEntries},
	{"batch-append-reply", consensus.MessageAppendEntriesReply},
	{"batch-heartbeat", consensus.MessageHeartbeat},
	{"batch-heartbeat-reply", consensus.MessageHeartbeatReply},
	{"batch-snapshot", consensus.MessageInstallSnapshot},
	{"batch-snapshot-reply", consensus.MessageInstallSnapshotReply},
	{"batch-transfer-now", consensus.MessageTimeoutNow},
}

// filledMessage returns a message of a kind with all fields set that the encoding has for it, also those that are never set
// together in practice.
func filledMessage(kind consensus.MessageKind) consensus.Message {
	members := []consensus.Member{
		{ID: 1 << 63, Address: "192.0.2.1:7100", Voter: true}, {ID: 12, Address: "192.0.2.2:7100"}, {ID: 13, Retired: true},
	}
	message := consensus.Message{
		Kind: kind, From: 1<<64 - 1, To: 12, Term: 7, LogIndex: 40, LogTerm: 6, Commit: 39, Reject: true,
		HintIndex: 38, HintTerm: 5, HeartbeatRound: 99, LeadershipTransfer: true,
	}
	switch kind {
	case consensus.MessageAppendEntries:
		message.Entries = []consensus.Entry{
			{Term: 6, Index: 41, Kind: consensus.EntryNoop, Data: []byte{}},
			{Term: 7, Index: 42, Kind: consensus.EntryCommand, Data: []byte("command")},
			{Term: 7, Index: 43, Kind: consensus.EntryMembership, Data: []byte{}, Members: members},
		}
	case consensus.MessageInstallSnapshot:
		message.Snapshot = &consensus.Snapshot{Index: 40, Term: 6, Data: []byte("state"), Members: members}
	}
	return message
}

// frameRow returns the row of a frame of the given kind.
func frameRow(name string, kind feedtransport.Kind, value any, encode func() (frame, error), decode func([]byte) (any, error)) golden.Row {
	return golden.Row{
		Name: name, Value: value,
		Encode: func() ([]byte, error) {
			encoded, err := encode()
			return feedtransport.AppendFrame(nil, encoded.kind, encoded.body), err
		},
		Decode: func(content []byte) (any, error) {
			readKind, body, err := feedtransport.ReadFrame(bytes.NewReader(content))
			if err == nil && readKind != kind {
				err = fmt.Errorf("frame has kind %d, want %d", readKind, kind)
			}
			if err != nil {
				return nil, err
			}
			return decode(body)
		},
	}
}

// callRow returns the row of a call of the given kind.
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

// replyRow returns the row of a reply.
func replyRow(name string, want wireReply, failure error) golden.Row {
	return frameRow(name, kindReply, want,
		func() (frame, error) { return encodeReply(want.ID, want.Body, failure) },
		func(body []byte) (any, error) {
			var reply wireReply
			err := decode(kindReply, replySchema, body, &reply)
			return reply, err
		})
}

// compatibilityRows returns rows for each kind of frame, with one batch for each kind of consensus message and one call for each
// kind of call.
func compatibilityRows() []golden.Row {
	hello := Hello{Address: "192.0.2.1:7100", Member: 1<<64 - 2, Zone: "zone-a", Region: "region-1"}
	rows := []golden.Row{
		frameRow("hello", kindHello, hello,
			func() (frame, error) { return encodeHello(hello) },
			func(body []byte) (any, error) { return decodeHello(body) }),
		replyRow("reply", wireReply{ID: 8, Body: []byte("answer")}, nil),
		replyRow("reply-failed", wireReply{ID: 9, Failed: true, Text: "no such group", Body: []byte{}}, errors.New("no such group")),
	}
	for _, fixture := range batchFixtures {
		batch := []GroupMessage{{Shard: 3, Message: filledMessage(fixture.kind)}, {Shard: 4, Message: filledMessage(fixture.kind)}}
		rows = append(rows, frameRow(fixture.name, kindBatch, batch,
			func() (frame, error) { return encodeBatch(batch) },
			func(body []byte) (any, error) { return decodeBatch(body) }))
	}
	const lastCallKind = 12 // the control plane server numbers its kinds from 1
	for kind := CallKind(1); kind <= lastCallKind; kind++ {
		rows = append(rows, callRow(kind))
	}
	return rows
}

func TestFrames_asVersion8782861(t *testing.T) { golden.Check(t, compatibilityRows()) }
