package selection

import (
	"hash/fnv"
	"time"

	"ospreybend/internal/dataplane/fleetview"
	"ospreybend/internal/util/estimate"
	"ospreybend/internal/util/stats"
)

// workerClass is the role of a worker as the predictions see it. Samples are kept apart by class.
type workerClass int

const (
	classPlain   workerClass = iota // serves complete requests; the service has no stages
	classPrefill                    // computes the KV cache of prompts
	classDecode                     // decodes, and prefills at a slower pace where no prefill worker did
	classCount
)

const (
	sampleTTL         = 15 * time.Second // of the samples in windows
	defaultKVCapacity = 300000.          // tokens, where none are configured
	defaultSlots      = 8.               // requests at once, where neither worker nor configuration says
)

// Stages of workers as they register them.
const (
	stagePrefill = "prefill"
	stageDecode  = "decode"
)

// classOf returns the class of a registered stage.
func classOf(stage string) workerClass {
	switch stage {
	case stagePrefill:
		return classPrefill
	case stageDecode:
		return classDecode
	}
	return classPlain
}

// worker is what this node knows of one incarnation of a worker.
type worker struct {
	entry    *fleetview.Worker
	hash     uint64 // of the ID, the same on all nodes
	class    workerClass
	zone     int
	sameZone bool // in the node's own zone

	delays        [classCount]estimate.Delays // by class, as a worker may return to an earlier one
	slowdown      [classCount]stats.Window    // processing time against unloaded time, over all sizes
	transferTimes stats.Window                // KV cache transfers from it or to it: seconds against tokens weighed by distance

	calls          []*Call // in flight
	reservedTokens float64 // KV cache of the calls in flight
	report         loadReport
	health         health
	cache          prefixCache
}

// newWorker returns a worker without samples.
func newWorker(entry *fleetview.Worker) *worker {
	hash := fnv.New64a()
	hash.Write([]byte(entry.ID))
	w := &worker{entry: entry, hash: hash.Sum64()}
	for i := range w.delays {
		w.delays[i].SampleTTL = sampleTTL
	}
	return w
}

// ownCalls counts this node's calls without a response yet, and those whose response has begun.
func (w *worker) ownCalls() callCounts {
	var counts callCounts
	for _, call := range w.calls {
		if call.started {
			counts.running++
		} else {
			counts.waiting++
		}
	}
	return counts
}

// ownCallsExcept counts this node's calls at the worker other than one.
func (w *worker) ownCallsExcept(call *Call) callCounts {
	counts := w.ownCalls()
	if call.started {
		counts.running--
	} else {
		counts.waiting--
	}
	return counts
}

// addCall adds a call in flight.
func (w *worker) addCall(call *Call) {
	w.calls = append(w.calls, call)
	w.reservedTokens += call.reservedTokens
}

// removeCall removes a call in flight.
func (w *worker) removeCall(call *Call) {
	for i, other := range w.calls {
		if other == call {
			w.calls = append(w.calls[:i], w.calls[i+1:]...)
			w.reservedTokens -= call.reservedTokens
			break
		}
	}
	if len(w.calls) == 0 {
		w.reservedTokens = 0 // without the rounding errors of the sum
	}
}
