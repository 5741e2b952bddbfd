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
	ownerAddress  = "127.0.0.1:7100"
	currentNumber = 7 // generation in force
	removedID     = "i-gone"
)

// capability is what a degraded server can still find out or have done.
type capability uint8

const (
	canChange      capability = 1 << iota // a majority decides on a change
	canRead                               // a majority confirms what is newest
	canAcknowledge                        // this server or an owner is current, for heartbeats that change nothing
)

// degradedServerFixture is a degraded server, and perhaps another one that owns all shards.
type degradedServerFixture struct {
	server *Server
	groups [shards.ShardCount]*scriptedGroup
	owner  *Server
	link   *ownerOnlyNetwork
}

// ownerOnlyNetwork is the network of a server that reaches the owner alone.
type ownerOnlyNetwork struct {
	scriptedNetwork
	owner *Server
	lost  error // of each answer
	mute  bool  // nothing is carried out, and nothing comes back
}

func (l *ownerOnlyNetwork) Call(ctx context.Context, _ string, kind peertransport.CallKind, body []byte) ([]byte, error) {
	if l.mute {
		<-ctx.Done()
		return nil, peertransport.ErrOutcomeUnknown
	}
	if l.owner == nil {
		return nil, peertransport.ErrNotSent
	}
	reply, err := l.owner.Call(ctx, peertransport.Hello{}, kind, body)
	if l.lost != nil {
		return nil, l.lost
	}
	return reply, err
}

