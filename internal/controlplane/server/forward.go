package server

import (
	"context"
	"errors"
	"time"

	"ospreybend/coord/shards"
	"ospreybend/internal/controlplane/peertransport"
)

// errNoOwner reports that the context ended before an owner of the shard was found.
var errNoOwner = errors.New("no owner of the shard is known")

// maxAvoidPauses is for how many pauses an owner that could not be reached is not attempted again.
const maxAvoidPauses = 3

// maxOwnerHints limits how often a request follows at once the hint of a server that is not the owner. Without the limit, two
// servers that name each other would bounce the request until its context ends.
const maxOwnerHints = 3

// forwardTarget is the server that a request is sent to.
type forwardTarget struct {
	isSelf       bool
	address      string
	knownLocally bool // to lead by the local replica; the call is canceled if that learns of another leader
}

// forward has the owner of the request's shard execute the request and returns the owner's response. While the owner is unknown,
// has changed or cannot be reached, it waits and attempts again, until ctx ends. A request may therefore be executed more than
// once: every request is idempotent by its base version or its sequence number.
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
		to, err := s.awaitOwner(ctx, request.Shard, hint, avoid, attempt)
		if err != nil {
			break
		}
		hint, avoid = "", ""
		response, err := s.callTarget(ctx, to, request)
		if err == nil && !response.NotOwner {
			return response
		}
		if err != nil {
			mayHaveExecuted = mayHaveExecuted || !errors.Is(err, peertransport.ErrNotSent)
			avoid = to.address
		}
		hint = response.Leader
	}
	if mayHaveExecuted {
		return errorResponse(OutcomeUnknown)
	}
	return errorResponse(NoOwner)
}

// callTarget has one server execute a request. If the target was known to lead the shard, the call is canceled when this server's
// replica learns of another leader.
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
		defer context.AfterFunc(s.shards[request.Shard].untilLeaderChanges(), cancel)()
	}
	reply, err := s.peers.network.Call(ctx, to.address, request.Kind, body)
	if err != nil {
		return shardResponse{}, err
	}
	return decodeShardResponse(reply)
}

// awaitOwner returns the next server to attempt: the one that the hint names, the leader that the local replica knows, or, if the
// local replica has lost contact with its group, any other server. avoid is the address that has just failed. After the first
// attempt it waits, to give a change of owner a little time.
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
			to, found := s.lookUpOwner(id, avoid, attempt)
			// Servers that may know the owner are asked at an interval: what has changed may be another shard's owner.
			if found && (attempt == 0 || to.isSelf || to.knownLocally || s.environment.Now().Sub(startedAt) >= ownerRetryInterval) {
				return to, nil
			}
		}
		if !waitForChange(ctx, changed, ownerRetryInterval) {
			return forwardTarget{}, errNoOwner
		}
	}
}

// lookUpOwner returns the owner of a shard as far as the local replica knows. A server whose replica has lost contact names the
// other known servers in turn, one per attempt.
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
