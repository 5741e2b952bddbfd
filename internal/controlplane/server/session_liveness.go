package server

import (
	"context"
	"sync"
	"time"

	"ospreybend/coord/shards"
	"ospreybend/internal/controlplane/registry"
	"ospreybend/internal/util/strictavro"
)

// livenessReports are the heartbeats that this keeper has acknowledged by itself and the owners of their shards have not been
// told of.
type livenessReports struct {
	mutex           sync.Mutex
	highestSequence [shards.ShardCount]map[string]uint64 // the highest sequence, by instance
	added           chan struct{}
}

func newLivenessReports() *livenessReports { return &livenessReports{added: make(chan struct{}, 1)} }

func (p *livenessReports) record(shard shards.ID, id string, sequence uint64) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.highestSequence[shard] == nil {
		p.highestSequence[shard] = make(map[string]uint64)
		notify(p.added)
	}
	p.highestSequence[shard][id] = max(p.highestSequence[shard][id], sequence)
}

// drain returns what was noted of a shard since the last call.
func (p *livenessReports) drain(shard shards.ID) []sessionHeartbeat {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	taken := make([]sessionHeartbeat, 0, len(p.highestSequence[shard]))
	for id, sequence := range p.highestSequence[shard] {
		taken = append(taken, sessionHeartbeat{ID: id, Sequence: int64(sequence)})
	}
	p.highestSequence[shard] = nil
	return taken
}

// acknowledgeLocally tells whether a heartbeat may be acknowledged without its shard's owner: this replica is current and
// has just what the heartbeat says. The owner is told within presenceInterval that the instance was heard.
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

// runLivenessReports tells the owners of shards who was heard, until ctx ends. It sleeps while nobody is.
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

// reportLiveness tells the owner of one shard. What it cannot be told is dropped: the instances send again.
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

// executeSessionLiveness notes as the owner of a shard whom another keeper has heard.
func (s *Server) executeSessionLiveness(request shardRequest) shardResponse {
	var heartbeats []sessionHeartbeat
	machine := s.registryMachine(request.Shard)
	if machine == nil || strictavro.Unmarshal(codec, sessionHeartbeatsSchema, request.Body, &heartbeats) != nil {
		return errorResponse(InternalFault)
	}
	if !machine.recordHeard(s.environment.Now(), heartbeats) {
		return notOwnerResponse(s.shards[request.Shard].group.Status().Leader.Address)
	}
	return okResponse(emptyObject)
}
