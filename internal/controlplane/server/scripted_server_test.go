package server

import (
	"context"
	"sync"
	"testing"

	"go.uber.org/zap"

	"ospreybend/coord/consensus"
	"ospreybend/coord/replica"
	"ospreybend/coord/shards"
	"ospreybend/internal/controlplane/peertransport"
	"ospreybend/internal/util/bootconfig"
)

// scriptedGroup is a replica group whose status and results a test sets.
type scriptedGroup struct {
	mutex          sync.Mutex
	status         replica.Status
	proposalResult func() (any, error)                                 // result of proposals if onPropose is nil
	onPropose      func(ctx context.Context, data []byte) (any, error) // takes precedence over proposalResult
	barrier        func(ctx context.Context) error                     // nil: read barriers succeed at once
}

func (g *scriptedGroup) Step(consensus.Message) {}

func (g *scriptedGroup) Propose(ctx context.Context, data []byte) (any, uint64, error) {
	if g.onPropose != nil {
		result, err := g.onPropose(ctx, data)
		return result, 1, err
	}
	result, err := g.proposalResult()
	return result, 1, err
}

func (g *scriptedGroup) ReadBarrier(ctx context.Context) error {
	if g.barrier != nil {
		return g.barrier(ctx)
	}
	return nil
}

func (g *scriptedGroup) ChangeMembers(context.Context, replica.MembershipChange) error { return nil }

func (g *scriptedGroup) PromotableLearners() []consensus.MemberID { return nil }

func (g *scriptedGroup) TransferLeadership(context.Context, ...consensus.MemberID) error { return nil }

func (g *scriptedGroup) Status() replica.Status {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.status
}

func (g *scriptedGroup) set(status replica.Status) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.status = status
}

// scriptedNetwork records the addresses of calls and answers them with the reply function.
type scriptedNetwork struct {
	mutex           sync.Mutex
	calledAddresses []string
	reply           func(address string, attempt int) (shardResponse, error) // nil: no address can be reached

	hangAddress  string        // calls to this address block until their context ends
	hangingCalls chan struct{} // receives a token for each call that blocks
}

func (n *scriptedNetwork) Send(consensus.Member, shards.ID, consensus.Message) {}

func (n *scriptedNetwork) Peers() []peertransport.PeerStatus { return nil }

func (n *scriptedNetwork) Call(ctx context.Context, address string, _ peertransport.CallKind, _ []byte) ([]byte, error) {
	n.mutex.Lock()
	n.calledAddresses = append(n.calledAddresses, address)
	attempt := len(n.calledAddresses)
	n.mutex.Unlock()
	if address == n.hangAddress {
		n.hangingCalls <- struct{}{}
		<-ctx.Done()
		return nil, peertransport.ErrOutcomeUnknown
	}
	if n.reply == nil {
		return nil, peertransport.ErrNotSent
	}
	reply, err := n.reply(address, attempt)
	if err != nil {
		return nil, err
	}
	return encodeShardResponse(reply)
}

// newScriptedServer returns a server with scripted groups and a scripted network.
func newScriptedServer(t *testing.T) (*Server, [shards.ShardCount]*scriptedGroup, *scriptedNetwork) {
	t.Helper()
	config := bootconfig.Defaults()
	config.IP, config.PortRange = "127.0.0.1", [2]int{7000, 7015}
	self := consensus.Member{ID: 1, Address: "127.0.0.1:7000"}
	s := newServer(config, self, Environment{}, zap.NewNop())
	network := &scriptedNetwork{}
	s.peers.network = network
	var groups [shards.ShardCount]*scriptedGroup
	for i, shard := range s.shards {
		groups[i] = &scriptedGroup{}
		shard.group = groups[i]
	}
	close(s.groups.opened)
	t.Cleanup(s.Close)
	return s, groups, network
}

// followerStatus returns the status of a follower in a group of two voters that is led from the given address.
func followerStatus(address string) replica.Status {
	return replica.Status{
		Role: consensus.RoleFollower, Leader: consensus.Member{ID: 2, Address: address},
		Members: []consensus.Member{{ID: 1, Address: "127.0.0.1:7000", Voter: true}, {ID: 2, Address: address, Voter: true}},
	}
}

func leaderStatus() replica.Status { return replica.Status{Role: consensus.RoleLeader, Term: 3} }

// timeoutContext returns a context with the timeout of a small API call.
func timeoutContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), smallCallTimeout)
	t.Cleanup(cancel)
	return ctx
}

// replaceRequest is a request to the configuration shard for tests that do not depend on its content.
var replaceRequest = shardRequest{Kind: callReplace, Shard: shards.ConfigurationShard, Body: []byte("{}")}
