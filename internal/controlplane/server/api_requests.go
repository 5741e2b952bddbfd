package server

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"ospreybend/coord/shards"
	"ospreybend/internal/controlplane/configuration"
	"ospreybend/internal/controlplane/peertransport"
	"ospreybend/internal/controlplane/registry"
)

// APICall names a call of the control plane's API.
type APICall uint8

// The calls of operators and workers.
const (
	APIReplace    APICall = 1 // a whole configuration
	APIUpdate     APICall = 2 // a change of it
	APIRead       APICall = 3 // the newest configuration
	APIHeartbeat  APICall = 4
	APIDeregister APICall = 5
)

// APIRequest is one call as it came, whatever carried it.
type APIRequest struct {
	Call APICall
	ID   string // of the instance
	Base string // the header X-Base-Version; empty: 0
	Body []byte
}

// APIResponse is its answer.
type APIResponse struct {
	Status int // of HTTP
	Body   []byte
}

// Handle carries a call out, as far as this keeper can, and returns what the caller is told.
func (k *Keeper) Handle(ctx context.Context, request APIRequest) APIResponse {
	reply := k.handle(ctx, request)
	return APIResponse{Status: reply.Status, Body: bodyOf(reply)}
}

// bodyOf returns what the caller reads of an answer.
func bodyOf(reply answer) []byte {
	switch {
	case reply.Status != http.StatusOK:
		return errorBody(reply.Code, reply.Text)
	case len(reply.Body) == 0:
		return emptyObject
	}
	return reply.Body
}

func (k *Keeper) handle(ctx context.Context, request APIRequest) answer {
	switch request.Call {
	case APIReplace:
		return k.takeChange(ctx, request, callReplace)
	case APIUpdate:
		return k.takeChange(ctx, request, callUpdate)
	case APIRead:
		return k.takeRead(ctx)
	case APIHeartbeat:
		return k.takeHeartbeat(ctx, request)
	case APIDeregister:
		return k.takeDeregister(ctx, request)
	}
	return failed(UnknownPath)
}

// takeChange takes a change to the configuration. What is invalid whatever the state is, is refused
// here and costs no entry.
func (k *Keeper) takeChange(ctx context.Context, request APIRequest, kind peertransport.CallKind) answer {
	base, valid := baseVersion(request.Base)
	if !valid {
		return failed(BadBaseVersion)
	}
	body := request.Body
	command := configuration.Command{Kind: configuration.CommandUpdate, Base: base, Body: body}
	if kind == callReplace {
		command.Kind = configuration.CommandReplace
	}
	if refusal := configuration.ValidateCommand(command); refusal != nil {
		return answer{Status: refusal.HTTPStatus, Code: int(refusal.Code), Text: refusal.Text}
	}
	ctx, cancel := context.WithTimeout(ctx, budgetFor(len(body)))
	defer cancel()
	return k.carry(ctx, call{Kind: kind, Shard: shards.Configuration, Base: base, Body: body})
}

// baseVersion reads the header; one that is missing counts as 0.
func baseVersion(text string) (uint64, bool) {
	if text == "" {
		return 0, true
	}
	base, err := strconv.ParseUint(text, 10, 64)
	return base, err == nil
}

// budgetFor is the time that a call with a body of that length may take.
func budgetFor(bodyBytes int) time.Duration {
	if bodyBytes > largeBodyBytes {
		return largeCallBudget
	}
	return smallCallBudget
}

func (k *Keeper) takeRead(ctx context.Context) answer {
	ctx, cancel := context.WithTimeout(ctx, smallCallBudget)
	defer cancel()
	return k.carry(ctx, call{Kind: callRead, Shard: shards.Configuration})
}

func (k *Keeper) takeHeartbeat(ctx context.Context, request APIRequest) answer {
	if len(request.Body) > maxBeatBytes {
		return failed(BodyTooLarge)
	}
	beat, err := registry.ParseHeartbeat(request.ID, request.Body)
	if err != nil {
		return refusedBeat(err)
	}
	shard := shards.Of(beat.Service)
	if k.acknowledgeHere(shard, beat) {
		return succeeded(emptyObject)
	}
	ctx, cancel := context.WithTimeout(ctx, smallCallBudget)
	defer cancel()
	return k.carry(ctx, call{Kind: callBeat, Shard: shard, ID: request.ID, Body: request.Body})
}

func (k *Keeper) takeDeregister(ctx context.Context, request APIRequest) answer {
	if request.ID == "" {
		return failed(MissingInstance)
	}
	ctx, cancel := context.WithTimeout(ctx, smallCallBudget)
	defer cancel()
	return k.depart(ctx, request.ID)
}

// depart has the owner of an instance's shard remove it. Where no replica here knows the instance,
// all owners are asked; it is acknowledged once the one that knows it has removed it, or each remembers that it is gone.
func (k *Keeper) depart(ctx context.Context, id string) answer {
	for _, shard := range allShards {
		machine := k.instances(shard)
		if machine == nil {
			continue
		}
		known, removed := machine.holds(id)
		if removed {
			return succeeded(emptyObject)
		}
		if known {
			return k.carry(ctx, call{Kind: callDeregister, Shard: shard, ID: id})
		}
	}
	return k.departAnywhere(ctx, id)
}

func (k *Keeper) departAnywhere(ctx context.Context, id string) answer {
	replies := make([]answer, shards.ServiceShards)
	var waitGroup sync.WaitGroup
	for i := range replies {
		shard := shards.ID(i + 1)
		waitGroup.Go(func() {
			replies[i] = k.carry(ctx, call{Kind: callDeregister, Shard: shard, ID: id})
		})
	}
	waitGroup.Wait()
	for _, reply := range replies {
		if reply.Known && reply.Status == http.StatusOK {
			return reply
		}
	}
	return worst(replies)
}
