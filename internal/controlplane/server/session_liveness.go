package server

import (
	"context"
	"sync"
	"time"

	"ospreybend/coord/shards"
	"ospreybend/internal/controlplane/registry"
	"ospreybend/internal/util/strictavro"
)

// livenessReports holds the heartbeats that this server has acknowledged locally and not yet reported to the shards' owners.
type livenessReports struct {
	mutex           sync.Mutex
	highestSequence [shards.ShardCount]map[string]uint64 // by instance ID
	added           chan struct{}                        // receives a token when a shard's first heartbeat since the last report is added
}

func newLivenessReports() *livenessReports { return &livenessReports{added: make(chan struct{}, 1)} }

// record adds a heartbeat to the next report to a shard's owner.
func (l *livenessReports) record(shard shards.ID, id string, sequence uint64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.highestSequence[shard] == nil {
		l.highestSequence[shard] = make(map[string]uint64)
		notify(l.added)
	}
	l.highestSequence[shard][id] = max(l.highestSequence[shard][id], sequence)
}

// drain returns and removes the heartbeats recorded for a shard since the last call, the highest sequence number per instance.
func (l *livenessReports) drain(shard shards.ID) []sessionHeartbeat {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	heartbeats := make([]sessionHeartbeat, 0, len(l.highestSequence[shard]))
	for id, sequence := range l.highestSequence[shard] {
		heartbeats = append(heartbeats, sessionHeartbeat{ID: id, Sequence: int64(sequence)})
	}
	l.highestSequence[shard] = nil
	return heartbeats
}

// acknowledgeLocally reports whether a heartbeat may be acknowledged without its shard's owner: this replica does not lead the shard,
// is current and has exactly the record that the heartbeat reports. If so, it queues the heartbeat for the next report to the owner,
// which is sent within livenessReportInterval.
func (s *Server) acknowledgeLocally(shard shards.ID, heartbeat registry.Heartbeat) bool {
	machine := s.registryMachine(shard)
	status := s.shards[shard].group.Status()
	if machine == nil || status.IsLeader() {
		return false
	}
	if !isCurrent(status) && s.environment.guardEnabled(GuardHeartbeatCurrent) {
		return false
	}
	if !machine.matchesRecord(heartbeat) && s.environment.guardEnabled(GuardHeartbeatRecorded) {
		return false
	}
	s.liveness.record(shard, heartbeat.ID, heartbeat.Sequence)
	return true
}

// runLivenessReports reports locally acknowledged heartbeats to the shards' owners until ctx ends. The first heartbeat after a report
// starts the interval, so nothing runs while there are none.
func (s *Server) runLivenessReports(ctx context.Context) {
	timer := time.NewTimer(livenessReportInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.liveness.added:
		}
		timer.Reset(livenessReportInterval)
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		for _, id := range allShards {
			s.reportLiveness(ctx, id)
		}
	}
}

// reportLiveness sends one shard's report to its owner. A lost report is not sent again, because the instances' next heartbeats make
// up for it.
func (s *Server) reportLiveness(ctx context.Context, id shards.ID) {
	heartbeats := s.liveness.drain(id)
	if len(heartbeats) == 0 {
		return
	}
	body, err := codec.Marshal(sessionHeartbeatsSchema, heartbeats)
	if err != nil {
		return
	}
	s.forwardInBackground(ctx, shardRequest{Kind: callSessionLiveness, Shard: id, Body: body}, smallCallTimeout)
}

// executeSessionLiveness records, as the owner of a shard, the heartbeats that another server has acknowledged.
func (s *Server) executeSessionLiveness(request shardRequest) shardResponse {
	var heartbeats []sessionHeartbeat
	machine := s.registryMachine(request.Shard)
	if machine == nil || strictavro.Unmarshal(codec, sessionHeartbeatsSchema, request.Body, &heartbeats) != nil {
		return errorResponse(InternalFault)
	}
	if !machine.recordRemoteHeartbeats(s.environment.Now(), heartbeats) {
		return notOwnerResponse(s.shards[request.Shard].group.Status().Leader.Address)
	}
	return okResponse(emptyObject)
}
