package server

import (
	"context"
	"sync"
	"time"

	"ospreybend/coord/shards"
	"ospreybend/internal/controlplane/feedtransport"
	"ospreybend/internal/controlplane/roleplanner"
)

// demands are the reports of the proxies whose agents read this keeper's feed, and, for shards that it owns, the
// sums that other keepers have passed on.
type demands struct {
	mutex   sync.Mutex
	proxies *roleplanner.DemandTable
	keepers [shards.Count]*roleplanner.DemandTable
}

func newDemands() *demands {
	d := &demands{proxies: roleplanner.NewDemandTable(demandLife)}
	for i := range d.keepers {
		d.keepers[i] = roleplanner.NewDemandTable(demandLife)
	}
	return d
}

func (d *demands) report(now time.Duration, node string, report []roleplanner.ServiceDemand) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.proxies.Put(now, node, report)
}

// byShard adds up what proxies have reported, by the shard of the service.
func (d *demands) byShard(now time.Duration) map[shards.ID][]roleplanner.ServiceDemand {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	sums := map[shards.ID][]roleplanner.ServiceDemand{}
	for service, demand := range d.proxies.Sum(now) {
		id := shards.Of(service)
		sums[id] = append(sums[id], roleplanner.ServiceDemand{Service: service, Demand: demand})
	}
	return sums
}

func (d *demands) passedOn(now time.Duration, id shards.ID, keeper string, report []roleplanner.ServiceDemand) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.keepers[id].Put(now, keeper, report)
}

// of returns the demand of the services of a shard, over the whole fleet.
func (d *demands) of(now time.Duration, id shards.ID) map[string]roleplanner.Demand {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.keepers[id].Sum(now)
}

// OnReport takes a report of an agent. Reports on other topics are dropped: nothing is asked of them yet.
func (k *Keeper) OnReport(hello feedtransport.Hello, topic string, body []byte) {
	if topic != feedtransport.TopicDemand {
		return
	}
	if report, err := roleplanner.DecodeReport(body); err == nil {
		k.demands.report(k.sinceStart(), hello.Node, report)
	}
}

// sinceStart is the time that the process has run, on its monotonic clock.
func (k *Keeper) sinceStart() time.Duration { return k.outside.Now().Sub(k.started) }

// tellDemands passes on the demand that proxies report to the owners of the services' shards, until ctx ends.
func (k *Keeper) tellDemands(ctx context.Context) {
	every(ctx, demandInterval, func() {
		for id, report := range k.demands.byShard(k.sinceStart()) {
			k.tellDemand(ctx, id, report)
		}
	})
}

// tellDemand passes on one shard's part. What the owner cannot be told is dropped: the next follows soon.
func (k *Keeper) tellDemand(ctx context.Context, id shards.ID, report []roleplanner.ServiceDemand) {
	body, err := roleplanner.EncodeReport(report)
	if err != nil {
		return
	}
	k.carryInBackground(ctx, call{Kind: callDemand, Shard: id, ID: k.self.Address, Body: body}, demandInterval)
}

// takeDemand takes, as the owner of a shard, the demand that another keeper passes on.
func (k *Keeper) takeDemand(c call) answer {
	if status := k.shards[c.Shard].group.Status(); !status.IsLeader() {
		return notOwner(status.Leader.Address)
	}
	report, err := roleplanner.DecodeReport(c.Body)
	if err != nil {
		return failed(InternalFault)
	}
	k.demands.passedOn(k.sinceStart(), c.Shard, c.ID, report)
	return succeeded(emptyObject)
}
