package server

import (
	"context"
	"sync"
	"time"

	"ospreybend/coord/replica"
	"ospreybend/coord/shards"
	"ospreybend/internal/controlplane/peertransport"
	"ospreybend/internal/util/strictavro"
)

// runJoin asks the other servers, until ctx ends, to add this one to the groups in which it is not a voter or with whose majority it
// has lost contact.
func (s *Server) runJoin(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	startedAt, consecutiveRequests := s.environment.Now(), 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		uptime := s.environment.Now().Sub(startedAt)
		if s.lifecycle.shuttingDown.Load() || !s.needsToJoin(uptime) {
			consecutiveRequests = 0
			timer.Reset(joinCheckInterval(uptime))
			continue
		}
		s.requestJoin(ctx)
		consecutiveRequests++
		timer.Reset(joinRequestInterval(consecutiveRequests))
	}
}

// joinRequestInterval returns the delay after a number of consecutive requests. A server that has not been added after
// maxEagerJoinRequests is not needed at present and asks less often.
func joinRequestInterval(consecutiveRequests int) time.Duration {
	if consecutiveRequests > maxEagerJoinRequests {
		return joinIdleInterval
	}
	return joinInterval
}

// joinCheckInterval returns the delay until a server that need not join checks again. It is short soon after the start: a group may
// have replaced the server while it was down, and no other server tells it.
func joinCheckInterval(uptime time.Duration) time.Duration {
	if uptime < contactLostAfter {
		return joinInterval
	}
	return joinIdleInterval
}

// needsToJoin reports whether, as far as this server knows, it is not a voter of some group or has no contact with a majority of one.
func (s *Server) needsToJoin(uptime time.Duration) bool {
	for _, shard := range s.shards {
		status := shard.group.Status()
		if !isVoter(status, s.self.ID) {
			return true
		}
		if uptime > contactLostAfter && status.ConfirmedAge > contactLostAfter {
			return true
		}
		if uptime > firstContactTimeout && status.ConfirmedAge == replica.NeverConfirmed {
			return true
		}
	}
	return false
}

// requestJoin sends a join request to all other known servers concurrently and adds the servers in their replies to the directory.
func (s *Server) requestJoin(ctx context.Context) {
	body, err := codec.Marshal(groupsSchema, s.groupStates())
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, joinInterval)
	defer cancel()
	var waitGroup sync.WaitGroup
	for _, address := range s.directory.otherAddresses() {
		waitGroup.Go(func() {
			reply, err := s.peers.network.Call(ctx, address, callJoin, body)
			if err == nil {
				s.learnServers(reply)
			}
		})
	}
	waitGroup.Wait()
}

// groupStates returns the states of this server's replicas, as sent by callJoin and callGroupStates.
func (s *Server) groupStates() []groupState {
	states := make([]groupState, 0, shards.ShardCount)
	for _, shard := range s.shards {
		status := shard.group.Status()
		states = append(states, groupState{
			Shard: int(shard.id), Voter: isVoter(status, s.self.ID), Current: isCurrent(status),
			Writable: status.Writable && !s.lifecycle.shuttingDown.Load(),
		})
	}
	return states
}

// learnServers adds the servers of a join reply to the directory.
func (s *Server) learnServers(body []byte) {
	var infos []serverInfo
	if strictavro.Unmarshal(codec, serversSchema, body, &infos) != nil {
		return
	}
	for _, info := range infos {
		s.directory.learn(info)
	}
}

// receiveJoin records a join request, starts reconciling the groups that this server leads, and replies with the servers that are
// members of groups. A server that does not lead a group may do so before the request is repeated.
func (s *Server) receiveJoin(peer peertransport.Hello, body []byte) ([]byte, error) {
	var states []groupState
	if err := strictavro.Unmarshal(codec, groupsSchema, body, &states); err != nil {
		return nil, err
	}
	now := s.environment.Now()
	for _, state := range states {
		if state.Shard < 0 || state.Shard >= shards.ShardCount {
			continue
		}
		shard := s.shards[state.Shard]
		s.joinRequests.record(shard.id, joinRequest{ID: peer.Member, Address: peer.Address}, now)
		if shard.group.Status().IsLeader() {
			s.startReconcile(shard)
		}
	}
	return codec.Marshal(serversSchema, s.directory.serving())
}
