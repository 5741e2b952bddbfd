package peertransport

import (
	"fmt"
	"time"

	"github.com/hamba/avro/v2"

	"ospreybend/coord/consensus"
	"ospreybend/internal/controlplane/feedtransport"
	"ospreybend/internal/util/strictavro"
)

// Kinds of frames between servers. Their values are part of the wire protocol.
const (
	kindHello feedtransport.Kind = feedtransport.FirstPeerKind + iota // first frame of the dialer
	kindBatch                                                         // consensus messages
	kindCall
	kindReply
)

// CallKind is the kind of a call. Its values are defined by the user of the transport.
type CallKind int

// Hello identifies the dialer of a connection.
type Hello struct {
	Address string // at which it accepts its peers, "ip:port"
	Member  consensus.MemberID
	Zone    string
	Region  string
}

type (
	wireHello struct {
		Address, Zone, Region string
		Member                int64
	}

	wireCall struct {
		ID       int64
		Kind     int
		BudgetMs int
		Body     []byte
	}

	wireReply struct {
		ID     int64
		Failed bool
		Text   string
		Body   []byte
	}
)

// codec accepts strings and byte fields up to the length of a frame.
var codec = avro.Config{MaxByteSliceSize: feedtransport.MaxFrameBytes}.Freeze()

// frame is an encoded frame that is to be written.
type frame struct {
	kind feedtransport.Kind
	body []byte
}

// encode encodes a message as a frame.
func encode(kind feedtransport.Kind, schema avro.Schema, message any) (frame, error) {
	body, err := codec.Marshal(schema, message)
	if err != nil {
		return frame{}, fmt.Errorf("peertransport: encode a frame of kind %d: %w", kind, err)
	}
	if len(body) > feedtransport.MaxFrameBytes {
		return frame{}, feedtransport.ErrFrameTooLong
	}
	return frame{kind: kind, body: body}, nil
}

// decode decodes the body of a frame, which must fit its schema exactly.
func decode(kind feedtransport.Kind, schema avro.Schema, body []byte, into any) error {
	if err := strictavro.Unmarshal(codec, schema, body, into); err != nil {
		return fmt.Errorf("peertransport: decode a frame of kind %d: %w", kind, err)
	}
	return nil
}

func encodeHello(hello Hello) (frame, error) {
	return encode(kindHello, helloSchema, wireHello{
		Address: hello.Address, Member: int64(hello.Member), Zone: hello.Zone, Region: hello.Region,
	})
}

func decodeHello(body []byte) (Hello, error) {
	var wire wireHello
	if err := decode(kindHello, helloSchema, body, &wire); err != nil {
		return Hello{}, err
	}
	return Hello{Address: wire.Address, Member: consensus.MemberID(wire.Member), Zone: wire.Zone, Region: wire.Region}, nil
}

func encodeBatch(messages []GroupMessage) (frame, error) {
	wire := make([]wireMessage, len(messages))
	for i, message := range messages {
		wire[i] = toWire(message)
	}
	return encode(kindBatch, batchSchema, wire)
}

func decodeBatch(body []byte) ([]GroupMessage, error) {
	var wire []wireMessage
	if err := decode(kindBatch, batchSchema, body, &wire); err != nil {
		return nil, err
	}
	messages := make([]GroupMessage, len(wire))
	for i, message := range wire {
		messages[i] = fromWire(message)
	}
	return messages, nil
}

// encodeCall encodes a call. timeout is the time that the caller waits for the reply.
func encodeCall(id uint64, kind CallKind, timeout time.Duration, body []byte) (frame, error) {
	return encode(kindCall, callSchema, wireCall{
		ID: int64(id), Kind: int(kind), BudgetMs: int(timeout / time.Millisecond), Body: body,
	})
}

// encodeReply encodes the reply to a call: its body, or why it failed.
func encodeReply(id int64, body []byte, failure error) (frame, error) {
	reply := wireReply{ID: id, Body: body}
	if failure != nil {
		reply.Failed, reply.Text = true, failure.Error()
	}
	return encode(kindReply, replySchema, reply)
}
