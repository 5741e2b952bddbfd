package server

import (
	"context"
	"errors"
	"time"

	"ospreybend/coord/shards"
	"ospreybend/internal/controlplane/peertransport"
)

// errNoOwner is returned when the context ends before an owner of the shard is found.
var errNoOwner = errors.New("no owner of the shard is known")

// maxAvoidPauses is the number of waits during which an owner that could not be reached is not called again.
const maxAvoidPauses = 3

// maxOwnerHints limits how many times a request goes, without a wait, to the server that a non-owner names as the owner. Without
// the limit, two servers that name each other would pass the request back and forth until its context ends.
const maxOwnerHints = 3

// forwardTarget is the server that a request is sent to.
type forwardTarget struct {
	isSelf       bool
	address      string
	knownLocally bool // the local replica knows it as leader; the call is canceled when the replica learns of another leader
}

// forward sends a request to the owner of its shard, which may be this server, and returns the owner's response. While the owner is
// unknown, has changed or cannot be reached, it waits and retries until ctx ends. A request may therefore be executed more than
// once; its base version or sequence number makes it idempotent.
func (s *Server) forward(ctx context.Context, request shardRequest) shardResponse {
	hint, avoid := "", ""
	mayHaveExecuted, hintsFollowed := false, 0
	for attempt := 0; ; attempt++ {
		if hint != "" {
			hintsFollowed++
		}
		if hintsFollowed > maxOwnerHints {
			hint = ""
		}
		target, err := s.awaitOwner(ctx, request.Shard, hint, avoid, attempt)
		if err != nil {
			break
		}
		hint, avoid = "", ""
		response, err := s.callTarget(ctx, target, request)
		if err == nil && !response.NotOwner {
			return response
		}
		if err != nil {
			mayHaveExecuted = mayHaveExecuted || !errors.Is(err, peertransport.ErrNotSent)
			avoid = target.address
		}
		hint = response.Leader
	}
	if mayHaveExecuted {
		return errorResponse(OutcomeUnknown)
	}
	return errorResponse(NoOwner)
}

// callTarget has one server execute a request. If the local replica knows the target as the shard's leader, the call is canceled
// when the replica learns of another leader.
func (s *Server) callTarget(ctx context.Context, target forwardTarget, request shardRequest) (shardResponse, error) {
	if target.isSelf {
		return s.execute(ctx, request), nil
	}
	body, err := encodeShardRequest(request)
	if err != nil {
		return shardResponse{}, err
	}
	if target.knownLocally {
		var cancel context.CancelFunc
		ctx, cancel = context.WithCancel(ctx)
		defer cancel()
		defer context.AfterFunc(s.shards[request.Shard].untilLeaderChanges(), cancel)()
	}
	reply, err := s.peers.network.Call(ctx, target.address, request.Kind, body)
	if err != nil {
		return shardResponse{}, err
	}
	return decodeShardResponse(reply)
}

// awaitOwner returns the next server to call: the one that the hint names, the leader that the local replica knows, or, if the
// local replica has lost contact with its group, any other server. avoid is the address of the server whose call has just failed.
// Without a hint, it waits before every attempt but the first, to give a change of owner time to complete.
func (s *Server) awaitOwner(ctx context.Context, id shards.ID, hint, avoid string, attempt int) (forwardTarget, error) {
	if hint != "" && hint != s.self.Address {
		return forwardTarget{address: hint}, nil
	}
	startedAt := s.environment.Now()
	for pauses := 0; ; pauses++ {
		changed := s.ownersChanged.next()
		if pauses > maxAvoidPauses {
			avoid = ""
		}
		if attempt == 0 || pauses > 0 {
			target, found := s.lookUpOwner(id, avoid, attempt)
			// A server that only may know the owner is called at most once per ownerRetryInterval, since ownersChanged also
			// reports changes of other shards' owners.
			if found && (attempt == 0 || target.isSelf || target.knownLocally || s.environment.Now().Sub(startedAt) >= ownerRetryInterval) {
				return target, nil
			}
		}
		if !waitForChange(ctx, changed, ownerRetryInterval) {
			return forwardTarget{}, errNoOwner
		}
	}
}

// lookUpOwner returns the owner of a shard as the local replica knows it. If that replica has lost contact with its group, it returns
// the other known servers in turn, one per attempt. The result is false if there is no server to call, or only the one to avoid.
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

// forwardInBackground forwards a request with a timeout and discards the response.
func (s *Server) forwardInBackground(ctx context.Context, request shardRequest, timeout time.Duration) {
	s.lifecycle.background.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		s.forward(ctx, request)
	})
}
