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
		status int // 0 if the response says that the server is not the owner
		leader string
	}{
		{"accepted", accepted, nil, http.StatusOK, ""},
		{"rejected when applied", stale, nil, http.StatusPreconditionFailed, ""},
		{"unknown outcome", nil, replica.ErrUnknownOutcome, http.StatusServiceUnavailable, ""},
		{"busy", nil, consensus.ErrTooManyUncommitted, http.StatusServiceUnavailable, ""},
		{"deadline exceeded", nil, context.DeadlineExceeded, http.StatusServiceUnavailable, ""},
		{"not the leader", nil, replica.NotLeaderError{Leader: consensus.Member{ID: 2, Address: "b"}}, 0, "b"},
		{"transferring leadership", nil, consensus.ErrTransferInProgress, 0, ""},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			s, groups, _ := newScriptedServer(t)
			groups[0].proposalResult = func() (any, error) { return test.result, test.err }
			response := s.execute(timeoutContext(t), replaceRequest)
			if response.Status != test.status || response.NotOwner != (test.status == 0) || response.Leader != test.leader {
				t.Fatalf("response %+v, want status %d, not owner %t, leader %q", response, test.status, test.status == 0, test.leader)
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
	groups[id].proposalResult = func() (any, error) {
		proposed <- struct{}{}
		return nil, replica.ErrUnknownOutcome
	}
	heartbeat := shardRequest{Kind: callHeartbeat, Shard: id, ID: "i", Body: []byte(heartbeatJSON("ready", 1))}
	responses := make(chan shardResponse, 1)
	ctx := timeoutContext(t)
	go func() { responses <- s.execute(ctx, heartbeat) }()
	select {
	case <-proposed:
		t.Fatal("the heartbeat was proposed before the server owns the shard")
	case <-time.After(2 * ownerRetryInterval):
	}
	machine.ownershipGained(time.Now(), 2) // of an earlier term: has no effect
	machine.ownershipGained(time.Now(), 3)
	s.ownersChanged.notifyAll()
	if response := <-responses; response.Status != http.StatusServiceUnavailable {
		t.Fatalf("heartbeat whose proposal has an unknown outcome: response %+v, want status 503", response)
	}
	machine.setLeaderTerm(0)
	groups[id].set(followerStatus("b"))
	if response := s.execute(ctx, heartbeat); !response.NotOwner || response.Leader != "b" {
		t.Fatalf("heartbeat at a follower: response %+v, want not owner, leader b", response)
	}
}

func TestServer_Execute_staleOwnerAcknowledgesNothing(t *testing.T) {
	s, group, heartbeat := newServerWithInstance(t)
	id := shards.ForService(testService)
	group.proposalResult = func() (any, error) { return nil, replica.ErrUnknownOutcome }
	status := leaderStatus()
	status.ConfirmedAge = 2 * currentMaxAge
	group.set(status)
	s.registryMachine(id).setLeaderTerm(3)
	s.registryMachine(id).ownershipGained(time.Now(), 3)
	unchanged := shardRequest{Kind: callHeartbeat, Shard: id, ID: heartbeat.ID, Body: []byte(heartbeatJSON("ready", 1))}
	deregistration := shardRequest{Kind: callDeregister, Shard: id, ID: "i-unknown"}
	for _, request := range []shardRequest{unchanged, deregistration} {
		if response := s.execute(timeoutContext(t), request); response.Status != http.StatusServiceUnavailable {
			t.Fatalf("request of kind %d to an owner that is not current: response %+v, want status 503", request.Kind, response)
		}
	}
	group.set(leaderStatus())
	if response := s.execute(timeoutContext(t), unchanged); response.Status != http.StatusOK {
		t.Fatalf("unchanged heartbeat at the current owner: response %+v, want status 200", response)
	}
	if response := s.execute(timeoutContext(t), deregistration); response.Status != http.StatusServiceUnavailable {
		t.Fatalf("deregistration whose proposal has an unknown outcome: response %+v, want status 503", response)
	}
	group.proposalResult = func() (any, error) { return registry.Outcome{Status: http.StatusOK}, nil }
	if response := s.execute(timeoutContext(t), deregistration); response.Status != http.StatusOK || response.Known {
		t.Fatalf("committed deregistration of an unknown instance: response %+v, want status 200, not known", response)
	}
}

func TestServer_Execute_sessionLivenessNeedsOwnership(t *testing.T) {
	s, groups, _ := newScriptedServer(t)
	id := shards.ForService(testService)
	body, err := codec.Marshal(sessionHeartbeatsSchema, []sessionHeartbeat{{ID: testInstanceID, Sequence: 4}})
	if err != nil {
		t.Fatal(err)
	}
	request := shardRequest{Kind: callSessionLiveness, Shard: id, Body: body}
	groups[id].set(followerStatus("b"))
	if response := s.execute(t.Context(), request); !response.NotOwner || response.Leader != "b" {
		t.Fatalf("liveness report to a follower: response %+v, want not owner, leader b", response)
	}
	s.registryMachine(id).setLeaderTerm(3)
	s.registryMachine(id).ownershipGained(time.Now(), 3)
	if response := s.execute(t.Context(), request); response.Status != http.StatusOK {
		t.Fatalf("liveness report to the owner: response %+v, want status 200", response)
	}
}
