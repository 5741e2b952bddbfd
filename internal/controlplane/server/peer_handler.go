package server

import (
	"context"

	"ospreybend/internal/controlplane/peertransport"
)

// Connected implements peertransport.Handler: it records the failure domain of a peer.
func (s *Server) Connected(peer peertransport.Hello) {
	s.directory.learn(serverInfo{Address: peer.Address, Zone: peer.Zone, Region: peer.Region})
}

// Messages implements peertransport.Handler: it delivers consensus messages to their groups. Messages to an earlier member at this
// address are dropped before their senders are recorded as heard. The consensus core drops them too: this member must not vote on
// behalf of the earlier one.
func (s *Server) Messages(_ peertransport.Hello, batch []peertransport.GroupMessage) {
	now := s.environment.Now()
	for _, groupMessage := range batch {
		if groupMessage.Message.To != s.self.ID {
			continue
		}
		shard := s.shards[groupMessage.Shard]
		shard.recordHeard(groupMessage.Message.From, now)
		shard.group.Step(groupMessage.Message)
	}
}

// Call implements peertransport.Handler: it executes a call from another server and returns the encoded reply.
func (s *Server) Call(ctx context.Context, peer peertransport.Hello, kind peertransport.CallKind, body []byte) ([]byte, error) {
	switch kind {
	case callJoin:
		return s.receiveJoin(peer, body)
	case callLeave:
		return s.receiveLeave(ctx, peer, body)
	case callIdentity:
		return encodeIdentity(identityReply{
			ID: s.self.ID, Age: s.environment.Now().Sub(s.startedAt), ShuttingDown: s.lifecycle.shuttingDown.Load(),
		})
	case callGroupStates:
		return codec.Marshal(groupsSchema, s.groupStates())
	}
	request, err := decodeShardRequest(body)
	if err != nil {
		return nil, err
	}
	return encodeShardResponse(s.execute(ctx, request))
}
