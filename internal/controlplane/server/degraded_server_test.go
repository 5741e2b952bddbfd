package server

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"ospreybend/coord/consensus"
	"ospreybend/coord/replica"
	"ospreybend/coord/shards"
	"ospreybend/internal/controlplane/configuration"
	"ospreybend/internal/controlplane/peertransport"
	"ospreybend/internal/controlplane/registry"
	"ospreybend/internal/util/bootconfig"
)

const (
	ownerAddress      = "127.0.0.1:7100"
	currentGeneration = 7 // generation in force
	removedID         = "i-gone"
)

// capability is a set of operations that a degraded server can still perform.
type capability uint8

const (
	canChange      capability = 1 << iota // a majority can commit a change
	canRead                               // a majority can confirm that the state is the newest
	canAcknowledge                        // this server or an owner is current, which suffices for heartbeats that change nothing
)

// degradedServerFixture is a degraded server and a second server that owns all shards, which the first may or may not reach.
type degradedServerFixture struct {
	server  *Server
	groups  [shards.ShardCount]*scriptedGroup
	owner   *Server
	network *ownerOnlyNetwork
}

// ownerOnlyNetwork is the network of a server that can reach at most the owner.
type ownerOnlyNetwork struct {
	scriptedNetwork
	owner        *Server // nil: not reachable
	replyError   error   // if set, the owner executes each call but the caller gets this error
	unresponsive bool    // calls are neither executed nor answered
}

func (n *ownerOnlyNetwork) Call(ctx context.Context, _ string, kind peertransport.CallKind, body []byte) ([]byte, error) {
	if n.unresponsive {
		<-ctx.Done()
		return nil, peertransport.ErrOutcomeUnknown
	}
	if n.owner == nil {
		return nil, peertransport.ErrNotSent
	}
	reply, err := n.owner.Call(ctx, peertransport.Hello{}, kind, body)
	if n.replyError != nil {
		return nil, n.replyError
	}
	return reply, err
}

// applyInitialState applies the state that the test cases below assume to a server's replicas.
func applyInitialState(t *testing.T, server *Server) {
	t.Helper()
	apply := func(shard shards.ID, index uint64, data []byte) {
		server.shards[shard].stateMachine.Apply(consensus.Entry{Index: index, Data: data})
	}
	for index, change := range []configuration.Command{
		{Kind: configuration.CommandReplace, Base: 0, Body: []byte(configurationJSON(3))},
		{Kind: configuration.CommandReplace, Base: 3, Body: []byte(configurationJSON(currentGeneration))},
	} {
		apply(shards.ConfigurationShard, uint64(index+1), configuration.EncodeCommand(change))
	}
	for index, id := range []string{removedID, testInstanceID} {
		heartbeat, err := registry.ParseHeartbeat(id, []byte(heartbeatJSON("ready", 1)))
		if err != nil {
			t.Fatal(err)
		}
		apply(shards.ForService(testService), uint64(2*index+1), registry.EncodePut(heartbeat.Instance, 1))
		if id == removedID {
			apply(shards.ForService(testService), 2, registry.EncodeRemove(id, registry.Deregistered, 1))
		}
	}
}

// makeOwner makes a server the owner of all shards and has its proposals committed immediately.
func makeOwner(s *Server, groups [shards.ShardCount]*scriptedGroup) {
	for i, group := range groups {
		index := uint64(10)
		group.onPropose = func(_ context.Context, data []byte) (any, error) {
			index++
			return s.shards[i].stateMachine.Apply(consensus.Entry{Index: index, Data: data}), nil
		}
		group.set(leaderStatus())
		s.shards[i].stateMachine.setLeaderTerm(3)
		s.shards[i].stateMachine.ownershipGained(time.Now(), 3)
	}
}

// setEveryGroup sets the status of all groups. Proposals and reads fail with err or, if it is nil, wait until their deadline.
func (s *degradedServerFixture) setEveryGroup(status replica.Status, err error) {
	for i, group := range s.groups {
		group.set(status)
		group.onPropose = func(ctx context.Context, _ []byte) (any, error) { return nil, failOrWait(ctx, err) }
		group.barrier = func(ctx context.Context) error { return failOrWait(ctx, err) }
		if status.IsLeader() {
			s.server.shards[i].stateMachine.setLeaderTerm(status.Term)
			s.server.shards[i].stateMachine.ownershipGained(time.Now(), status.Term)
		}
	}
}

