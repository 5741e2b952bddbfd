package server

import (
	"fmt"
	"net/http"
	"time"

	"github.com/hamba/avro/v2"

	"ospreybend/coord/consensus"
	"ospreybend/coord/shards"
	"ospreybend/internal/controlplane/feedtransport"
	"ospreybend/internal/controlplane/peertransport"
	"ospreybend/internal/util/strictavro"
)

// Kinds of calls between servers. The numbers are part of the wire format.
const (
	callReplace         peertransport.CallKind = 1 // replace the whole configuration
	callUpdate          peertransport.CallKind = 2 // change parts of the configuration
	callRead            peertransport.CallKind = 3 // read the configuration in force
	callHeartbeat       peertransport.CallKind = 4 // a worker's heartbeat
	callNodeHeartbeats  peertransport.CallKind = 5 // heartbeats of edge nodes
	callDeregister      peertransport.CallKind = 6
	callJoin            peertransport.CallKind = 7  // request to be added to groups
	callGroupStates     peertransport.CallKind = 8  // read the states of a server's replicas
	callSessionLiveness peertransport.CallKind = 9  // heartbeats that the calling server has acknowledged
	callIdentity        peertransport.CallKind = 10 // read which member runs at an address
	callLeave           peertransport.CallKind = 11 // request of a server that is shutting down to release its votes
	callDemand          peertransport.CallKind = 12 // demand that proxies have reported to the calling server
)

// shardRequest is a request to the owner of a shard. Servers forward it to one another, encoded by callSchema.
type shardRequest struct {
	Kind  peertransport.CallKind
	Shard shards.ID
	ID    string // instance ID; of callDemand, the sending server's address
	Base  uint64 // base version of a configuration change
	Body  []byte
}

// shardResponse is the answer to a shardRequest. Its fields are encoded by name (see responseSchema).
type shardResponse struct {
	NotOwner bool   // the request was not executed; Leader is the owner, if known
	Leader   string // "ip:port" of the peer listener
	Status   int    // HTTP status
	Code     int    // error code, see docs/ERRORS.md
	Text     string // error text
	Body     []byte // body of a successful response
	Known    bool   // for callDeregister: the owner knew the instance
}

// edgeNode is an edge node whose agent reads this server's feed. Its fields are encoded by name.
type edgeNode struct {
	ID      string
	Address string // "ip:port"
	Zone    string
}

// sessionHeartbeat reports that a server has acknowledged an instance's heartbeat. Its fields are encoded by name.
type sessionHeartbeat struct {
	ID       string
	Sequence int64 // of the heartbeat
}

// groupState is the state of a server's replica of one group. Its fields are encoded by name.
type groupState struct {
	Shard    int
	Voter    bool
	Current  bool
	Writable bool
}

// identityReply is the reply to callIdentity: the member that runs at an address. It is encoded as a wireIdentity.
type identityReply struct {
	ID           consensus.MemberID
	Age          time.Duration // time since the server was opened
	ShuttingDown bool          // a graceful shutdown has begun
}

// serverInfo is the address and failure domain of a server. Its fields are encoded by name.
type serverInfo struct {
	Address string // "ip:port" of the peer listener
	Zone    string
	Region  string
}

var (
	callSchema = avro.MustParse(`{"type":"record","name":"Call","fields":[
		{"name":"Kind","type":"int"},
		{"name":"Shard","type":"long"},
		{"name":"ID","type":"string"},
		{"name":"Base","type":"long"},
		{"name":"Body","type":"bytes"}]}`)

	responseSchema = avro.MustParse(`{"type":"record","name":"Answer","fields":[
		{"name":"NotOwner","type":"boolean"},
		{"name":"Leader","type":"string"},
		{"name":"Status","type":"int"},
		{"name":"Code","type":"int"},
		{"name":"Text","type":"string"},
		{"name":"Body","type":"bytes"},
		{"name":"Known","type":"boolean"}]}`)

	nodesSchema = avro.MustParse(`{"type":"array","items":{"type":"record","name":"Node","fields":[
		{"name":"ID","type":"string"},
		{"name":"Address","type":"string"},
		{"name":"Zone","type":"string"}]}}`)

	sessionHeartbeatsSchema = avro.MustParse(`{"type":"array","items":{"type":"record","name":"Presence","fields":[
		{"name":"ID","type":"string"},
		{"name":"Sequence","type":"long"}]}}`)

	groupsSchema = avro.MustParse(`{"type":"array","items":{"type":"record","name":"GroupState","fields":[
		{"name":"Shard","type":"int"},
		{"name":"Voter","type":"boolean"},
		{"name":"Current","type":"boolean"},
		{"name":"Writable","type":"boolean"}]}}`)

	identitySchema = avro.MustParse(`{"type":"record","name":"Identity","fields":[
		{"name":"Member","type":"long"},
		{"name":"AgeMs","type":"long"},
		{"name":"Leaving","type":"boolean"}]}`)

	serversSchema = avro.MustParse(`{"type":"array","items":{"type":"record","name":"Keeper","fields":[
		{"name":"Address","type":"string"},
		{"name":"Zone","type":"string"},
		{"name":"Region","type":"string"}]}}`)
)

