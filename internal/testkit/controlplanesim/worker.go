package controlplanesim

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"ospreybend/internal/controlplane/server"
	"ospreybend/internal/testkit/controlplanesim/history"
	"ospreybend/internal/testkit/controlplanesim/schedule"
	"ospreybend/internal/testkit/controlplanesim/simnet"
)

// Behaviour of workers.
const (
	heartbeatInterval = 500 * time.Millisecond
	drainTime         = 2 * time.Second        // matches the drainMs guarantee
	drainTimeout      = 5 * time.Second        // for the acknowledgement of a drain or of a deregistration
	serveAfterDrain   = 300 * time.Millisecond // for which a worker continues to serve after drainTime
	retryInterval     = 20 * time.Millisecond  // before the next server is called
	serviceCount      = 6
)

// worker is an address at which incarnations of a worker run one after the other.
type worker struct {
	caller
	index int

	// Guarded by the caller's mutex.
	incarnation *incarnation // nil: none is running
	starts      int
}

// incarnation is one run of a worker, from its start to its end.
type incarnation struct {
	worker   *worker
	id       string
	stop     context.CancelFunc // of its heartbeats
	mutex    sync.Mutex
	status   string // ready or draining
	sequence int
	delay    time.Duration // by which heartbeats are delayed
	process  *simnet.Process
	state    roleState
}

// start starts a new incarnation unless one is running.
func (w *worker) start(ctx context.Context) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.incarnation != nil || ctx.Err() != nil {
		return
	}
	w.starts++
	ctx, cancel := context.WithCancel(ctx)
	made := &incarnation{worker: w, id: fmt.Sprintf("w%d-%d", w.index, w.starts), stop: cancel, status: "ready",
		process: w.simulation.network.NewProcess(w.host), state: roleState{role: initialRole}}
	w.incarnation = made
	w.simulation.addWorkerProcess(made.process)
	if w.simulation.schedule.RoleCommands {
		w.simulation.goroutines.Go(func() { made.listen(ctx) })
	}
	w.simulation.goroutines.Go(func() { made.run(ctx) })
}

func (sim *simulation) addWorkerProcess(process *simnet.Process) {
	sim.mutex.Lock()
	defer sim.mutex.Unlock()
	sim.workerProcesses = append(sim.workerProcesses, process)
}

// instance returns the ID of the running incarnation; empty if none is running.
func (w *worker) instance() string {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.incarnation == nil {
		return ""
	}
	return w.incarnation.id
}

// freeze freezes the worker's process until thaw is called. A frozen worker sends no heartbeats either.
func (w *worker) freeze() (thaw func()) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.incarnation == nil {
		return func() {}
	}
	process := w.incarnation.process
	process.Freeze()
	return process.Thaw
}

// detachIncarnation detaches the running incarnation and returns it; nil if none is running.
func (w *worker) detachIncarnation() *incarnation {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	detached := w.incarnation
	w.incarnation = nil
	return detached
}

// run sends heartbeats until ctx ends.
func (i *incarnation) run(ctx context.Context) {
	for ctx.Err() == nil && i.process.AwaitRunning() {
		i.sendHeartbeat(ctx)
		if !simnet.Sleep(ctx, heartbeatInterval*9/10+i.worker.randomDuration(heartbeatInterval/5)) {
			return
		}
	}
}

// sendHeartbeat sends one heartbeat to randomly chosen servers until one acknowledges it. It does not wait for a delayed one.
func (i *incarnation) sendHeartbeat(ctx context.Context) bool {
	body, delay, draining := i.nextHeartbeat()
	for ctx.Err() == nil {
		to := i.worker.pickServer()
		if delay > 0 {
			i.sendDelayed(ctx, delay, to, body)
			return false
		}
		called := i.worker.simulation.recorder.now()
		if i.call(to, server.APIHeartbeat, body) {
			i.worker.simulation.recorder.addHeartbeat(history.Heartbeat{
				Instance: i.id, Call: called, At: i.worker.simulation.recorder.now(), Machine: to.ip, Draining: draining,
			})
			return true
		}
		simnet.Sleep(ctx, retryInterval)
	}
	return false
}