// failOrWait returns err or, if it is nil, waits until ctx ends and returns replica.ErrUnknownOutcome.
func failOrWait(ctx context.Context, err error) error {
	if err == nil {
		<-ctx.Done()
		return replica.ErrUnknownOutcome
	}
	return err
}

func newDegradedServerFixture(t *testing.T) *degradedServerFixture {
	t.Helper()
	s := &degradedServerFixture{network: &ownerOnlyNetwork{}}
	s.server, s.groups, _ = newScriptedServer(t)
	s.server.peers.network = s.network
	applyInitialState(t, s.server)
	config := bootconfig.Defaults()
	config.IP, config.PortRange = "127.0.0.1", [2]int{7100, 7115}
	s.owner = newServer(config, consensus.Member{ID: 2, Address: ownerAddress}, Environment{}, zap.NewNop())
	t.Cleanup(s.owner.Close)
	var groups [shards.ShardCount]*scriptedGroup
	for i, shard := range s.owner.shards {
		groups[i] = &scriptedGroup{}
		shard.group = groups[i]
	}
	applyInitialState(t, s.owner)
	makeOwner(s.owner, groups)
	return s
}

// withConfirmedAge returns the status with the given age of the last contact with a majority.
func withConfirmedAge(status replica.Status, age time.Duration) replica.Status {
	status.ConfirmedAge = age
	return status
}

// degradedStates lists states of a server with its capabilities in each.
var degradedStates = []struct {
	name         string
	capabilities capability
	enter        func(s *degradedServerFixture)
}{
	{"leader", canChange | canRead | canAcknowledge, func(s *degradedServerFixture) { makeOwner(s.server, s.groups) }},
	{"leader that has just lost its majority", canAcknowledge, func(s *degradedServerFixture) { s.setEveryGroup(leaderStatus(), nil) }},
	{"leader that lost its majority long ago", 0, func(s *degradedServerFixture) {
		s.setEveryGroup(withConfirmedAge(leaderStatus(), 2*currentMaxAge), nil)
	}},
	{"leader with too many uncommitted proposals", canAcknowledge, func(s *degradedServerFixture) { s.setEveryGroup(leaderStatus(), consensus.ErrTooManyUncommitted) }},
	{"leader that transfers its leadership because its disk is full", canAcknowledge, func(s *degradedServerFixture) { s.setEveryGroup(leaderStatus(), consensus.ErrTransferInProgress) }},
	{"former leader", canChange | canRead | canAcknowledge, func(s *degradedServerFixture) {
		s.setEveryGroup(leaderStatus(), replica.NotLeaderError{Leader: consensus.Member{ID: 2, Address: ownerAddress}})
		s.network.owner = s.owner
	}},
	{"groups are closed", 0, func(s *degradedServerFixture) {
		s.setEveryGroup(withConfirmedAge(followerStatus(""), 2*currentMaxAge), replica.ErrClosed)
	}},
	{"follower", canChange | canRead | canAcknowledge, func(s *degradedServerFixture) {
		s.setEveryGroup(followerStatus(ownerAddress), replica.NotLeaderError{})
		s.network.owner = s.owner
	}},
	{"follower that is not current", canChange | canRead | canAcknowledge, func(s *degradedServerFixture) {
		s.setEveryGroup(withConfirmedAge(followerStatus(ownerAddress), 2*currentMaxAge), replica.NotLeaderError{})
		s.network.owner = s.owner
	}},
	{"follower that loses the owner's replies", canAcknowledge, func(s *degradedServerFixture) {
		s.setEveryGroup(followerStatus(ownerAddress), replica.NotLeaderError{})
		s.network.owner, s.network.replyError = s.owner, peertransport.ErrOutcomeUnknown
	}},
	{"follower of an unresponsive owner", canAcknowledge, func(s *degradedServerFixture) {
		s.setEveryGroup(followerStatus(ownerAddress), replica.NotLeaderError{})
		s.network.unresponsive = true
	}},
	{"follower without contact", 0, func(s *degradedServerFixture) {
		s.setEveryGroup(withConfirmedAge(followerStatus(ownerAddress), 2*contactLostAfter), nil)
	}},
	{"no known leader, without contact", 0, func(s *degradedServerFixture) {
		s.setEveryGroup(withConfirmedAge(followerStatus(""), 2*contactLostAfter), nil)
	}},
	{"no known leader during an election", canAcknowledge, func(s *degradedServerFixture) { s.setEveryGroup(followerStatus(""), nil) }},
	{"not a member, owner unknown", 0, func(s *degradedServerFixture) {
		s.setEveryGroup(withConfirmedAge(replica.Status{}, 2*contactLostAfter), nil)
	}},
	{"not a member, owner known", canChange | canRead | canAcknowledge, func(s *degradedServerFixture) {
		s.setEveryGroup(withConfirmedAge(replica.Status{}, 2*contactLostAfter), nil)
		s.server.directory.learn(serverInfo{Address: ownerAddress, Zone: "z"})
		s.network.owner = s.owner
	}},
	{"shutting down", canChange | canRead | canAcknowledge, func(s *degradedServerFixture) {
		s.setEveryGroup(followerStatus(ownerAddress), replica.NotLeaderError{})
		s.server.lifecycle.shuttingDown.Store(true)
		s.network.owner = s.owner
	}},
}

