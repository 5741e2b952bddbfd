package controlplanesim

import (
	"runtime"
	"strconv"
	"time"

	"ospreybend/coord/shards"
	"ospreybend/internal/controlplane/configuration"
	"ospreybend/internal/testkit/controlplanesim/schedule"
)

// The fake clock stands still while a server computes. So that a change that costs much is noticed, the servers of a simulation
// wait for as long as the change would keep one processor busy. What the change allocates stands for that time: unlike a measured
// time it does not depend on the machine and its load.
const (
	processorTimePerByte = 3 * time.Nanosecond
	applyCostResolution  = time.Millisecond // lower costs count as none
	measuredChanges      = 5
)

// measuredCost is the processor time of a small change of a configuration with that many filler routes.
type measuredCost struct {
	routes int
	cost   time.Duration
}

// measuredCosts holds the costs for no filler routes and for each of schedule.RouteCounts, in ascending order of routes. measureApplyCosts
// sets it.
var measuredCosts []measuredCost

// measureApplyCosts measures what changes cost. It must be called before any schedule is played, with nothing else running: the
// memory that other goroutines allocate meanwhile would count as well.
func measureApplyCosts() {
	measuredCosts = nil
	for _, routes := range append([]int{0}, schedule.RouteCounts()...) {
		cost := measureApplyCost(fillerRoutes(routes)).Truncate(applyCostResolution)
		measuredCosts = append(measuredCosts, measuredCost{routes: routes, cost: cost})
	}
}

// applyCostOf returns the measured cost of a change for the next larger number of routes, or the largest one.
func applyCostOf(routes int) time.Duration {
	var cost time.Duration
	for _, measured := range measuredCosts {
		cost = measured.cost
		if routes <= measured.routes {
			break
		}
	}
	return cost
}

// measureApplyCost applies some small changes and returns the lowest cost, as the runtime allocates now and then.
func measureApplyCost(filler string) time.Duration {
	store := configuration.NewStore()
	apply := func(index uint64, made order) {
		kind := configuration.CommandUpdate
		if made.base == 0 {
			kind = configuration.CommandReplace
		}
		store.Apply(index, configuration.EncodeCommand(configuration.Command{Kind: kind, Base: made.base, Body: made.body}))
	}
	apply(1, replaceOrder("first", 0, 1, filler))
	lowest := time.Duration(1<<63 - 1)
	for base := uint64(1); base <= measuredChanges; base++ {
		made := updateOrder(strconv.FormatUint(base, 10), base, base+1)
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		apply(base+1, made)
		runtime.ReadMemStats(&after)
		lowest = min(lowest, time.Duration(after.TotalAlloc-before.TotalAlloc)*processorTimePerByte)
	}
	return lowest
}

// chargeApply waits for the processor time of applying an entry of a shard.
func (sim *simulation) chargeApply(shard shards.ID) {
	if shard == shards.ConfigurationShard && sim.applyCost > 0 {
		time.Sleep(sim.applyCost)
	}
}
