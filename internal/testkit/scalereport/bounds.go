package scalereport

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// Bounds holds the maximum resources that a run may use.
type Bounds struct {
	Memory      int64 // bytes; half of the machine's memory
	Descriptors int   // file descriptors of this process
	Processes   int
}

// Need holds the estimated resources that a fleet uses.
type Need struct {
	Memory      int64
	Descriptors int
	Processes   int
}

const (
	maxProcesses         = 200
	descriptorsPerNode   = 3 // feed connection, monitoring socket, one spare
	descriptorsPerWorker = 2
	spareDescriptors     = 200
	memoryBase           = 64 << 20 // bytes of this process without hollow nodes and workers
	memoryPerHollow      = 192 << 10
	memoryPerProcess     = 40 << 20
	memoryPerRoute       = 16 << 10 // bytes in each server, agent and proxy process
)

// EstimateNeed estimates the resources of a fleet.
func EstimateNeed(size Size, servers, edges, routes int) Need {
	processes := servers + 2*edges
	return Need{
		Memory: memoryBase + int64(size.Nodes+size.Workers)*memoryPerHollow +
			int64(processes)*(memoryPerProcess+int64(routes)*memoryPerRoute),
		Descriptors: spareDescriptors + size.Nodes*descriptorsPerNode + size.Workers*descriptorsPerWorker,
		Processes:   processes,
	}
}

// Check returns an error that names the first exceeded bound, or nil.
func (b Bounds) Check(need Need) error {
	switch {
	case need.Memory > b.Memory:
		return fmt.Errorf("needs about %d MB, half of the machine is %d MB", need.Memory>>20, b.Memory>>20)
	case need.Descriptors > b.Descriptors:
		return fmt.Errorf("needs %d descriptors, the limit is %d", need.Descriptors, b.Descriptors)
	case need.Processes > b.Processes:
		return fmt.Errorf("needs %d processes, at most %d are started", need.Processes, b.Processes)
	}
	return nil
}

// NewBounds returns the bounds for a machine with the given memory in bytes and limit of file descriptors.
func NewBounds(memory int64, descriptors int) Bounds {
	return Bounds{Memory: memory / 2, Descriptors: descriptors, Processes: maxProcesses}
}

// ErrSizes is returned by ParseSizes for an invalid list.
var ErrSizes = errors.New(`scale: sizes are NODESxWORKERS joined by commas, such as "30x60,100x200"`)

// ParseSizes parses a comma-separated list of sizes, such as "30x60,100x200".
func ParseSizes(text string) ([]Size, error) {
	var sizes []Size
	for part := range strings.SplitSeq(text, ",") {
		before, after, found := strings.Cut(strings.TrimSpace(part), "x")
		nodes, errNodes := strconv.Atoi(before)
		workers, errWorkers := strconv.Atoi(after)
		if !found || errNodes != nil || errWorkers != nil || nodes < 1 || workers < 0 {
			return nil, ErrSizes
		}
		sizes = append(sizes, Size{Nodes: nodes, Workers: workers})
	}
	return sizes, nil
}
