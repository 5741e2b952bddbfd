package selection

import (
	"hash/fnv"
	"time"

	"ospreybend/internal/dataplane/fleetview"
	"ospreybend/internal/util/estimate"
	"ospreybend/internal/util/stats"
)

// class is the part that a worker plays; the windows of each are apart.
type class int

const (
	classPlain   class = iota // answers whole requests; the service has no stages
	classPrefill              // reads prompts
	classDecode               // makes tokens, and reads prompts by itself at a slower pace
	classes
)

const (
	sampleLife  = 15 * time.Second // of a sample in a window
	usualMemory = 300000.          // tokens, where the configuration tells none
	usualSlots  = 8.               // requests at once, where nobody tells
)

// classOf reads a stage as registered.
func classOf(stage string) class {
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
	entry  *fleetview.Worker
	number uint64 // hash of its ID, the same on all nodes
	class  class
	zone   int
	near   bool                     // in the node's own zone
	delays [classes]estimate.Delays // those of a class that it no longer has are kept aside
	speed  [classes]stats.Window    // running time against the time it should take, over all sizes
	moved  stats.Window             // hand-overs from it or to it: delay against tokens weighed by distance
	calls  []*Call                  // that have not ended
	memory float64                  // tokens that its running calls hold, by this node's count
	told   told
	health health
	kept   kept
}

func newWorker(entry *fleetview.Worker) *worker {
	hash := fnv.New64a()
	hash.Write([]byte(entry.ID))
	w := &worker{entry: entry, number: hash.Sum64()}
	for i := range w.delays {
		w.delays[i].Life = sampleLife
	}
	return w
}

// own counts this node's requests that the worker has not begun to answer, and those it is answering.
func (w *worker) own() counts {
	var c counts
	for _, call := range w.calls {
		if call.begun {
			c.running++
		} else {
			c.waiting++
		}
	}
	return c
}

// besides counts this node's requests at the worker but one.
func (w *worker) besides(call *Call) counts {
	c := w.own()
	if call.begun {
		c.running--
	} else {
		c.waiting--
	}
	return c
}

// open takes in a call.
func (w *worker) open(call *Call) {
	w.calls = append(w.calls, call)
	w.memory += call.memory
}

// shut takes out a call.
func (w *worker) shut(call *Call) {
	for i, other := range w.calls {
		if other == call {
			w.calls = append(w.calls[:i], w.calls[i+1:]...)
			w.memory -= call.memory
			break
		}
	}
	if len(w.calls) == 0 {
		w.memory = 0
	}
}