// codec encodes and decodes Avro. It accepts strings and byte fields up to the maximum length of a frame.
var codec = avro.Config{MaxByteSliceSize: feedtransport.MaxFrameBytes}.Freeze()

// wireShardRequest mirrors callSchema.
type wireShardRequest struct {
	Kind        int
	Shard, Base int64
	ID          string
	Body        []byte
}

func encodeShardRequest(request shardRequest) ([]byte, error) {
	return codec.Marshal(callSchema, wireShardRequest{
		Kind: int(request.Kind), Shard: int64(request.Shard), Base: int64(request.Base), ID: request.ID, Body: request.Body,
	})
}

func decodeShardRequest(body []byte) (shardRequest, error) {
	var wire wireShardRequest
	if err := strictavro.Unmarshal(codec, callSchema, body, &wire); err != nil {
		return shardRequest{}, fmt.Errorf("decode shard request: %w", err)
	}
	if wire.Shard < 0 || wire.Shard >= shards.ShardCount {
		return shardRequest{}, fmt.Errorf("decode shard request: no shard %d", wire.Shard)
	}
	return shardRequest{
		Kind: peertransport.CallKind(wire.Kind), Shard: shards.ID(wire.Shard),
		Base: uint64(wire.Base), ID: wire.ID, Body: wire.Body,
	}, nil
}

// wireIdentity mirrors identitySchema.
type wireIdentity struct {
	Member, AgeMs int64
	Leaving       bool
}

func encodeIdentity(identity identityReply) ([]byte, error) {
	return codec.Marshal(identitySchema, wireIdentity{
		Member: int64(identity.ID), AgeMs: identity.Age.Milliseconds(), Leaving: identity.ShuttingDown,
	})
}

func decodeIdentity(body []byte) (identityReply, error) {
	var wire wireIdentity
	if err := strictavro.Unmarshal(codec, identitySchema, body, &wire); err != nil {
		return identityReply{}, fmt.Errorf("decode identity: %w", err)
	}
	return identityReply{
		ID: consensus.MemberID(wire.Member), Age: time.Duration(wire.AgeMs) * time.Millisecond, ShuttingDown: wire.Leaving,
	}, nil
}

func encodeShardResponse(response shardResponse) ([]byte, error) {
	return codec.Marshal(responseSchema, response)
}

func decodeShardResponse(body []byte) (shardResponse, error) {
	var response shardResponse
	if err := strictavro.Unmarshal(codec, responseSchema, body, &response); err != nil {
		return shardResponse{}, fmt.Errorf("decode shard response: %w", err)
	}
	if !response.isDefinitive() {
		return shardResponse{}, fmt.Errorf("decode shard response: unexpected status %d", response.Status)
	}
	return response, nil
}

// isDefinitive reports whether a response is one that servers of this version send: a success, a rejection, "not the owner", or
// status 503. Any other response was corrupted or comes from another version.
func (response shardResponse) isDefinitive() bool {
	rejected := response.Status >= http.StatusBadRequest && response.Status < http.StatusInternalServerError
	return response.NotOwner || response.Status == http.StatusOK || rejected || response.Status == http.StatusServiceUnavailable
}

// okResponse returns the response to a request that succeeded.
func okResponse(body []byte) shardResponse { return shardResponse{Status: http.StatusOK, Body: body} }

// errorResponse returns the response for one of this package's error codes.
func errorResponse(code Code) shardResponse {
	entry := codes.Entry(code)
	return shardResponse{Status: entry.HTTPStatus, Code: int(code), Text: entry.Text}
}

// notOwnerResponse returns the response of a server that does not own the shard. leader is the owner's address, empty if unknown.
func notOwnerResponse(leader string) shardResponse {
	return shardResponse{NotOwner: true, Leader: leader}
}

// firstFailure returns the first unsuccessful response, or an empty success if there is none.
func firstFailure(responses []shardResponse) shardResponse {
	for _, response := range responses {
		if response.Status != http.StatusOK {
			return response
		}
	}
	return okResponse(emptyObject)
}
