package roleplanner

import "math"

// Parts of a worker's capacity up to which it is meant to be used: beyond them waits grow quickly, since work comes in bursts
// and is spread unevenly. Writers are kept further from their limit: what fails there has been read for nothing.
const (
	readTarget   = 0.7
	slotsTarget  = 0.35
	memoryTarget = 0.4
	movesTarget  = 0.2 // they are made one after the other, and first tokens wait for them
)

// comfort is how many times the need is well more than enough.
const comfort = 1.5

// spareWorkers is the size of a service from which it keeps two workers of each stage, so that the loss of one does
// not stop it.
const spareWorkers = 4

// Need is how many workers of each stage a demand needs, if each is used up to its target.
type Need struct{ Readers, Writers float64 }

// NeedOf returns the need of a demand that is a rate.
func NeedOf(d Demand) Need {
	return Need{
		Readers: d.Read / readTarget,
		Writers: max(d.Slots/slotsTarget, d.Memory/memoryTarget, d.Moves/movesTarget),
	}
}

// total is the number of workers that are needed.
func (n Need) total() float64 { return n.Readers + n.Writers }

// share returns how many of a service's workers are to read prompts: workers are divided in proportion to the
// need, so that both stages are used alike, whether there are too few workers or more than are needed.
// It is a fraction; the caller rounds it.
func (n Need) share(workers int) float64 {
	if n.total() <= 0 {
		return math.NaN()
	}
	return float64(workers) * n.Readers / n.total()
}

// metBy tells whether so many workers of each stage are well more than are needed: another split would gain nothing.
func (n Need) metBy(readers, writers float64) bool {
	return readers >= comfort*n.Readers && writers >= comfort*n.Writers
}

// leastOfStage is how many workers of a stage a service keeps at least.
func leastOfStage(workers int) int {
	if workers >= spareWorkers {
		return 2
	}
	return 1
}

// bounded keeps the workers that each stage has at least.
func bounded(readers, workers int) int {
	least := leastOfStage(workers)
	return min(max(readers, least), workers-least)
}
