package proxy

import (
	"runtime/debug"

	"ospreybend/internal/util/bootconfig"
)

const (
	megabyte = 1 << 20

	// heapGrowthPercent is how much the heap may grow between two garbage collections (GOGC). It trades memory for CPU time.
	heapGrowthPercent = 200
	// memoryLimitPercent is the share of the machine's memory above which the garbage collector runs more often.
	memoryLimitPercent = 60
	// bodyBudgetPercent is the share of the machine's memory that request bodies may take.
	bodyBudgetPercent = 20
	percent           = 100

	reservedDescriptors  = 200 // file descriptors for files and for connections inside the machine
	maxClientConnections = 2048
)

// applyMemoryLimit configures the garbage collector for the machine.
func applyMemoryLimit(limits bootconfig.Limits) {
	debug.SetGCPercent(heapGrowthPercent)
	if limits.MemoryMb > 0 {
		debug.SetMemoryLimit(int64(limits.MemoryMb) * megabyte * memoryLimitPercent / percent)
	}
}

// clientConnectionLimit returns how many connections clients may open: half of the free file descriptors. The others are for
// connections to workers.
func clientConnectionLimit(limits bootconfig.Limits) int {
	free := limits.MaxFds - reservedDescriptors
	return min(maxClientConnections, max(free/2, 1))
}

// bodyBudget returns the limit of the bytes of all request bodies in memory.
func bodyBudget(limits bootconfig.Limits) int64 {
	return int64(limits.MemoryMb) * megabyte * bodyBudgetPercent / percent
}
