package server

import (
	"context"
	"errors"
	"net/http"
	"strconv"

	"ospreybend/coord/consensus"
	"ospreybend/coord/replica"
	"ospreybend/internal/controlplane/configuration"
	"ospreybend/internal/controlplane/registry"
)

// emptyObject is the JSON body of an acknowledgement that returns no data.
var emptyObject = []byte("{}")

// execute executes a request as the owner of its shard. A replica that does not own the shard responds with the owner's address, if it
// knows that.
func (s *Server) execute(ctx context.Context, request shardRequest) shardResponse {
	switch request.Kind {
	case callReplace:
		return s.changeConfiguration(ctx, request, configuration.CommandReplace)
	case callUpdate:
		return s.changeConfiguration(ctx, request, configuration.CommandUpdate)
	case callRead:
		return s.readConfiguration(ctx, request)
	case callHeartbeat:
		return s.executeHeartbeat(ctx, request)
	case callNodeHeartbeats:
		return s.executeNodeHeartbeats(ctx, request)
	case callSessionLiveness:
		return s.executeSessionLiveness(request)
	case callDemand:
		return s.executeDemand(request)
	case callDeregister:
		return s.executeDeregister(ctx, request)
	}
	return errorResponse(InternalFault)
}

// proposalErrorResponse returns the response for an error of replicaGroup.Propose or ReadBarrier.
func proposalErrorResponse(err error) shardResponse {
	var notLeader replica.NotLeaderError
	switch {
	case errors.As(err, &notLeader):
		return notOwnerResponse(notLeader.Leader.Address)
	case errors.Is(err, consensus.ErrTransferInProgress), errors.Is(err, replica.ErrClosed):
		return notOwnerResponse("")
	case errors.Is(err, consensus.ErrTooManyUncommitted):
		return errorResponse(Busy)
	}
	return errorResponse(OutcomeUnknown)
}

// changeConfiguration proposes a change to the configuration shard's group and waits until it is applied here. By then it is
// committed: a majority of the group has it on disk. The state machine checks the base version, so at most one of several concurrent
// changes with the same base is accepted.
func (s *Server) changeConfiguration(ctx context.Context, request shardRequest, kind configuration.CommandKind) shardResponse {
	command := configuration.Command{Kind: kind, Base: request.Base, Body: request.Body}
	result, _, err := s.shards[request.Shard].group.Propose(ctx, configuration.EncodeCommand(command))
	if err != nil {
		return proposalErrorResponse(err)
	}
	outcome, ok := result.(configuration.Outcome)
	if !ok {
		return errorResponse(InternalFault)
	}
	if outcome.HTTPStatus != http.StatusOK {
		return shardResponse{Status: outcome.HTTPStatus, Code: int(outcome.Code), Text: outcome.Text}
	}
	return okResponse(generationBody(outcome.Generation))
}

// generationBody returns the body that acknowledges a change: the generation now in force.
func generationBody(generation uint64) []byte {
	body := strconv.AppendUint([]byte(`{"generation":`), generation, 10)
	return append(body, '}')
}

// readConfiguration returns the configuration in force. The read barrier waits until a majority has confirmed this replica as leader,
// which makes the read linearizable.
func (s *Server) readConfiguration(ctx context.Context, request shardRequest) shardResponse {
	if s.environment.guardEnabled(GuardReadConfirmed) {
		if err := s.shards[request.Shard].group.ReadBarrier(ctx); err != nil {
			return proposalErrorResponse(err)
		}
	}
	return okResponse(s.configurationMachine().document())
}

// executeHeartbeat parses a worker's heartbeat and executes it as the owner of its shard.
func (s *Server) executeHeartbeat(ctx context.Context, request shardRequest) shardResponse {
	heartbeat, err := registry.ParseHeartbeat(request.ID, request.Body)
	if err != nil {
		return registryErrorResponse(err)
	}
	return s.decideHeartbeat(ctx, request, heartbeat)
}

