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

// emptyObject is the body of an acknowledgement that tells nothing more.
var emptyObject = []byte("{}")

// execute carries out a call as the owner of its shard, or says who the owner is.
func (k *Keeper) execute(ctx context.Context, c call) answer {
	switch c.Kind {
	case callReplace:
		return k.changeConfiguration(ctx, c, configuration.CommandReplace)
	case callUpdate:
		return k.changeConfiguration(ctx, c, configuration.CommandUpdate)
	case callRead:
		return k.readConfiguration(ctx, c)
	case callBeat:
		return k.takeBeat(ctx, c)
	case callNodes:
		return k.takeNodes(ctx, c)
	case callPresences:
		return k.takePresences(c)
	case callDemand:
		return k.takeDemand(c)
	case callDeregister:
		return k.takeDeparture(ctx, c)
	}
	return failed(InternalFault)
}

// refusedProposal turns the error of a group's call into an answer.
func refusedProposal(err error) answer {
	var other replica.NotLeaderError
	switch {
	case errors.As(err, &other):
		return notOwner(other.Leader.Address)
	case errors.Is(err, consensus.ErrTransferInProgress), errors.Is(err, replica.ErrClosed):
		return notOwner("")
	case errors.Is(err, consensus.ErrTooManyUncommitted):
		return failed(Busy)
	}
	return failed(OutcomeUnknown)
}

func (k *Keeper) changeConfiguration(ctx context.Context, c call, kind configuration.CommandKind) answer {
	command := configuration.Command{Kind: kind, Base: c.Base, Body: c.Body}
	result, _, err := k.shards[c.Shard].group.Propose(ctx, configuration.EncodeCommand(command))
	if err != nil {
		return refusedProposal(err)
	}
	outcome, ok := result.(configuration.Outcome)
	if !ok {
		return failed(InternalFault)
	}
	if outcome.HTTPStatus != http.StatusOK {
		return answer{Status: outcome.HTTPStatus, Code: int(outcome.Code), Text: outcome.Text}
	}
	return succeeded(generationBody(outcome.Generation))
}

func generationBody(generation uint64) []byte {
	body := strconv.AppendUint([]byte(`{"generation":`), generation, 10)
	return append(body, '}')
}

func (k *Keeper) readConfiguration(ctx context.Context, c call) answer {
	if k.outside.holds(GuardReadConfirmed) {
		if err := k.shards[c.Shard].group.ReadBarrier(ctx); err != nil {
			return refusedProposal(err)
		}
	}
	return succeeded(k.configuration().document())
}

func (k *Keeper) takeBeat(ctx context.Context, c call) answer {
	beat, err := registry.ParseHeartbeat(c.ID, c.Body)
	if err != nil {
		return refusedBeat(err)
	}
	return k.decideBeat(ctx, c, beat)
}

// decideBeat has the shard's owner decide on a heartbeat and carries the decision out.
func (k *Keeper) decideBeat(ctx context.Context, c call, beat registry.Heartbeat) answer {
	machine := k.instances(c.Shard)
	if machine == nil {
		return failed(InternalFault)
	}
	for {
		changed := k.ownersChanged.wait()
		decision, owned := machine.beat(k.outside.Now(), beat)
		if owned {
			return k.carryOut(ctx, c, decision)
		}
		if reply, waiting := k.awaitOwnership(ctx, c, changed); !waiting {
			return reply
		}
	}
}

// awaitOwnership waits while this replica leads the shard and does not own it yet. Where it does not
// lead, waiting is false and the answer says so.
func (k *Keeper) awaitOwnership(ctx context.Context, c call, changed <-chan struct{}) (reply answer, waiting bool) {
	status := k.shards[c.Shard].group.Status()
	if !status.IsLeader() {
		return notOwner(status.Leader.Address), false
	}
	if !pause(ctx, changed, ownerRetryPause) {
		return failed(NoOwner), false
	}
	return answer{}, true
}

// carryOut does what the owner of a shard has decided. What costs no entry is acknowledged only
// while this replica is known to lead.
func (k *Keeper) carryOut(ctx context.Context, c call, decision registry.Decision) answer {
	switch decision.Action {
	case registry.Reject:
		return refusedBeat(decision.Rejection)
	case registry.Propose:
		return k.proposeInstance(ctx, c, decision.Command)
	}
	if status := k.shards[c.Shard].group.Status(); !current(status) && k.outside.holds(GuardBeatCurrent) {
		return failed(NoOwner)
	}
	return succeeded(emptyObject)
}

func (k *Keeper) proposeInstance(ctx context.Context, c call, command []byte) answer {
	result, _, err := k.shards[c.Shard].group.Propose(ctx, command)
	if err != nil {
		return refusedProposal(err)
	}
	outcome, ok := result.(registry.Outcome)
	if !ok {
		return failed(InternalFault)
	}
	if outcome.Status != http.StatusOK {
		return answer{Status: outcome.Status, Code: int(outcome.Code), Text: outcome.Text}
	}
	return succeeded(emptyObject)
}

// refusedBeat turns the registry's refusal into an answer.
func refusedBeat(err error) answer {
	var refusal *registry.Rejection
	if !errors.As(err, &refusal) || refusal == nil {
		return failed(InternalFault)
	}
	if refusal.Code == registry.NotOwner {
		return notOwner("")
	}
	return answer{Status: refusal.HTTPStatus, Code: int(refusal.Code), Text: refusal.Text}
}

// takeDeparture removes an instance. One that is not known is acknowledged once the group remembers that it is gone.
func (k *Keeper) takeDeparture(ctx context.Context, c call) answer {
	machine := k.instances(c.Shard)
	if machine == nil {
		return failed(InternalFault)
	}
	for {
		changed := k.ownersChanged.wait()
		decision, known, owned := machine.deregister(k.outside.Now(), c.ID)
		if owned {
			reply := k.carryOut(ctx, c, decision)
			reply.Known = known
			return reply
		}
		if reply, waiting := k.awaitOwnership(ctx, c, changed); !waiting {
			return reply
		}
	}
}
