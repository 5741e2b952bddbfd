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

// emptyObject is the body of an acknowledgement without content.
var emptyObject = []byte("{}")

// execute executes a request as the owner of its shard, or responds who the owner is.
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

// proposalErrorResponse maps the error of a group's call to a response.
func proposalErrorResponse(err error) shardResponse {
	var other replica.NotLeaderError
	switch {
	case errors.As(err, &other):
		return notOwnerResponse(other.Leader.Address)
	case errors.Is(err, consensus.ErrTransferInProgress), errors.Is(err, replica.ErrClosed):
		return notOwnerResponse("")
	case errors.Is(err, consensus.ErrTooManyUncommitted):
		return errorResponse(Busy)
	}
	return errorResponse(OutcomeUnknown)
}

// changeConfiguration proposes a change to the configuration shard's group and waits until it is applied here. By then it is
// committed: a majority of the group has it on disk. The state machine decides on the base version, so racing changes have one winner.
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

// readConfiguration returns the configuration in force. The read barrier has a majority confirm this leader, so the read is linearizable.
func (s *Server) readConfiguration(ctx context.Context, request shardRequest) shardResponse {
	if s.environment.guardEnabled(GuardReadConfirmed) {
		if err := s.shards[request.Shard].group.ReadBarrier(ctx); err != nil {
			return proposalErrorResponse(err)
		}
	}
	return okResponse(s.configurationMachine().document())
}

// executeHeartbeat parses a worker's heartbeat and has the shard's owner decide on it.
func (s *Server) executeHeartbeat(ctx context.Context, request shardRequest) shardResponse {
	heartbeat, err := registry.ParseHeartbeat(request.ID, request.Body)
	if err != nil {
		return registryErrorResponse(err)
	}
	return s.decideHeartbeat(ctx, request, heartbeat)
}

// decideHeartbeat has the shard's owner decide on a heartbeat and applies the decision.
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

// awaitOwnership waits while this replica leads the shard and does not own it yet. If it does not lead, or ctx ends, waiting is
// false and the response says so.
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

// applyDecision carries out the decision of a shard's owner. A heartbeat that needs no log entry is acknowledged only while this
// replica is known to lead.
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

// proposeInstanceChange proposes a change of an instance and waits until it is applied.
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

// registryErrorResponse maps a rejection of the registry to a response.
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

// executeDeregister removes an instance. An unknown one is acknowledged once the group has recorded that it is gone.
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