// applyInitialState gives a server's replicas the state of the tables below.
func applyInitialState(t *testing.T, server *Server) {
	t.Helper()
	apply := func(shard shards.ID, index uint64, data []byte) {
		server.shards[shard].stateMachine.Apply(consensus.Entry{Index: index, Data: data})
	}
	for index, change := range []configuration.Command{
		{Kind: configuration.CommandReplace, Base: 0, Body: []byte(configurationJSON(3))},
		{Kind: configuration.CommandReplace, Base: 3, Body: []byte(configurationJSON(currentNumber))},
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

// makeOwner makes a server the owner of all shards; proposals are committed at once.
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

// setEveryGroup sets the groups' status and what becomes of proposals and reads.
func (s *degradedServerFixture) setEveryGroup(status replica.Status, refusal error) {
	for i, group := range s.groups {
		group.set(status)
		group.onPropose = func(ctx context.Context, _ []byte) (any, error) { return nil, waitOrFail(ctx, refusal) }
		group.barrier = func(ctx context.Context) error { return waitOrFail(ctx, refusal) }
		if status.IsLeader() {
			s.server.shards[i].stateMachine.setLeaderTerm(status.Term)
			s.server.shards[i].stateMachine.ownershipGained(time.Now(), status.Term)
		}
	}
}

// waitOrFail returns the error, or waits for the context's end where it is nil.
func waitOrFail(ctx context.Context, refusal error) error {
	if refusal == nil {
		<-ctx.Done()
		return replica.ErrUnknownOutcome
	}
	return refusal
}

func newDegradedServerFixture(t *testing.T) *degradedServerFixture {
	t.Helper()
	s := &degradedServerFixture{link: &ownerOnlyNetwork{}}
	s.server, s.groups, _ = newScriptedServer(t)
	s.server.peers.network = s.link
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

// withConfirmedAge is a status whose contact with a majority was so long ago.
func withConfirmedAge(status replica.Status, age time.Duration) replica.Status {
	status.ConfirmedAge = age
	return status
}

// degradedStates are states of a server, with its capabilities in each.
var degradedStates = []struct {
	name string
	able capability
	set  func(s *degradedServerFixture)
}{
	{"it leads", canChange | canRead | canAcknowledge, func(s *degradedServerFixture) { makeOwner(s.server, s.groups) }},
	{"it leads, cut off a moment ago", canAcknowledge, func(s *degradedServerFixture) { s.setEveryGroup(leaderStatus(), nil) }},
	{"it leads, cut off", 0, func(s *degradedServerFixture) {
		s.setEveryGroup(withConfirmedAge(leaderStatus(), 2*currentMaxAge), nil)
	}},
	{"it leads, too many proposals wait", canAcknowledge, func(s *degradedServerFixture) { s.setEveryGroup(leaderStatus(), consensus.ErrTooManyUncommitted) }},
	{"it leads, its disk is full", canAcknowledge, func(s *degradedServerFixture) { s.setEveryGroup(leaderStatus(), consensus.ErrTransferInProgress) }},
	{"it led until now", canChange | canRead | canAcknowledge, func(s *degradedServerFixture) {
		s.setEveryGroup(leaderStatus(), replica.NotLeaderError{Leader: consensus.Member{ID: 2, Address: ownerAddress}})
		s.link.owner = s.owner
	}},
	{"it has closed its groups", 0, func(s *degradedServerFixture) {
		s.setEveryGroup(withConfirmedAge(followerStatus(""), 2*currentMaxAge), replica.ErrClosed)
	}},
	{"it follows", canChange | canRead | canAcknowledge, func(s *degradedServerFixture) {
		s.setEveryGroup(followerStatus(ownerAddress), replica.NotLeaderError{})
		s.link.owner = s.owner
	}},
	{"it follows, behind", canChange | canRead | canAcknowledge, func(s *degradedServerFixture) {
		s.setEveryGroup(withConfirmedAge(followerStatus(ownerAddress), 2*currentMaxAge), replica.NotLeaderError{})
		s.link.owner = s.owner
	}},
	{"it follows, answers are lost", canAcknowledge, func(s *degradedServerFixture) {
		s.setEveryGroup(followerStatus(ownerAddress), replica.NotLeaderError{})
		s.link.owner, s.link.lost = s.owner, peertransport.ErrOutcomeUnknown
	}},
	{"it follows, the owner is mute", canAcknowledge, func(s *degradedServerFixture) {
		s.setEveryGroup(followerStatus(ownerAddress), replica.NotLeaderError{})
		s.link.mute = true
	}},
	{"it follows, cut off", 0, func(s *degradedServerFixture) {
		s.setEveryGroup(withConfirmedAge(followerStatus(ownerAddress), 2*contactLostAfter), nil)
	}},
	{"it follows nobody, cut off", 0, func(s *degradedServerFixture) {
		s.setEveryGroup(withConfirmedAge(followerStatus(""), 2*contactLostAfter), nil)
	}},
	{"it follows nobody, an election", canAcknowledge, func(s *degradedServerFixture) { s.setEveryGroup(followerStatus(""), nil) }},
	{"it has no group, and is alone", 0, func(s *degradedServerFixture) {
		s.setEveryGroup(withConfirmedAge(replica.Status{}, 2*contactLostAfter), nil)
	}},
	{"it has no group, and knows the owner", canChange | canRead | canAcknowledge, func(s *degradedServerFixture) {
		s.setEveryGroup(withConfirmedAge(replica.Status{}, 2*contactLostAfter), nil)
		s.server.directory.learn(serverInfo{Address: ownerAddress, Zone: "z"})
		s.link.owner = s.owner
	}},
	{"it is leaving", canChange | canRead | canAcknowledge, func(s *degradedServerFixture) {
		s.setEveryGroup(followerStatus(ownerAddress), replica.NotLeaderError{})
		s.server.lifecycle.shuttingDown.Store(true)
		s.link.owner = s.owner
	}},
}

// degradedCalls are calls with their answer where the server is able to give one; elsewhere it is 503. What needs nothing is
// answered anywhere: what is invalid whatever the state is, and what the replica knows for good.
var degradedCalls = []struct {
	name    string
	request APIRequest
	needs   capability
	status  int
}{
	{"a change", changeRequest(APIReplace, "7", configurationJSON(9)), canChange, http.StatusOK},
	{"an update", changeRequest(APIUpdate, "7", `{"generation":9}`), canChange, http.StatusOK},
	{"a repeat", changeRequest(APIReplace, "3", configurationJSON(currentNumber)), canChange, http.StatusOK},
	{"an older repeat", changeRequest(APIReplace, "", configurationJSON(3)), canChange, http.StatusOK},
	{"a lost race", changeRequest(APIReplace, "3", configurationJSON(9)), canChange, http.StatusPreconditionFailed},
	{"a base to come", changeRequest(APIReplace, "8", configurationJSON(9)), canChange, http.StatusServiceUnavailable},
	{"a service that is removed but used", changeRequest(APIUpdate, "7", `{"generation":9,"remove":{"services":["s"]}}`), canChange, http.StatusBadRequest},
	{"no JSON", changeRequest(APIReplace, "7", "{"), 0, http.StatusBadRequest},
	{"no service of that name", changeRequest(APIReplace, "7", strings.Replace(configurationJSON(9), `"service":"s"`, `"service":"x"`, 1)), 0, http.StatusBadRequest},
	{"a number not above its base", changeRequest(APIUpdate, "7", `{"generation":7}`), 0, http.StatusBadRequest},
	{"a base that is no number", changeRequest(APIReplace, "x", configurationJSON(9)), 0, http.StatusBadRequest},
	{"a read", APIRequest{Call: APIRead}, canRead, http.StatusOK},
	{"a heartbeat that changes nothing", heartbeatRequest(testInstanceID, heartbeatJSON("ready", 2)), canAcknowledge, http.StatusOK},
	{"a drain", heartbeatRequest(testInstanceID, heartbeatJSON("draining", 2)), canChange, http.StatusOK},
	{"a new instance", heartbeatRequest("i-new", heartbeatJSON("ready", 1)), canChange, http.StatusOK},
	{"a heartbeat after its end", heartbeatRequest(removedID, heartbeatJSON("ready", 2)), canAcknowledge, http.StatusOK},
	{"a heartbeat that is no JSON", heartbeatRequest(testInstanceID, "{"), 0, http.StatusBadRequest},
	{"a heartbeat that is too large", heartbeatRequest(testInstanceID, strings.Repeat(" ", maxHeartbeatBytes+1)), 0, http.StatusRequestEntityTooLarge},
	{"a departure", APIRequest{Call: APIDeregister, ID: testInstanceID}, canChange, http.StatusOK},
	{"a departure of one that is not known", APIRequest{Call: APIDeregister, ID: "i-unknown"}, canChange, http.StatusOK},
	{"a departure again", APIRequest{Call: APIDeregister, ID: removedID}, 0, http.StatusOK},
	{"a departure of nobody", APIRequest{Call: APIDeregister}, 0, http.StatusBadRequest},
	{"no such call", APIRequest{}, 0, http.StatusNotFound},
}

func changeRequest(kind APICall, base, body string) APIRequest {
	return APIRequest{Call: kind, Base: base, Body: []byte(body)}
}

func heartbeatRequest(id, body string) APIRequest {
	return APIRequest{Call: APIHeartbeat, ID: id, Body: []byte(body)}
}

// callDegraded makes a call to a server in a state, with guards omitted, and returns what is wrong with its answer.
func callDegraded(t *testing.T, state, call int, omit ...Guard) (wrong string) {
	synctest.Test(t, func(t *testing.T) {
		s := newDegradedServerFixture(t)
		s.server.environment.OmitGuards = omit
		degradedStates[state].set(s)
		want := degradedCalls[call].status
		if needs := degradedCalls[call].needs; degradedStates[state].able&needs != needs {
			want = http.StatusServiceUnavailable
		}
		began := time.Now()
		reply := s.server.Handle(t.Context(), degradedCalls[call].request)
		if reply.Status != want {
			wrong = fmt.Sprintf("%d, not %d: %s", reply.Status, want, reply.Body)
		}
		if took := time.Since(began); took > smallCallTimeout {
			wrong = fmt.Sprintf("it comes after %v", took)
		}
	})
	return wrong
}

// TestServer_Handle_degradedStates makes each call to a server in each state. What depends on the state of the system is rejected by a
// majority alone, and nothing is acknowledged that is not recorded; where there is no majority, 503 comes in time.
func TestServer_Handle_degradedStates(t *testing.T) {
	for state := range degradedStates {
		for call := range degradedCalls {
			t.Run(degradedStates[state].name+"/"+degradedCalls[call].name, func(t *testing.T) {
				if wrong := callDegraded(t, state, call); wrong != "" {
					t.Fatal(wrong)
				}
			})
		}
	}
}

// Each guard is needed: without it some call in some state has another answer.
func TestServer_Handle_eachGuardIsNeededWhenDegraded(t *testing.T) {
	for _, guard := range []Guard{GuardReadConfirmed, GuardHeartbeatCurrent, GuardHeartbeatRecorded} {
		missed := 0
		for state := range degradedStates {
			for call := range degradedCalls {
				if wrong := callDegraded(t, state, call, guard); wrong != "" {
					missed++
				}
			}
		}
		if missed == 0 {
			t.Errorf("nothing is wrong without %s", guard)
		}
		t.Logf("without %s: %d answers of %d are wrong", guard, missed, len(degradedStates)*len(degradedCalls))
	}
}

// An answer that no owner gives is none: it may belong to something else.
func TestDecodeShardResponse_rejectsOtherStatuses(t *testing.T) {
	for _, status := range []int{0, 1, 100, 204, 307, 500, 502, 1000} {
		encoded, err := encodeShardResponse(shardResponse{Status: status})
		if err != nil {
			t.Fatal(err)
		}
		if reply, err := decodeShardResponse(encoded); err == nil {
			t.Errorf("%+v", reply)
		}
	}
	for _, definitive := range []shardResponse{okResponse(nil), errorResponse(NoOwner), notOwnerResponse(""), {Status: http.StatusPreconditionFailed}} {
		encoded, err := encodeShardResponse(definitive)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := decodeShardResponse(encoded); err != nil {
			t.Errorf("%+v: %v", definitive, err)
		}
		if _, err := decodeShardResponse(encoded[:len(encoded)-1]); err == nil {
			t.Errorf("%+v is cut short and taken", definitive)
		}
	}
}