// decideHeartbeat decides on a heartbeat as the owner of its shard and carries out the decision. A leader that does not own the shard
// yet waits for the ownership.
func (s *Server) decideHeartbeat(ctx context.Context, request shardRequest, heartbeat registry.Heartbeat) shardResponse {
	machine := s.registryMachine(request.Shard)
	if machine == nil {
		return errorResponse(InternalFault)
	}
	for {
		changed := s.ownersChanged.next()
		decision, owned := machine.decideHeartbeat(s.environment.Now(), heartbeat)
		if owned {
			return s.applyDecision(ctx, request, decision)
		}
		if response, waiting := s.awaitOwnership(ctx, request, changed); !waiting {
			return response
		}
	}
}

// awaitOwnership waits for changed, at most for ownerRetryInterval, while this replica leads a shard that it does not own yet. If the
// replica does not lead, or ctx ends, waiting is false and response is the one to return to the caller.
func (s *Server) awaitOwnership(ctx context.Context, request shardRequest, changed <-chan struct{}) (response shardResponse, waiting bool) {
	status := s.shards[request.Shard].group.Status()
	if !status.IsLeader() {
		return notOwnerResponse(status.Leader.Address), false
	}
	if !waitForChange(ctx, changed, ownerRetryInterval) {
		return errorResponse(NoOwner), false
	}
	return shardResponse{}, true
}

// applyDecision carries out a decision of the shard's owner. A request that needs no log entry is acknowledged only while this replica
// is current, so that an owner that was replaced without noticing does not acknowledge it.
func (s *Server) applyDecision(ctx context.Context, request shardRequest, decision registry.Decision) shardResponse {
	switch decision.Action {
	case registry.Reject:
		return registryErrorResponse(decision.Rejection)
	case registry.Propose:
		return s.proposeInstanceChange(ctx, request, decision.Command)
	}
	if status := s.shards[request.Shard].group.Status(); !isCurrent(status) && s.environment.guardEnabled(GuardHeartbeatCurrent) {
		return errorResponse(NoOwner)
	}
	return okResponse(emptyObject)
}

// proposeInstanceChange proposes a change to an instance and waits until it is applied here.
func (s *Server) proposeInstanceChange(ctx context.Context, request shardRequest, command []byte) shardResponse {
	result, _, err := s.shards[request.Shard].group.Propose(ctx, command)
	if err != nil {
		return proposalErrorResponse(err)
	}
	outcome, ok := result.(registry.Outcome)
	if !ok {
		return errorResponse(InternalFault)
	}
	if outcome.Status != http.StatusOK {
		return shardResponse{Status: outcome.Status, Code: int(outcome.Code), Text: outcome.Text}
	}
	return okResponse(emptyObject)
}

// registryErrorResponse returns the response for a rejection by package registry.
func registryErrorResponse(err error) shardResponse {
	var rejection *registry.Rejection
	if !errors.As(err, &rejection) || rejection == nil {
		return errorResponse(InternalFault)
	}
	if rejection.Code == registry.NotOwner {
		return notOwnerResponse("")
	}
	return shardResponse{Status: rejection.HTTPStatus, Code: int(rejection.Code), Text: rejection.Text}
}

// executeDeregister removes an instance. The removal of an unknown instance is acknowledged once the group has recorded it as removed.
func (s *Server) executeDeregister(ctx context.Context, request shardRequest) shardResponse {
	machine := s.registryMachine(request.Shard)
	if machine == nil {
		return errorResponse(InternalFault)
	}
	for {
		changed := s.ownersChanged.next()
		decision, known, owned := machine.decideDeregister(s.environment.Now(), request.ID)
		if owned {
			response := s.applyDecision(ctx, request, decision)
			response.Known = known
			return response
		}
		if response, waiting := s.awaitOwnership(ctx, request, changed); !waiting {
			return response
		}
	}
}
