package selection

import (
	"hash/fnv"
	"time"

	"ospreybend/internal/dataplane/fleetview"
	"ospreybend/internal/util/estimate"
	"ospreybend/internal/util/stats"
)

// workerClass is the role of a worker. Predictions keep separate samples for each class.
type workerClass int

const (
	classPlain   workerClass = iota // serves complete requests; the service has no stages
	classPrefill                    // computes the KV cache of prompts
	classDecode                     // decodes, and prefills, more slowly, if no prefill worker did
	classCount
)

const (
	sampleTTL         = 15 * time.Second // of the samples in a worker's windows
	defaultKVCapacity = 300000.          // tokens, if not configured
	defaultSlots      = 8.               // concurrent requests, if neither the worker nor the configuration states them
)

// Stages that workers register with.
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

// worker is this node's state of one incarnation of a worker.
type worker struct {
	entry    *fleetview.Worker
	hash     uint64 // of the ID; all nodes compute the same
	class    workerClass
	zone     int
	sameZone bool // is in this node's zone

	delays        [classCount]estimate.Delays // by class, as a worker may return to an earlier one
	slowdown      [classCount]stats.Window    // processing time against predicted time on an unloaded worker, for all prompt sizes
	transferTimes stats.Window                // KV cache transfers from or to the worker: seconds against transferSize

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

// ownCalls counts this node's calls at the worker: those without a response yet as waiting, those whose
// response has begun as running.
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

// ownCallsExcept counts this node's calls at the worker without the given one.
func (w *worker) ownCallsExcept(call *Call) callCounts {
	counts := w.ownCalls()
	if call.started {
		counts.running--
	} else {
		counts.waiting--
	}
	return counts
}

// addCall adds a call in flight and reserves its KV cache.
func (w *worker) addCall(call *Call) {
	w.calls = append(w.calls, call)
	w.reservedTokens += call.reservedTokens
}

// removeCall removes a call in flight and releases its KV cache.
func (w *worker) removeCall(call *Call) {
	for i, other := range w.calls {
		if other == call {
			w.calls = append(w.calls[:i], w.calls[i+1:]...)
			w.reservedTokens -= call.reservedTokens
			break
		}
	}
	if len(w.calls) == 0 {
		w.reservedTokens = 0 // clears the accumulated rounding errors
	}
}