// degradedCalls lists calls with the capability that they need and the response status if the server has it; otherwise the status is
// 503. Calls that need no capability get the same response in every state: they are invalid in any state, or concern facts in the
// replica that can no longer change.
var degradedCalls = []struct {
	name    string
	request APIRequest
	needs   capability
	status  int
}{
	{"a replacement of the configuration", changeRequest(APIReplace, "7", configurationJSON(9)), canChange, http.StatusOK},
	{"an update", changeRequest(APIUpdate, "7", `{"generation":9}`), canChange, http.StatusOK},
	{"a repeated change", changeRequest(APIReplace, "3", configurationJSON(currentGeneration)), canChange, http.StatusOK},
	{"a repeated change that is no longer in force", changeRequest(APIReplace, "", configurationJSON(3)), canChange, http.StatusOK},
	{"a change with an outdated base version", changeRequest(APIReplace, "3", configurationJSON(9)), canChange, http.StatusPreconditionFailed},
	{"a base version above the generation in force", changeRequest(APIReplace, "8", configurationJSON(9)), canChange, http.StatusServiceUnavailable},
	{"removal of a service that a route uses", changeRequest(APIUpdate, "7", `{"generation":9,"remove":{"services":["s"]}}`), canChange, http.StatusBadRequest},
	{"a configuration that is not JSON", changeRequest(APIReplace, "7", "{"), 0, http.StatusBadRequest},
	{"a route to an unknown service", changeRequest(APIReplace, "7", strings.Replace(configurationJSON(9), `"service":"s"`, `"service":"x"`, 1)), 0, http.StatusBadRequest},
	{"a generation not above its base version", changeRequest(APIUpdate, "7", `{"generation":7}`), 0, http.StatusBadRequest},
	{"a base version that is not a number", changeRequest(APIReplace, "x", configurationJSON(9)), 0, http.StatusBadRequest},
	{"a read", APIRequest{Call: APIRead}, canRead, http.StatusOK},
	{"a heartbeat that changes nothing", heartbeatRequest(testInstanceID, heartbeatJSON("ready", 2)), canAcknowledge, http.StatusOK},
	{"a heartbeat that starts draining", heartbeatRequest(testInstanceID, heartbeatJSON("draining", 2)), canChange, http.StatusOK},
	{"a heartbeat of a new instance", heartbeatRequest("i-new", heartbeatJSON("ready", 1)), canChange, http.StatusOK},
	{"a heartbeat of a removed instance", heartbeatRequest(removedID, heartbeatJSON("ready", 2)), canAcknowledge, http.StatusOK},
	{"a heartbeat that is not JSON", heartbeatRequest(testInstanceID, "{"), 0, http.StatusBadRequest},
	{"a heartbeat that is too large", heartbeatRequest(testInstanceID, strings.Repeat(" ", maxHeartbeatBytes+1)), 0, http.StatusRequestEntityTooLarge},
	{"a deregistration", APIRequest{Call: APIDeregister, ID: testInstanceID}, canChange, http.StatusOK},
	{"a deregistration of an unknown instance", APIRequest{Call: APIDeregister, ID: "i-unknown"}, canChange, http.StatusOK},
	{"a repeated deregistration", APIRequest{Call: APIDeregister, ID: removedID}, 0, http.StatusOK},
	{"a deregistration without an instance ID", APIRequest{Call: APIDeregister}, 0, http.StatusBadRequest},
	{"an unknown call", APIRequest{}, 0, http.StatusNotFound},
}

