package proxy

import (
	"runtime/debug"

	"ospreybend/internal/util/bootconfig"
)

const (
	megabyte = 1 << 20

	// heapGrowth is how much the heap may grow between two collections, in percent. It takes memory to
	// save processor time.
	heapGrowth = 200
	// memoryShare is the part of the machine's memory from which on the collector works harder, in percent.
	memoryShare = 60
	// bodyShare is the part of the machine's memory that bodies of requests may take, in percent.
	bodyShare = 20
	percent   = 100

	reservedDescriptors = 200  // for files outside the data directory
	mostClients         = 2048 // connections of clients
)

// applyMemoryLimit sets the garbage collector up for the machine.
func applyMemoryLimit(limits bootconfig.Limits) {
	debug.SetGCPercent(heapGrowth)
	if limits.MemoryMb > 0 {
		debug.SetMemoryLimit(int64(limits.MemoryMb) * megabyte * memoryShare / percent)
	}
}

// clientConnections is how many of the descriptors clients may take; the rest is for workers.
func clientConnections(limits bootconfig.Limits) int {
	free := limits.MaxFds - reservedDescriptors
	return min(mostClients, max(free/2, 1))
}

// bodyBudget is how many bytes the bodies of requests may take together.
func bodyBudget(limits bootconfig.Limits) int64 {
	return int64(limits.MemoryMb) * megabyte * bodyShare / percent
}
