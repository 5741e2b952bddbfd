package controlplanesim

import (
	"runtime"
	"strconv"
	"sync"
	"time"

	"ospreybend/coord/shards"
	"ospreybend/internal/controlplane/configuration"
)

// The fake clock stands still while a server computes. So that a change that costs much is noticed, the servers of a simulation
// wait for as long as the change would keep one processor busy. What the change allocates stands for that time: unlike a measured
// time it does not depend on the machine and its load.
const (
	processorTimePerByte = 3 * time.Nanosecond
	applyCostResolution  = time.Millisecond // lower costs count as none
	measuredChanges      = 5
)

// measuredCosts holds the results of applyCostOf by the size of the configuration.
var measuredCosts = struct {
	mutex  sync.Mutex
	bySize map[int]time.Duration
}{bySize: map[int]time.Duration{}}

// applyCostOf returns the processor time of a small change of a configuration with the filler routes, rounded down.
func applyCostOf(filler string) time.Duration {
	measuredCosts.mutex.Lock()
	defer measuredCosts.mutex.Unlock()
	cost, measured := measuredCosts.bySize[len(filler)]
	if !measured {
		cost = measureApplyCost(filler).Truncate(applyCostResolution)
		measuredCosts.bySize[len(filler)] = cost
	}
	return cost
}

// measureApplyCost applies some small changes and returns the lowest cost, as other goroutines allocate at the same time.
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