func changeRequest(kind APICall, base, body string) APIRequest {
	return APIRequest{Call: kind, Base: base, Body: []byte(body)}
}

func heartbeatRequest(id, body string) APIRequest {
	return APIRequest{Call: APIHeartbeat, ID: id, Body: []byte(body)}
}

// callDegraded makes a call to a server in a degraded state, with the given guards omitted, and returns what is wrong with the response,
// or "" if nothing is. state and call are indexes of degradedStates and degradedCalls.
func callDegraded(t *testing.T, state, call int, omit ...Guard) (problem string) {
	synctest.Test(t, func(t *testing.T) {
		s := newDegradedServerFixture(t)
		s.server.environment.OmitGuards = omit
		degradedStates[state].enter(s)
		want := degradedCalls[call].status
		if needs := degradedCalls[call].needs; degradedStates[state].capabilities&needs != needs {
			want = http.StatusServiceUnavailable
		}
		startedAt := time.Now()
		reply := s.server.Handle(t.Context(), degradedCalls[call].request)
		if reply.Status != want {
			problem = fmt.Sprintf("got status %d, want %d: %s", reply.Status, want, reply.Body)
		}
		if took := time.Since(startedAt); took > smallCallTimeout {
			problem = fmt.Sprintf("response took %v, want at most %v", took, smallCallTimeout)
		}
	})
	return problem
}

// TestServer_Handle_degradedStates makes each call to a server in each state. A call whose result depends on replicated state must be
// rejected only if a majority can decide it, and acknowledged only if it is recorded. Without a majority, the response must be 503,
// within smallCallTimeout.
func TestServer_Handle_degradedStates(t *testing.T) {
	for state := range degradedStates {
		for call := range degradedCalls {
			t.Run(degradedStates[state].name+"/"+degradedCalls[call].name, func(t *testing.T) {
				if problem := callDegraded(t, state, call); problem != "" {
					t.Fatal(problem)
				}
			})
		}
	}
}

// Each guard is needed: without it, some call in some state gets a wrong response.
func TestServer_Handle_eachGuardIsNeededWhenDegraded(t *testing.T) {
	for _, guard := range []Guard{GuardReadConfirmed, GuardHeartbeatCurrent, GuardHeartbeatRecorded} {
		wrongAnswers := 0
		for state := range degradedStates {
			for call := range degradedCalls {
				if problem := callDegraded(t, state, call, guard); problem != "" {
					wrongAnswers++
				}
			}
		}
		if wrongAnswers == 0 {
			t.Errorf("all responses are correct without guard %s, so no test case needs it", guard)
		}
		t.Logf("without guard %s, %d of %d responses are wrong", guard, wrongAnswers, len(degradedStates)*len(degradedCalls))
	}
}

// A response with a status that no owner returns is rejected: it is damaged or comes from another version.
func TestDecodeShardResponse_rejectsOtherStatuses(t *testing.T) {
	for _, status := range []int{0, 1, 100, 204, 307, 500, 502, 1000} {
		encoded, err := encodeShardResponse(shardResponse{Status: status})
		if err != nil {
			t.Fatal(err)
		}
		if reply, err := decodeShardResponse(encoded); err == nil {
			t.Errorf("response with status %d was decoded as %+v, want an error", status, reply)
		}
	}
	for _, definitive := range []shardResponse{okResponse(nil), errorResponse(NoOwner), notOwnerResponse(""), {Status: http.StatusPreconditionFailed}} {
		encoded, err := encodeShardResponse(definitive)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := decodeShardResponse(encoded); err != nil {
			t.Errorf("decode %+v: %v", definitive, err)
		}
		if _, err := decodeShardResponse(encoded[:len(encoded)-1]); err == nil {
			t.Errorf("a truncated encoding of %+v was decoded without an error", definitive)
		}
	}
}