// sendDelayed sends a heartbeat after a delay; later heartbeats may arrive before it.
func (i *incarnation) sendDelayed(ctx context.Context, delay time.Duration, to *machine, body []byte) {
	i.worker.simulation.goroutines.Go(func() {
		if simnet.Sleep(ctx, delay/2+i.worker.randomDuration(delay)) {
			i.call(to, server.APIHeartbeat, body)
		}
	})
}

// nextHeartbeat returns the body of the next heartbeat, its delay, and whether it reports that the worker is draining.
func (i *incarnation) nextHeartbeat() (body []byte, delay time.Duration, draining bool) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.sequence++
	role := ""
	if i.worker.simulation.schedule.RoleCommands {
		role = fmt.Sprintf(`"stage":%q,`, i.state.role)
	}
	text := fmt.Sprintf(`{"service":"s%d","address":"%s:%d","zone":"zone","generation":"v1","slots":4,%s"state":%q,"sequence":%d}`,
		i.worker.index%serviceCount, i.worker.host, workerPort, role, i.status, i.sequence)
	return []byte(text), i.delay, i.status != "ready"
}

// call sends a request once and reports whether it was acknowledged.
func (i *incarnation) call(to *machine, kind server.APICall, body []byte) bool {
	response := i.worker.simulation.call(i.worker.host, to, server.APIRequest{Call: kind, ID: i.id, Body: body})
	if isRejection(response.Status) {
		i.worker.simulation.recorder.addFailure(fmt.Sprintf("a call of worker instance %s was rejected with status %d: %s", i.id, response.Status, response.Body))
	}
	return response.Status == http.StatusOK
}

func (i *incarnation) setState(state string, delay time.Duration) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.status, i.delay = state, delay
}

// drain reports that the worker is draining, continues to serve for a while, and deregisters.
func (i *incarnation) drain(ctx context.Context) {
	i.stop() // ends the regular heartbeats; those with the draining state follow
	i.setState("draining", 0)
	departure := i.worker.simulation.recorder.beginDeparture(i.id)
	limited, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	for limited.Err() == nil && !i.sendHeartbeat(limited) {
	}
	if limited.Err() == nil {
		departure.acknowledged()
		i.worker.simulation.trigger(schedule.Drain)
	}
	until, end := context.WithTimeout(ctx, drainTime+serveAfterDrain)
	defer end()
	i.run(until)
	i.deregister(ctx, departure)
}

// deregister deregisters the worker, with retries at other servers until drainTimeout.
func (i *incarnation) deregister(ctx context.Context, departure *pendingDeparture) {
	limited, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	for limited.Err() == nil {
		if i.call(i.worker.pickServer(), server.APIDeregister, []byte("{}")) {
			departure.acknowledged()
			i.worker.simulation.trigger(schedule.Drain)
			return
		}
		simnet.Sleep(limited, retryInterval)
	}
}

// depart executes an event that ends this incarnation.
func (i *incarnation) depart(ctx context.Context, variant schedule.Variant) {
	defer i.process.Kill()
	switch variant {
	case schedule.WorkerDrain:
		i.drain(ctx)
	case schedule.WorkerDeregister:
		i.stop()
		i.deregister(ctx, i.worker.simulation.recorder.beginDeparture(i.id))
	case schedule.WorkerDeregisterFirst:
		i.stop()
		i.sendDelayed(ctx, drainTime, i.worker.pickServer(), i.delayedHeartbeat())
		i.deregister(ctx, i.worker.simulation.recorder.beginDeparture(i.id))
		simnet.Sleep(ctx, drainTime)
	default:
		i.worker.simulation.recorder.beginDeparture(i.id)
		i.stop()
	}
}

// delayedHeartbeat returns the body of a heartbeat that counts as sent before the departure and arrives after it.
func (i *incarnation) delayedHeartbeat() []byte {
	body, _, _ := i.nextHeartbeat()
	return body
}
