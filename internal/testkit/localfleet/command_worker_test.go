package localfleet_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"ospreybend/internal/testkit/controlplanesim/history"
	"ospreybend/internal/testkit/fakemodelworker"
)

// commandWorker is a fake worker that takes role commands and records each that it reads. Its process can be paused, and the link
// to it cut, as the kernel sees both: what has arrived stays in its sockets, and what has not stays in those of the sender.
type commandWorker struct {
	id       string
	listener *net.TCPListener
	started  time.Time

	mutex       sync.Mutex
	running     *sync.Cond // signals the end of a pause
	paused      bool
	pauseNext   bool       // pause after the next report
	refusals    *rand.Rand // decides which commands are answered 503; nil: none
	connections []*net.TCPConn
	stage       string
	sequence    int
	commands    []history.RoleCommand
}

// startCommandWorker starts a worker that registers as a prefill worker.
func (r *fleetTest) startCommandWorker(i int, started time.Time) *commandWorker {
	r.Helper()
	config := net.ListenConfig{}
	config.SetMultipathTCP(false) // its sockets take no filters
	listener, err := config.Listen(r.ctx, "tcp4", r.fleet.WorkerAddress(i))
	if err != nil {
		r.Fatal(err)
	}
	w := &commandWorker{id: fmt.Sprintf("worker-%d", i), listener: listener.(*net.TCPListener), started: started, stage: "prefill"}
	w.running = sync.NewCond(&w.mutex)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/report", w.report)
	mux.HandleFunc("POST /-/order", w.command)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: testTimeout}
	go func() { _ = server.Serve(pausableListener{w}) }()
	r.Cleanup(func() {
		w.resume()
		_ = server.Close()
	})
	options := fakemodelworker.Options{ID: w.id, Zone: "zone-1", Service: "model", Stage: w.stage, Address: r.fleet.WorkerAddress(i),
		Slots: 8, Control: r.fleet.ControlAddresses(), HeartbeatInterval: 300 * time.Millisecond}
	heartbeats, stop := context.WithCancel(r.ctx)
	r.Cleanup(stop)
	go fakemodelworker.Register(heartbeats, options, func(error) {})
	return w
}

// report answers with the worker's role and the number of commands that it has taken.
func (w *commandWorker) report(response http.ResponseWriter, _ *http.Request) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	_ = json.NewEncoder(response).Encode(map[string]any{"stage": w.stage, "utilization": false, "sequence": w.sequence})
	w.paused = w.paused || w.pauseNext
	w.pauseNext = false
}

// command takes a role command, unless it expects another sequence.
func (w *commandWorker) command(response http.ResponseWriter, request *http.Request) {
	var body struct {
		Stage      string `json:"stage"`
		Holder     string `json:"holder"`
		FenceToken uint64 `json:"fenceToken"`
		IfRevision *int   `json:"ifRevision"`
	}
	_ = json.NewDecoder(request.Body).Decode(&body)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	status := http.StatusAccepted
	switch {
	case body.IfRevision != nil && *body.IfRevision != w.sequence:
		status = http.StatusConflict
	case w.refusals != nil && w.refusals.IntN(takenShare) > 0:
		status = http.StatusServiceUnavailable
	case body.Stage == w.stage:
		status = http.StatusOK
	default:
		w.stage = body.Stage
		w.sequence++
	}
	w.commands = append(w.commands, history.RoleCommand{At: time.Since(w.started), Worker: w.id, Holder: body.Holder, Token: body.FenceToken, Status: status})
	response.WriteHeader(status)
}

// takenShare is the share of commands that a worker takes that refuses some: one in this many.
const takenShare = 4

// refuse makes the worker answer most commands 503, so that they are repeated.
func (w *commandWorker) refuse(seed uint64) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.refusals = rand.New(rand.NewPCG(seed, 1))
}

// received returns the commands that the worker has read.
func (w *commandWorker) received() []history.RoleCommand {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return slices.Clone(w.commands)
}

// holdsCommand reports whether the cut link holds a command back.
func (w *commandWorker) holdsCommand() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return slices.ContainsFunc(w.connections, func(c *net.TCPConn) bool { return droppedSegments(c) > 0 })
}

// cutCommands makes the link of all later connections lose commands.
func (w *commandWorker) cutCommands(t *testing.T) { attachFilter(t, w.listener, dropCommands) }

// openNewConnections heals the link for later connections; those that were accepted before stay cut.
func (w *commandWorker) openNewConnections() { detachFilter(w.listener) }

// heal heals the link of all connections.
func (w *commandWorker) heal() {
	w.openNewConnections()
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for _, connection := range w.connections {
		detachFilter(connection)
	}
}

// pause stops the worker from accepting connections and from reading, until resume.
func (w *commandWorker) pause() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.paused = true
}

// pauseAfterReport pauses the worker as soon as it has answered its next report.
func (w *commandWorker) pauseAfterReport() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.pauseNext = true
}

func (w *commandWorker) resume() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.paused, w.pauseNext = false, false
	w.running.Broadcast()
}

// awaitRunning blocks while the worker is paused.
func (w *commandWorker) awaitRunning() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for w.paused {
		w.running.Wait()
	}
}

// pausableListener accepts no connection while its worker is paused. The bytes of a paused connection stay in the kernel.
type pausableListener struct{ *commandWorker }

func (l pausableListener) Accept() (net.Conn, error) {
	accepted, err := l.listener.AcceptTCP()
	if err != nil {
		return nil, err
	}
	l.awaitRunning()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.connections = append(l.connections, accepted)
	return pausableConn{accepted, l.commandWorker}, nil
}

func (l pausableListener) Close() error   { return l.listener.Close() }
func (l pausableListener) Addr() net.Addr { return l.listener.Addr() }

// pausableConn delivers nothing while its worker is paused.
type pausableConn struct {
	*net.TCPConn
	worker *commandWorker
}

func (c pausableConn) Read(buffer []byte) (int, error) {
	c.worker.awaitRunning()
	count, err := c.TCPConn.Read(buffer)
	c.worker.awaitRunning()
	return count, err
}
