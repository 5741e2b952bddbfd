package server

import (
	"testing"

	"ospreybend/coord/consensus"
	"ospreybend/coord/shards"
	"ospreybend/internal/controlplane/registry"
)

// The instance, and its service, of tests that need just one.
const (
	testInstanceID = "i-1"
	testService    = "s"
)

// newServerWithInstance returns a server that is a follower in the shard of an instance and has its record, the shard's group, and a
// heartbeat that matches the record.
func newServerWithInstance(t *testing.T) (*Server, *scriptedGroup, registry.Heartbeat) {
	t.Helper()
	s, groups, _ := newScriptedServer(t)
	id := shards.ForService(testService)
	heartbeat, err := registry.ParseHeartbeat(testInstanceID, []byte(heartbeatJSON("ready", 1)))
	if err != nil {
		t.Fatal(err)
	}
	s.registryMachine(id).Apply(consensus.Entry{Index: 1, Data: registry.EncodePut(heartbeat.Instance, heartbeat.Sequence)})
	groups[id].set(followerStatus("b"))
	return s, groups[id], heartbeat
}

func TestServer_AcknowledgeLocally_unchangedHeartbeatOnCurrentReplica(t *testing.T) {
	s, _, heartbeat := newServerWithInstance(t)
	id := shards.ForService(testService)
	for _, sequence := range []uint64{5, 7, 6} {
		heartbeat.Sequence = sequence
		if !s.acknowledgeLocally(id, heartbeat) {
			t.Fatalf("unchanged heartbeat with sequence number %d was not acknowledged locally", sequence)
		}
	}
	if drained := s.liveness.drain(id); len(drained) != 1 || drained[0] != (sessionHeartbeat{ID: testInstanceID, Sequence: 7}) {
		t.Fatalf("heartbeats to report: %+v, want one of %s with sequence number 7", drained, testInstanceID)
	}
	if drained := s.liveness.drain(id); len(drained) != 0 {
		t.Fatalf("heartbeats to report after the first report: %+v, want none", drained)
	}
}

func TestServer_AcknowledgeLocally_changedHeartbeatNeedsOwner(t *testing.T) {
	cases := map[string]func(s *Server, group *scriptedGroup, heartbeat *registry.Heartbeat){
		"draining":        func(_ *Server, _ *scriptedGroup, heartbeat *registry.Heartbeat) { heartbeat.State = registry.Draining },
		"another role":    func(_ *Server, _ *scriptedGroup, heartbeat *registry.Heartbeat) { heartbeat.Stage = "decode" },
		"another address": func(_ *Server, _ *scriptedGroup, heartbeat *registry.Heartbeat) { heartbeat.Address = "10.9.9.9:9" },
		"not recorded":    func(_ *Server, _ *scriptedGroup, heartbeat *registry.Heartbeat) { heartbeat.ID = "i-2" },
		"not current": func(_ *Server, group *scriptedGroup, _ *registry.Heartbeat) {
			status := followerStatus("b")
			status.ConfirmedAge = 2 * currentMaxAge
			group.set(status)
		},
		"is the leader": func(_ *Server, group *scriptedGroup, _ *registry.Heartbeat) { group.set(leaderStatus()) },
		"removed": func(s *Server, _ *scriptedGroup, _ *registry.Heartbeat) {
			s.registryMachine(shards.ForService(testService)).Apply(consensus.Entry{Index: 2, Data: registry.EncodeRemove(testInstanceID, registry.Expired, 1)})
		},
	}
	for name, alter := range cases {
		t.Run(name, func(t *testing.T) {
			s, group, heartbeat := newServerWithInstance(t)
			alter(s, group, &heartbeat)
			if s.acknowledgeLocally(shards.ForService(testService), heartbeat) {
				t.Fatalf("heartbeat %+v was acknowledged without the owner", heartbeat)
			}
		})
	}
}
