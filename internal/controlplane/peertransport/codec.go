package peertransport

import (
	"fmt"
	"time"

	"github.com/hamba/avro/v2"

	"ospreybend/coord/consensus"
	"ospreybend/internal/controlplane/feedtransport"
	"ospreybend/internal/util/strictavro"
)

// Kinds of frames between servers. The values are part of the wire protocol.
const (
	kindHello feedtransport.Kind = feedtransport.FirstPeerKind + iota // first frame that the dialer sends
	kindBatch                                                         // batch of consensus messages
	kindCall
	kindReply
)

// CallKind is the kind of a call. The package that uses the transport defines its values; they are part of the wire protocol.
type CallKind int

// Hello is the handshake of a connection; it identifies the server that dialed.
type Hello struct {
	Address string // where the server listens for its peers, "ip:port"
	Member  consensus.MemberID
	Zone    string
	Region  string
}

// Wire forms of the frames' bodies. Their fields have the names of the fields in the Avro schemas.
type (
	wireHello struct {
		Address, Zone, Region string
		Member                int64
	}

	wireCall struct {
		ID       int64
		Kind     int
		BudgetMs int // milliseconds that the caller waits for the reply
		Body     []byte
	}

	wireReply struct {
		ID     int64
		Failed bool
		Text   string // error text, if Failed
		Body   []byte
	}
)

// codec is the Avro configuration. It accepts strings and byte fields up to the maximum length of a frame.
var codec = avro.Config{MaxByteSliceSize: feedtransport.MaxFrameBytes}.Freeze()

// frame is a frame whose body is encoded.
type frame struct {
	kind feedtransport.Kind
	body []byte
}

// encode encodes a message as a frame. It fails with feedtransport.ErrFrameTooLong if the body exceeds the maximum length.
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

// decode decodes the body of a frame into target. It fails if the body does not match the schema or has trailing bytes.
func decode(kind feedtransport.Kind, schema avro.Schema, body []byte, target any) error {
	if err := strictavro.Unmarshal(codec, schema, body, target); err != nil {
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
		wire[i] = messageToWire(message)
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
		messages[i] = messageFromWire(message)
	}
	return messages, nil
}

// encodeCall encodes a call. timeout is the time that the caller waits for the reply.
func encodeCall(id uint64, kind CallKind, timeout time.Duration, body []byte) (frame, error) {
	return encode(kindCall, callSchema, wireCall{
		ID: int64(id), Kind: int(kind), BudgetMs: int(timeout / time.Millisecond), Body: body,
	})
}

// encodeReply encodes the reply to a call: the body, or the text of failure if the call failed.
func encodeReply(id int64, body []byte, failure error) (frame, error) {
	reply := wireReply{ID: id, Body: body}
	if failure != nil {
		reply.Failed, reply.Text = true, failure.Error()
	}
	return encode(kindReply, replySchema, reply)
}
