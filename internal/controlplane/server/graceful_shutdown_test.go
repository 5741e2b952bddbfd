package server

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"ospreybend/coord/consensus"
	"ospreybend/internal/controlplane/peertransport"
)

// leaveRecordingNetwork accepts and records leave calls.
type leaveRecordingNetwork struct {
	scriptedNetwork
	called []string
}

func (n *leaveRecordingNetwork) Call(_ context.Context, address string, kind peertransport.CallKind, _ []byte) ([]byte, error) {
	if kind != callLeave {
		return nil, peertransport.ErrNotSent
	}
	n.called = append(n.called, address)
	return codec.Marshal(groupsSchema, []groupState{})
}

func TestServer_ReleaseVotes_waitsForNewLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const elected = leaderDiscoveryTimeout + 200*time.Millisecond
		s, groups, _ := newScriptedServer(t)
		network := &leaveRecordingNetwork{}
		s.peers.network = network
		status := followerStatus("b")
		status.Leader = consensus.Member{}
		groups[1].set(status)
		time.AfterFunc(elected, func() { groups[1].set(followerStatus("b")) })
		ctx, cancel := context.WithTimeout(t.Context(), leaderTransferTimeout)
		defer cancel()
		began := time.Now()
		s.releaseVotes(ctx)
		if len(network.called) != 1 || network.called[0] != "b" || time.Since(began) > elected+10*releasePollInterval {
			t.Fatalf("asked %v within %s", network.called, time.Since(began))
		}
	})
}
