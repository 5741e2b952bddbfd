package server

import (
	"context"

	"ospreybend/internal/controlplane/peertransport"
)

// Connected notes where a peer is.
func (s *Server) Connected(peer peertransport.Hello) {
	s.directory.learn(serverInfo{Address: peer.Address, Zone: peer.Zone, Region: peer.Region})
}

// Messages hands agreement messages to their groups. Those for an earlier member with this
// address are dropped.
func (s *Server) Messages(_ peertransport.Hello, batch []peertransport.GroupMessage) {
	for _, received := range batch {
		if received.Message.To == s.self.ID || !s.environment.guardEnabled(GuardMemberAddressed) {
			s.shards[received.Shard].group.Step(received.Message)
		}
	}
}

// Call carries out what another keeper asks.
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
	c, err := decodeShardRequest(body)
	if err != nil {
		return nil, err
	}
	return encodeShardResponse(s.execute(ctx, c))
}
