package controlplanesim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"ospreybend/internal/controlplane/server"
	"ospreybend/internal/testkit/controlplanesim/history"
	"ospreybend/internal/testkit/controlplanesim/schedule"
)

// How workers go about.
const (
	heartbeatInterval = 500 * time.Millisecond
	drainTime         = 2 * time.Second        // drainMs
	drainPatience     = 5 * time.Second        // for the acknowledgement of a drain
	drainSlack        = 300 * time.Millisecond // that it serves on beyond drainTime
	nextNode          = 20 * time.Millisecond  // before the next node is called
	services          = 6
)

// worker is an address at which one incarnation of a worker after the other runs.
type worker struct {
	world *world
	index int
	host  string

	mutex       sync.Mutex
	random      *rand.Rand
	incarnation *incarnation // nil: none runs
	number      int
	only        []*machine // that it reaches; nil: all
}

// incarnation is one life of a worker.
type incarnation struct {
	worker   *worker
	id       string
	stop     context.CancelFunc // of its heartbeats
	mutex    sync.Mutex
	state    string
	sequence int
	late     time.Duration // how late its heartbeats come
}

// start starts a new incarnation unless one runs.
func (w *worker) start(ctx context.Context) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.incarnation != nil || ctx.Err() != nil {
		return
	}
	w.number++
	ctx, cancel := context.WithCancel(ctx)
	made := &incarnation{worker: w, id: fmt.Sprintf("w%d-%d", w.index, w.number), stop: cancel, state: "ready"}
	w.incarnation = made
	w.world.running.Go(func() { made.run(ctx) })
}

// take takes the running incarnation away, nil if there is none.
func (w *worker) take() *incarnation {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	taken := w.incarnation
	w.incarnation = nil
	return taken
}

func (w *worker) draw(below time.Duration) time.Duration {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return rand64(w.random, below)
}

// pick chooses a keeper of the list, or of those that it reaches.
func (w *worker) pick() *machine {
	listed := w.world.listed()
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if len(w.only) > 0 {
		listed = w.only
	}
	return listed[w.random.IntN(len(listed))]
}

// confine has it reach some machines alone, until nil is given.
func (w *worker) confine(only []*machine) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.only = only
}

// run sends heartbeats until ctx ends.
func (i *incarnation) run(ctx context.Context) {
	for ctx.Err() == nil {
		i.sendHeartbeat(ctx)
		if !sleep(ctx, heartbeatInterval*9/10+i.worker.draw(heartbeatInterval/5)) {
			return
		}
	}
}

// sendHeartbeat sends one heartbeat to one node after the other until it is acknowledged.
func (i *incarnation) sendHeartbeat(ctx context.Context) bool {
	body, late, draining := i.next()
	for ctx.Err() == nil {
		to := i.worker.pick()
		if late > 0 {
			i.sendLate(ctx, late, to, body)
			return false
		}
		if i.call(to, server.APIHeartbeat, body) {
			i.worker.world.record.sendHeartbeat(history.Heartbeat{Instance: i.id, At: i.worker.world.record.now(), Draining: draining})
			return true
		}
		sleep(ctx, nextNode)
	}
	return false
}

// sendLate has a heartbeat come late, while later ones may come before it.
func (i *incarnation) sendLate(ctx context.Context, late time.Duration, to *machine, body []byte) {
	i.worker.world.running.Go(func() {
		if sleep(ctx, late/2+i.worker.draw(late)) {
			i.call(to, server.APIHeartbeat, body)
		}
	})
}

// next returns the body of the next heartbeat, and how late it comes.
func (i *incarnation) next() (body []byte, late time.Duration, draining bool) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.sequence++
	text := fmt.Sprintf(`{"service":"s%d","address":"%s:80","zone":"zone","generation":"v1","slots":4,"state":%q,"sequence":%d}`,
		i.worker.index%services, i.worker.host, i.state, i.sequence)
	return []byte(text), i.late, i.state != "ready"
}

// call sends a call once and tells whether it was acknowledged.
func (i *incarnation) call(to *machine, kind server.APICall, body []byte) bool {
	response := i.worker.world.call(i.worker.host, to, server.APIRequest{Call: kind, ID: i.id, Body: body})
	if isRefusal(response.Status) {
		i.worker.world.record.fault(fmt.Sprintf("%s is refused a call with %d: %s", i.id, response.Status, response.Body))
	}
	return response.Status == http.StatusOK
}

func (i *incarnation) set(state string, late time.Duration) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.state, i.late = state, late
}

// drain says that the worker is draining, serves on and deregisters.
func (i *incarnation) drain(ctx context.Context) {
	i.stop() // its usual heartbeats: those of the drain follow
	i.set("draining", 0)
	departure := i.worker.world.record.departure(i.id)
	patience, cancel := context.WithTimeout(ctx, drainPatience)
	defer cancel()
	for patience.Err() == nil && !i.sendHeartbeat(patience) {
	}
	if patience.Err() == nil {
		departure.acknowledged()
		i.worker.world.raise(schedule.Drain)
	}
	until, end := context.WithTimeout(ctx, drainTime+drainSlack)
	defer end()
	i.run(until)
	i.deregister(ctx, departure)
}

// deregister has the worker leave the list; it is resent to other nodes for some time.
func (i *incarnation) deregister(ctx context.Context, departure *departing) {
	patience, cancel := context.WithTimeout(ctx, drainPatience)
	defer cancel()
	for patience.Err() == nil {
		if i.call(i.worker.pick(), server.APIDeregister, []byte("{}")) {
			departure.acknowledged()
			i.worker.world.raise(schedule.Drain)
			return
		}
		sleep(patience, nextNode)
	}
}

// leave carries an event out that ends this incarnation.
func (i *incarnation) leave(ctx context.Context, variant schedule.Variant) {
	switch variant {
	case schedule.WorkerDrain:
		i.drain(ctx)
	case schedule.WorkerDeregister:
		i.stop()
		i.deregister(ctx, i.worker.world.record.departure(i.id))
	case schedule.WorkerDeregisterFirst:
		i.stop()
		i.sendLate(ctx, drainTime, i.worker.pick(), i.body())
		i.deregister(ctx, i.worker.world.record.departure(i.id))
		sleep(ctx, drainTime)
	default:
		i.worker.world.record.departure(i.id)
		i.stop()
	}
}

// body returns a heartbeat that was sent before the worker left and is still under way.
func (i *incarnation) body() []byte {
	body, _, _ := i.next()
	return body
}
