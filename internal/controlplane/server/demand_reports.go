package server

import (
	"context"
	"sync"
	"time"

	"ospreybend/coord/shards"
	"ospreybend/internal/controlplane/feedtransport"
	"ospreybend/internal/controlplane/roleplanner"
)

// demandReports holds the latest demand reports: those of the proxies whose agents read this server's feed and, for the shards
// that this server owns, the sums that each server forwards. Reports older than demandReportMaxAge are not counted.
type demandReports struct {
	mutex       sync.Mutex
	fromProxies *roleplanner.DemandTable                    // by node name
	fromServers [shards.ShardCount]*roleplanner.DemandTable // by server address
}

func newDemandReports() *demandReports {
	d := &demandReports{fromProxies: roleplanner.NewDemandTable(demandReportMaxAge)}
	for i := range d.fromServers {
		d.fromServers[i] = roleplanner.NewDemandTable(demandReportMaxAge)
	}
	return d
}

func (d *demandReports) putFromProxy(now time.Duration, node string, report []roleplanner.ServiceDemand) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.fromProxies.Put(now, node, report)
}

// byShard sums the proxies' reports by service and groups them by the service's shard.
func (d *demandReports) byShard(now time.Duration) map[shards.ID][]roleplanner.ServiceDemand {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	sums := map[shards.ID][]roleplanner.ServiceDemand{}
	for service, demand := range d.fromProxies.Sum(now) {
		id := shards.ForService(service)
		sums[id] = append(sums[id], roleplanner.ServiceDemand{Service: service, Demand: demand})
	}
	return sums
}

func (d *demandReports) putFromServer(now time.Duration, id shards.ID, server string, report []roleplanner.ServiceDemand) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.fromServers[id].Put(now, server, report)
}

// totalByService returns the fleet-wide demand of a shard's services.
func (d *demandReports) totalByService(now time.Duration, id shards.ID) map[string]roleplanner.Demand {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.fromServers[id].Sum(now)
}

// OnReport records a report that an agent sends: a demand report of its proxy, or a suspicion that a machine has failed. Reports on
// unknown topics, and those that cannot be decoded, are ignored.
func (s *Server) OnReport(hello feedtransport.Hello, topic string, body []byte) {
	switch topic {
	case feedtransport.TopicDemand:
		if report, err := roleplanner.DecodeReport(body); err == nil {
			s.demands.putFromProxy(s.uptime(), hello.Node, report)
		}
	case feedtransport.TopicSuspicion:
		if suspicion, err := feedtransport.DecodeSuspicion(body); err == nil {
			s.suspicions.record(s.environment.Now(), hello.Node, suspicion)
		}
	}
}

// forwardDemands sends the demand that proxies have reported to the owners of the services' shards, every demandReportInterval
// until ctx ends.
func (s *Server) forwardDemands(ctx context.Context) {
	runPeriodically(ctx, demandReportInterval, func() {
		for id, report := range s.demands.byShard(s.uptime()) {
			s.forwardShardDemand(ctx, id, report)
		}
	})
}

// forwardShardDemand sends one shard's demand to its owner. A lost report is not sent again, because the next one replaces it.
func (s *Server) forwardShardDemand(ctx context.Context, id shards.ID, report []roleplanner.ServiceDemand) {
	body, err := roleplanner.EncodeReport(report)
	if err != nil {
		return
	}
	s.forwardInBackground(ctx, shardRequest{Kind: callDemand, Shard: id, ID: s.self.Address, Body: body}, demandReportInterval)
}

// executeDemand records, as the owner of a shard, the demand that a server has forwarded.
func (s *Server) executeDemand(request shardRequest) shardResponse {
	if status := s.shards[request.Shard].group.Status(); !status.IsLeader() {
		return notOwnerResponse(status.Leader.Address)
	}
	report, err := roleplanner.DecodeReport(request.Body)
	if err != nil {
		return errorResponse(InternalFault)
	}
	s.demands.putFromServer(s.uptime(), request.Shard, request.ID, report)
	return okResponse(emptyObject)
}
