package selection

import (
	"hash/fnv"
	"time"

	"ospreybend/internal/dataplane/fleetview"
	"ospreybend/internal/util/estimate"
	"ospreybend/internal/util/stats"
)

// workerClass is the part that a worker plays; the windows of each are apart.
type workerClass int

const (
	classPlain   workerClass = iota // answers whole requests; the service has no stages
	classPrefill                    // reads prompts
	classDecode                     // makes tokens, and reads prompts by itself at a slower pace
	classCount
)

const (
	sampleTTL         = 15 * time.Second // of a sample in a window
	defaultKVCapacity = 300000.          // tokens, where the configuration tells none
	defaultSlots      = 8.               // requests at once, where nobody tells
)

// classOf reads a stage as registered.
func classOf(stage string) workerClass {
	switch stage {
	case "prefill":
		return classPrefill
	case "decode":
		return classDecode
	}
	return classPlain
}

// worker is what this node knows of one incarnation of a worker.
type worker struct {
	entry          *fleetview.Worker
	hash           uint64 // hash of its ID, the same on all nodes
	class          workerClass
	zone           int
	sameZone       bool                        // in the node's own zone
	delays         [classCount]estimate.Delays // those of a class that it no longer has are kept aside
	slowdown       [classCount]stats.Window    // running time against the time it should take, over all sizes
	transferTimes  stats.Window                // hand-overs from it or to it: delay against tokens weighed by distance
	calls          []*Call                     // that have not ended
	reservedTokens float64                     // tokens that its running calls hold, by this node's count
	report         loadReport
	health         health
	cache          prefixCache
}

func newWorker(entry *fleetview.Worker) *worker {
	hash := fnv.New64a()
	hash.Write([]byte(entry.ID))
	w := &worker{entry: entry, hash: hash.Sum64()}
	for i := range w.delays {
		w.delays[i].SampleTTL = sampleTTL
	}
	return w
}

// ownCalls counts this node's requests that the worker has not begun to answer, and those it is answering.
func (w *worker) ownCalls() callCounts {
	var c callCounts
	for _, call := range w.calls {
		if call.started {
			c.running++
		} else {
			c.waiting++
		}
	}
	return c
}

// ownCallsExcept counts this node's requests at the worker but one.
func (w *worker) ownCallsExcept(call *Call) callCounts {
	c := w.ownCalls()
	if call.started {
		c.running--
	} else {
		c.waiting--
	}
	return c
}

// addCall takes in a call.
func (w *worker) addCall(call *Call) {
	w.calls = append(w.calls, call)
	w.reservedTokens += call.reservedTokens
}

// removeCall takes out a call.
func (w *worker) removeCall(call *Call) {
	for i, other := range w.calls {
		if other == call {
			w.calls = append(w.calls[:i], w.calls[i+1:]...)
			w.reservedTokens -= call.reservedTokens
			break
		}
	}
	if len(w.calls) == 0 {
		w.reservedTokens = 0
	}
}
