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

// Kinds of calls between keepers.
const (
	callReplace         peertransport.CallKind = 1 // a whole configuration
	callUpdate          peertransport.CallKind = 2 // a change of it
	callRead            peertransport.CallKind = 3 // the newest configuration
	callHeartbeat       peertransport.CallKind = 4 // a worker's heartbeat
	callNodeHeartbeats  peertransport.CallKind = 5 // heartbeats of edge nodes
	callDeregister      peertransport.CallKind = 6
	callJoin            peertransport.CallKind = 7  // a keeper asks to be taken into groups
	callGroupStates     peertransport.CallKind = 8  // which shards a keeper could own
	callSessionLiveness peertransport.CallKind = 9  // instances whose heartbeats another keeper has acknowledged
	callIdentity        peertransport.CallKind = 10 // which member lives at this address
	callLeave           peertransport.CallKind = 11 // a keeper that is about to end offers its places in groups
	callDemand          peertransport.CallKind = 12 // the demand of services that a keeper's proxies report
)

// shardRequest is what the owner of a shard is asked.
type shardRequest struct {
	Kind  peertransport.CallKind
	Shard shards.ID
	ID    string // of the instance
	Base  uint64 // of a change to the configuration
	Body  []byte
}

// shardResponse is what the owner of a shard says.
type shardResponse struct {
	NotOwner bool   // nothing was done; Leader is the address of the owner, if known
	Leader   string // "ip:port" of the peer listener
	Status   int    // of HTTP
	Code     int    // of an error
	Text     string
	Body     []byte // of a success
	Known    bool   // Deregister: the instance was known
}

// edgeNode is one edge node whose agent reads this keeper's feed.
type edgeNode struct {
	ID      string
	Address string // "ip:port"
	Zone    string
}

// sessionHeartbeat tells that an instance was heard.
type sessionHeartbeat struct {
	ID       string
	Sequence int64 // of its heartbeat
}

// groupState is how far a keeper is with one group.
type groupState struct {
	Shard    int
	Voter    bool
	Current  bool
	Writable bool
}

// identityReply tells which member lives at an address.
type identityReply struct {
	ID           consensus.MemberID
	Age          time.Duration // since its process began
	ShuttingDown bool          // it is about to end
}

// serverInfo tells where a keeper is.
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

// codec admits strings and byte fields up to the length of a frame.
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
		return shardRequest{}, fmt.Errorf("keeper: call: %w", err)
	}
	if wire.Shard < 0 || wire.Shard >= shards.ShardCount {
		return shardRequest{}, fmt.Errorf("keeper: call: no shard %d", wire.Shard)
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
		return identityReply{}, fmt.Errorf("keeper: identity: %w", err)
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
		return shardResponse{}, fmt.Errorf("keeper: answer: %w", err)
	}
	if !response.isDefinitive() {
		return shardResponse{}, fmt.Errorf("keeper: answer: status %d", response.Status)
	}
	return response, nil
}

// isDefinitive tells whether an answer is one that an owner gives: a success, a refusal, or that it is not
// known what became of the call, or not done.
func (response shardResponse) isDefinitive() bool {
	refused := response.Status >= http.StatusBadRequest && response.Status < http.StatusInternalServerError
	return response.NotOwner || response.Status == http.StatusOK || refused || response.Status == http.StatusServiceUnavailable
}

// okResponse is the answer to a call that was carried out.
func okResponse(body []byte) shardResponse { return shardResponse{Status: http.StatusOK, Body: body} }

// errorResponse is the answer of one of this package's codes.
func errorResponse(code Code) shardResponse {
	entry := codes.Entry(code)
	return shardResponse{Status: entry.HTTPStatus, Code: int(code), Text: entry.Text}
}

// notOwnerResponse is the answer of a keeper that does not lead the shard.
func notOwnerResponse(leader string) shardResponse {
	return shardResponse{NotOwner: true, Leader: leader}
}
