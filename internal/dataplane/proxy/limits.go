package proxy

import (
	"runtime/debug"

	"ospreybend/internal/util/bootconfig"
)

const (
	megabyte = 1 << 20

	// heapGrowthPercent is how much the heap may grow between two collections, in percent. It takes memory to
	// save processor time.
	heapGrowthPercent = 200
	// memoryLimitPercent is the part of the machine's memory from which on the collector works harder, in percent.
	memoryLimitPercent = 60
	// bodyBudgetPercent is the part of the machine's memory that bodies of requests may take, in percent.
	bodyBudgetPercent = 20
	percent           = 100

	reservedDescriptors  = 200  // for files outside the data directory
	maxClientConnections = 2048 // connections of clients
)

// applyMemoryLimit sets the garbage collector up for the machine.
func applyMemoryLimit(limits bootconfig.Limits) {
	debug.SetGCPercent(heapGrowthPercent)
	if limits.MemoryMb > 0 {
		debug.SetMemoryLimit(int64(limits.MemoryMb) * megabyte * memoryLimitPercent / percent)
	}
}

// clientConnectionLimit is how many of the descriptors clients may take; the rest is for workers.
func clientConnectionLimit(limits bootconfig.Limits) int {
	free := limits.MaxFds - reservedDescriptors
	return min(maxClientConnections, max(free/2, 1))
}

// bodyBudget is how many bytes the bodies of requests may take together.
func bodyBudget(limits bootconfig.Limits) int64 {
	return int64(limits.MemoryMb) * megabyte * bodyBudgetPercent / percent
}
