package server

import (
	"context"
	"errors"
	"time"

	"ospreybend/coord/shards"
	"ospreybend/internal/controlplane/peertransport"
)

// errNoOwner: no owner of the shard was found before the context ended.
var errNoOwner = errors.New("keeper: no owner of the shard is known")

// maxAvoidPauses is for how many pauses an owner that could not be reached is not tried again.
const maxAvoidPauses = 3

// maxOwnerHints is how many times a call goes at once to the owner that another keeper has named. Keepers that name each other
// would pass it round until its context ends.
const maxOwnerHints = 3

// forwardTarget is the keeper that a call goes to.
type forwardTarget struct {
	isSelf       bool
	address      string
	knownLocally bool // by the local replica: the call is broken off if that learns of another leader
}

// forward has the owner of the call's shard carry it out and returns the owner's answer. Where the
// owner is unknown, was changed or cannot be reached, it waits for another one and tries again
// until ctx ends; calls may therefore be carried out more than once.
func (s *Server) forward(ctx context.Context, request shardRequest) shardResponse {
	hint, avoid, asked, hints := "", "", false, 0
	for attempt := 0; ; attempt++ {
		if hint != "" {
			hints++
		}
		if hints > maxOwnerHints {
			hint = ""
		}
		to, err := s.awaitOwner(ctx, request.Shard, hint, avoid, attempt)
		if err != nil {
			break
		}
		hint, avoid = "", ""
		reply, err := s.callTarget(ctx, to, request)
		if err == nil && !reply.NotOwner {
			return reply
		}
		if err != nil {
			asked = asked || !errors.Is(err, peertransport.ErrNotSent)
			avoid = to.address
		}
		hint = reply.Leader
	}
	if asked {
		return errorResponse(OutcomeUnknown)
	}
	return errorResponse(NoOwner)
}

// callTarget has one keeper carry out a call.
func (s *Server) callTarget(ctx context.Context, to forwardTarget, request shardRequest) (shardResponse, error) {
	if to.isSelf {
		return s.execute(ctx, request), nil
	}
	body, err := encodeShardRequest(request)
	if err != nil {
		return shardResponse{}, err
	}
	if to.knownLocally {
		var cancel context.CancelFunc
		ctx, cancel = context.WithCancel(ctx)
		defer cancel()
		defer context.AfterFunc(s.leaderContext(s.shards[request.Shard]), cancel)()
	}
	reply, err := s.peers.network.Call(ctx, to.address, request.Kind, body)
	if err != nil {
		return shardResponse{}, err
	}
	return decodeShardResponse(reply)
}

// awaitOwner returns the owner of a shard: the one that another keeper has named, or the one that the
// local replica knows of, or, if that has lost its group, any other keeper. The address to avoid has just
// failed. After the first attempt it gives a change of owner a little time.
func (s *Server) awaitOwner(ctx context.Context, id shards.ID, hint, avoid string, attempt int) (forwardTarget, error) {
	if hint != "" && hint != s.self.Address {
		return forwardTarget{address: hint}, nil
	}
	startedAt := s.environment.Now()
	for pauses := 0; ; pauses++ {
		changed := s.ownersChanged.changed()
		if pauses > maxAvoidPauses {
			avoid = ""
		}
		if attempt == 0 || pauses > 0 {
			to, found := s.lookUpOwner(id, avoid, attempt)
			// Keepers that may know the owner are asked at an interval: what changes meanwhile may be other shards' owners.
			if found && (attempt == 0 || to.isSelf || to.knownLocally || s.environment.Now().Sub(startedAt) >= ownerRetryInterval) {
				return to, nil
			}
		}
		if !waitForChange(ctx, changed, ownerRetryInterval) {
			return forwardTarget{}, errNoOwner
		}
	}
}

// lookUpOwner returns the owner of a shard as far as the local replica knows.
func (s *Server) lookUpOwner(id shards.ID, avoid string, attempt int) (forwardTarget, bool) {
	status := s.shards[id].group.Status()
	if status.IsLeader() {
		return forwardTarget{isSelf: true}, true
	}
	if address := status.Leader.Address; address != "" {
		return forwardTarget{address: address, knownLocally: true}, address != avoid && address != s.self.Address
	}
	if len(status.Members) > 0 && status.ConfirmedAge <= contactLostAfter {
		return forwardTarget{}, false
	}
	others := s.directory.otherAddresses()
	if len(others) == 0 {
		return forwardTarget{}, false
	}
	return forwardTarget{address: others[attempt%len(others)]}, true
}

// forwardInBackground has the owner of a call's shard carry it out within a time, and drops its answer.
func (s *Server) forwardInBackground(ctx context.Context, request shardRequest, within time.Duration) {
	s.lifecycle.background.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, within)
		defer cancel()
		s.forward(ctx, request)
	})
}
