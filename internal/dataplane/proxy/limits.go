package proxy

import (
	"runtime/debug"

	"ospreybend/internal/util/bootconfig"
)

const (
	mebibyte = 1 << 20

	// heapGrowthPercent is how much the heap may grow between two garbage collections (GOGC). A value above the default of 100 uses
	// more memory to save CPU time.
	heapGrowthPercent = 200
	// memoryLimitPercent is the share of the machine's memory above which the garbage collector runs more often (GOMEMLIMIT).
	memoryLimitPercent = 60
	// bufferedBodyPercent is the share of the machine's memory that buffered request bodies may take.
	bufferedBodyPercent = 20
	percent             = 100

	reservedDescriptors  = 200 // file descriptors kept for files and for connections within the machine
	maxClientConnections = 2048
)

// configureGarbageCollector sets the heap growth, and the memory limit if the settings contain the machine's memory.
func configureGarbageCollector(limits bootconfig.Limits) {
	debug.SetGCPercent(heapGrowthPercent)
	if limits.MemoryMb > 0 {
		debug.SetMemoryLimit(int64(limits.MemoryMb) * mebibyte * memoryLimitPercent / percent)
	}
}

// clientConnectionLimit returns how many connections clients may open: half of the available file descriptors, at most
// maxClientConnections. The other half is for connections to workers.
func clientConnectionLimit(limits bootconfig.Limits) int {
	available := limits.MaxFds - reservedDescriptors
	return min(maxClientConnections, max(available/2, 1))
}

// bufferedBodyLimit returns how many bytes of request bodies may be in memory at a time.
func bufferedBodyLimit(limits bootconfig.Limits) int64 {
	return int64(limits.MemoryMb) * mebibyte * bufferedBodyPercent / percent
}
