package scalereport

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// Bounds are what a run may use of the machine.
type Bounds struct {
	Memory      int64 // bytes, half of the machine's
	Descriptors int   // of this process
	Processes   int
}

// Need is what a fleet uses of the machine.
type Need struct {
	Memory      int64
	Descriptors int
	Processes   int
}

const (
	processesMost        = 200
	descriptorsPerNode   = 3 // the feed's connection, the monitoring socket, a margin
	descriptorsPerWorker = 2
	descriptorsSpare     = 200
	memoryBase           = 64 << 20 // bytes of this process without any of the fleet
	memoryPerHollow      = 192 << 10
	memoryPerProcess     = 40 << 20
	memoryPerRoute       = 16 << 10 // in all servers and real edges, a process each
)

// NeedOf estimates what a fleet uses.
func NeedOf(size Size, servers, edges, routes int) Need {
	processes := servers + 2*edges
	return Need{
		Memory: memoryBase + int64(size.Nodes+size.Workers)*memoryPerHollow +
			int64(processes)*(memoryPerProcess+int64(routes)*memoryPerRoute),
		Descriptors: descriptorsSpare + size.Nodes*descriptorsPerNode + size.Workers*descriptorsPerWorker,
		Processes:   processes,
	}
}

// Check returns an error that names the bound that a need exceeds, or nil.
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

// BoundsOf returns the bounds on a machine with so much memory and a limit of descriptors.
func BoundsOf(memory int64, descriptors int) Bounds {
	return Bounds{Memory: memory / 2, Descriptors: descriptors, Processes: processesMost}
}

// ErrSizes is returned for an invalid list of sizes.
var ErrSizes = errors.New(`scale: sizes are NODESxWORKERS joined by commas, such as "30x60,100x200"`)

// ParseSizes reads a list of sizes.
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
