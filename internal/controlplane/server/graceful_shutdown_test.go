package server

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"ospreybend/coord/consensus"
	"ospreybend/internal/controlplane/peertransport"
)

// leaveRecordingNetwork accepts leave calls and records the addresses called.
type leaveRecordingNetwork struct {
	scriptedNetwork
	leaveCalls []string
	mutex      sync.Mutex // guards leaveCalls
}

func (n *leaveRecordingNetwork) Call(_ context.Context, address string, kind peertransport.CallKind, _ []byte) ([]byte, error) {
	if kind != callLeave {
		return nil, peertransport.ErrNotSent
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.leaveCalls = append(n.leaveCalls, address)
	return codec.Marshal(groupsSchema, []groupState{})
}

// The new leader of a group becomes known only after an election timeout. The vote must still be released to it, soon after that.
func TestServer_HandOver_waitsForNewLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const electionDelay = electionTimeout
		s, groups, _ := newScriptedServer(t)
		network := &leaveRecordingNetwork{}
		s.peers.network = network
		status := followerStatus("b")
		status.Leader = consensus.Member{}
		groups[1].set(status)
		time.AfterFunc(electionDelay, func() { groups[1].set(followerStatus("b")) })
		startedAt := time.Now()
		s.handOver()
		if len(network.leaveCalls) != 1 || network.leaveCalls[0] != "b" || time.Since(startedAt) > electionDelay+10*releasePollInterval {
			t.Fatalf("got leave calls to %v after %s, want one to b shortly after %s", network.leaveCalls, time.Since(startedAt), electionDelay)
		}
	})
}

// TestServer_HandOver_announcesToAllMembers guards against a next leader that does not know which members are shutting down.
func TestServer_HandOver_announcesToAllMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, groups, _ := newScriptedServer(t)
		network := &leaveRecordingNetwork{}
		s.peers.network = network
		groups[1].set(followerStatus("b"))
		s.directory.setMembers(1, []consensus.Member{{ID: 1, Address: s.self.Address, Voter: true}, {ID: 2, Address: "b", Voter: true}, {ID: 3, Address: "c"}})
		s.handOver()
		synctest.Wait()
		network.mutex.Lock()
		defer network.mutex.Unlock()
		if !slices.Contains(network.leaveCalls, "c") {
			t.Fatalf("got leave calls to %v, want one to c, which does not lead", network.leaveCalls)
		}
	})
}
