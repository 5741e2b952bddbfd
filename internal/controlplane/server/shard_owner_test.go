package server

import (
	"context"
	"net/http"
	"testing"
	"time"

	"ospreybend/coord/consensus"
	"ospreybend/coord/replica"
	"ospreybend/coord/shards"
	"ospreybend/internal/controlplane/configuration"
	"ospreybend/internal/controlplane/registry"
)

func TestServer_Execute_responseMatchesProposalOutcome(t *testing.T) {
	accepted := configuration.Outcome{HTTPStatus: http.StatusOK, Generation: 7}
	stale := configuration.Outcome{HTTPStatus: http.StatusPreconditionFailed, Code: configuration.CodeBaseNotCurrent}
	cases := []struct {
		name   string
		result any
		err    error
		status int // 0: not the owner
		leader string
	}{
		{"accepted", accepted, nil, http.StatusOK, ""},
		{"refused when applied", stale, nil, http.StatusPreconditionFailed, ""},
		{"unknown", nil, replica.ErrUnknownOutcome, http.StatusServiceUnavailable, ""},
		{"busy", nil, consensus.ErrTooManyUncommitted, http.StatusServiceUnavailable, ""},
		{"too late", nil, context.DeadlineExceeded, http.StatusServiceUnavailable, ""},
		{"not the leader", nil, replica.NotLeaderError{Leader: consensus.Member{ID: 2, Address: "b"}}, 0, "b"},
		{"being handed over", nil, consensus.ErrTransferInProgress, 0, ""},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			s, groups, _ := newScriptedServer(t)
			groups[0].propose = func() (any, error) { return test.result, test.err }
			reply := s.execute(timeoutContext(t), replaceRequest)
			if reply.Status != test.status || reply.NotOwner != (test.status == 0) || reply.Leader != test.leader {
				t.Fatalf("%+v", reply)
			}
		})
	}
}

func TestServer_Execute_heartbeatWaitsForOwnership(t *testing.T) {
	s, groups, _ := newScriptedServer(t)
	id := shards.ForService("s")
	groups[id].set(leaderStatus())
	machine := s.registryMachine(id)
	machine.setLeaderTerm(3)
	proposed := make(chan struct{}, 1)
	groups[id].propose = func() (any, error) {
		proposed <- struct{}{}
		return nil, replica.ErrUnknownOutcome
	}
	heartbeat := shardRequest{Kind: callHeartbeat, Shard: id, ID: "i", Body: []byte(heartbeatJSON("ready", 1))}
	replies := make(chan shardResponse, 1)
	ctx := timeoutContext(t)
	go func() { replies <- s.execute(ctx, heartbeat) }()
	select {
	case <-proposed:
		t.Fatal("proposed before the shard is owned")
	case <-time.After(2 * ownerRetryInterval):
	}
	machine.ownershipGained(time.Now(), 2) // of an earlier term: no
	machine.ownershipGained(time.Now(), 3)
	s.ownersChanged.notifyAll()
	if reply := <-replies; reply.Status != http.StatusServiceUnavailable {
		t.Fatal(reply)
	}
	machine.setLeaderTerm(0)
	groups[id].set(followerStatus("b"))
	if reply := s.execute(ctx, heartbeat); !reply.NotOwner || reply.Leader != "b" {
		t.Fatal(reply)
	}
}

func TestServer_Execute_staleOwnerAcknowledgesNothing(t *testing.T) {
	s, group, heartbeat := newServerWithInstance(t)
	id := shards.ForService(presentService)
	group.propose = func() (any, error) { return nil, replica.ErrUnknownOutcome }
	status := leaderStatus()
	status.ConfirmedAge = 2 * currentMaxAge
	group.set(status)
	s.registryMachine(id).setLeaderTerm(3)
	s.registryMachine(id).ownershipGained(time.Now(), 3)
	unchanged := shardRequest{Kind: callHeartbeat, Shard: id, ID: heartbeat.ID, Body: []byte(heartbeatJSON("ready", 1))}
	departure := shardRequest{Kind: callDeregister, Shard: id, ID: "i-unknown"}
	for _, request := range []shardRequest{unchanged, departure} {
		if reply := s.execute(timeoutContext(t), request); reply.Status != http.StatusServiceUnavailable {
			t.Fatal(request.Kind, reply)
		}
	}
	group.set(leaderStatus())
	if reply := s.execute(timeoutContext(t), unchanged); reply.Status != http.StatusOK {
		t.Fatal(reply)
	}
	if reply := s.execute(timeoutContext(t), departure); reply.Status != http.StatusServiceUnavailable {
		t.Fatal("a departure is acknowledged before it is committed", reply)
	}
	group.propose = func() (any, error) { return registry.Outcome{Status: http.StatusOK}, nil }
	if reply := s.execute(timeoutContext(t), departure); reply.Status != http.StatusOK || reply.Known {
		t.Fatal(reply)
	}
}

func TestServer_Execute_sessionLivenessNeedsOwnership(t *testing.T) {
	s, groups, _ := newScriptedServer(t)
	id := shards.ForService(presentService)
	body, err := codec.Marshal(sessionHeartbeatsSchema, []sessionHeartbeat{{ID: presentID, Sequence: 4}})
	if err != nil {
		t.Fatal(err)
	}
	request := shardRequest{Kind: callSessionLiveness, Shard: id, Body: body}
	groups[id].set(followerStatus("b"))
	if reply := s.execute(t.Context(), request); !reply.NotOwner || reply.Leader != "b" {
		t.Fatal(reply)
	}
	s.registryMachine(id).setLeaderTerm(3)
	s.registryMachine(id).ownershipGained(time.Now(), 3)
	if reply := s.execute(t.Context(), request); reply.Status != http.StatusOK {
		t.Fatal(reply)
	}
}
