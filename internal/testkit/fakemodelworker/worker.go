// Package fakemodelworker is a fake model worker for tests and demonstrations: it implements the workers' side of the
// protocol (heartbeats, prefill, handles, event streams) with simple timing and without a model.
package fakemodelworker

import (
	"context"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"ospreybend/internal/controlplane/configuration"
	"ospreybend/internal/dataplane/httpserver"
	"ospreybend/internal/util/http1"
)

// Header fields of the protocol that a worker reads or writes.
const (
	fieldRequestID  = "X-Request-Id"
	fieldTarget     = "X-Target-Instance"
	fieldInstance   = "X-Instance-Id"
	fieldStage      = "X-Serving-Stage"
	fieldHandle     = "Kv-From"
	fieldTokens     = "X-Token-Count"
	fieldLastEvent  = "Last-Event-Id"
	fieldSignature  = "X-Response-Signature"
	fieldLoad       = "X-Server-Load"
	fieldNotRun     = "X-Not-Executed"
	stagePrefill    = "prefill"
	stageDecode     = "decode"
	handlePath      = "/-/kv-handle/"
	defaultOutput   = 8 // tokens, if the request does not say how many
	handleDigits    = 12
	stopGrace       = 500 * time.Millisecond
	statusOK        = 200
	statusNotFound  = 404
	statusMisrouted = 421
	statusFull      = 503
)

// Options describe a worker.
type Options struct {
	ID                string
	Service           string
	Zone              string
	Stage             string   // "prefill", "decode", or empty for a plain service
	Address           string   // "ip:port" to listen on
	Slots             int      // requests at once; more are rejected
	Control           []string // control addresses of the fleet, tried in turn
	HeartbeatInterval time.Duration
	PrefillRate       float64       // prompt tokens a millisecond; 0: prefills take no time
	TokenTime         time.Duration // interval between two tokens
	PlainTime         time.Duration // how long a request of a plain service takes
	Handles           *Handles      // shared by the prefill and decode workers of a fleet
}

// Counts are the counters of a worker.
type Counts struct{ Prefills, Runs, Rejected, Misrouted, Deleted int64 }

// Worker is a running fake model worker.
type Worker struct {
	options   Options
	server    *httpserver.Server
	running   atomic.Int64
	prefills  atomic.Int64
	runs      atomic.Int64
	rejected  atomic.Int64
	misrouted atomic.Int64
	deleted   atomic.Int64
}

// Handles holds the prefill handles of a process's workers that were neither used nor deleted.
type Handles struct {
	mutex sync.Mutex
	open  map[string]bool // by "ip:port/handle"
	next  int
}

// create creates a handle of the worker at an address.
func (h *Handles) create(address string) string {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.next++
	handle := fmt.Sprintf("%0*x", handleDigits, h.next)
	if h.open == nil {
		h.open = map[string]bool{}
	}
	h.open[address+"/"+handle] = true
	return handle
}

// take removes a handle and reports whether it existed.
func (h *Handles) take(handle string) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	known := h.open[handle]
	delete(h.open, handle)
	return known
}

// Open returns how many handles are neither used nor deleted.
func (h *Handles) Open() int {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return len(h.open)
}

// Start starts a worker, which serves and sends heartbeats until the context ends.
func Start(ctx context.Context, options Options) (*Worker, error) {
	listener, err := net.Listen("tcp4", options.Address)
	if err != nil {
		return nil, err
	}
	w := &Worker{options: options}
	w.server = httpserver.New(httpserver.Options{Handler: w.serve, Limits: func() configuration.Limits { return configuration.Limits{} }})
	go func() { _ = w.server.Serve(listener) }()
	go w.register(ctx, func(error) {})
	go func() {
		<-ctx.Done()
		_ = w.server.Close()
	}()
	return w, nil
}

// Counts returns what the worker has done so far.
func (w *Worker) Counts() Counts {
	return Counts{Prefills: w.prefills.Load(), Runs: w.runs.Load(), Rejected: w.rejected.Load(),
		Misrouted: w.misrouted.Load(), Deleted: w.deleted.Load()}
}

// serve handles one request.
func (w *Worker) serve(response *httpserver.ResponseWriter, request *httpserver.Request) {
	if strings.HasPrefix(request.Path, handlePath) {
		w.deleteHandle(response, strings.TrimPrefix(request.Path, handlePath))
		return
	}
	if target := request.Header.Get(fieldTarget); target != "" && target != w.options.ID {
		w.misrouted.Add(1)
		w.reject(response, request, statusMisrouted)
		return
	}
	if w.running.Add(1) > int64(w.options.Slots) {
		w.running.Add(-1)
		w.rejected.Add(1)
		w.reject(response, request, statusFull)
		return
	}
	defer w.running.Add(-1)
	switch {
	case w.options.Stage == "":
		w.plain(response, request)
	case request.Header.Get(fieldStage) == stagePrefill:
		w.prefill(response, request)
	default:
		w.run(response, request)
	}
}

// reject responds with the field that marks the request as not executed.
func (w *Worker) reject(response *httpserver.ResponseWriter, request *httpserver.Request, status int) {
	fields := w.fields(request)
	fields = append(fields, http1.HeaderField{Name: fieldNotRun, Value: "1"})
	_ = response.WriteResponse(status, fields, nil)
}

// fields returns the header fields that every response has.
func (w *Worker) fields(request *httpserver.Request) http1.Header {
	fields := make(http1.Header, 0, 8)
	fields = append(fields, http1.HeaderField{Name: fieldRequestID, Value: request.Header.Get(fieldRequestID)})
	fields = append(fields, http1.HeaderField{Name: fieldInstance, Value: w.options.ID})
	fields = append(fields, http1.HeaderField{Name: fieldLoad, Value: fmt.Sprintf("%d,0,%d", w.running.Load(), w.options.Slots)})
	return fields
}

// plain handles a request of a service without stages.
func (w *Worker) plain(response *httpserver.ResponseWriter, request *httpserver.Request) {
	if !pause(request.Context, w.options.PlainTime) {
		return
	}
	w.runs.Add(1)
	_ = response.WriteResponse(statusOK, w.signed(request), []byte("done by "+w.options.ID+"\n"))
}

// prefill responds to a prompt with a handle.
func (w *Worker) prefill(response *httpserver.ResponseWriter, request *httpserver.Request) {
	in, _ := tokens(request)
	if !pause(request.Context, w.prefillTime(in, 1)) {
		return
	}
	w.prefills.Add(1)
	handle := w.options.Handles.create(w.options.Address)
	fields := w.fields(request)
	fields = append(fields, http1.HeaderField{Name: "Content-Type", Value: "application/json"})
	body := fmt.Sprintf(`{"prefillHandle":%q,"tokens":%d,"generation":1}`, handle, in)
	_ = response.WriteResponse(statusOK, fields, []byte(body))
}

// run streams tokens. Without a handle it first does the prefill itself, at half the rate.
func (w *Worker) run(response *httpserver.ResponseWriter, request *httpserver.Request) {
	in, out := tokens(request)
	if w.options.Stage != stageDecode {
		w.misrouted.Add(1)
		w.reject(response, request, statusMisrouted)
		return
	}
	handle := request.Header.Get(fieldHandle)
	if handle != "" && !w.options.Handles.take(handle) {
		w.rejected.Add(1)
		w.reject(response, request, statusFull)
		return
	}
	if handle == "" && !pause(request.Context, w.prefillTime(in, 2)) {
		return
	}
	w.runs.Add(1)
	fields := w.signed(request)
	fields = append(fields, http1.HeaderField{Name: "Content-Type", Value: "text/event-stream"})
	if response.WriteHeader(statusOK, fields) != nil {
		return
	}
	first, _ := strconv.Atoi(request.Header.Get(fieldLastEvent))
	for id := first + 1; id <= out; id++ {
		if !pause(request.Context, w.options.TokenTime) {
			return
		}
		if response.WriteChunk(fmt.Appendf(nil, "id: %d\ndata: token %d\n\n", id, id)) != nil {
			return
		}
	}
	_ = response.Finish(nil)
}

// signed returns the header fields of a response that has a signature.
func (w *Worker) signed(request *httpserver.Request) http1.Header {
	fields := w.fields(request)
	fields = append(fields, http1.HeaderField{Name: fieldSignature, Value: "standin." + w.options.ID})
	return fields
}

// deleteHandle handles a call to delete a handle.
func (w *Worker) deleteHandle(response *httpserver.ResponseWriter, handle string) {
	if !w.options.Handles.take(w.options.Address + "/" + handle) {
		_ = response.WriteResponse(statusNotFound, nil, nil)
		return
	}
	w.deleted.Add(1)
	_ = response.WriteResponse(statusOK, nil, nil)
}

// prefillTime returns how long the prefill of a prompt takes at the worker's rate divided by the slowdown.
func (w *Worker) prefillTime(tokens, slowdown int) time.Duration {
	if w.options.PrefillRate <= 0 {
		return 0
	}
	return time.Duration(float64(tokens*slowdown) / w.options.PrefillRate * float64(time.Millisecond))
}

// tokens returns how many tokens a request's prompt has and how many it asks for at most.
func tokens(request *httpserver.Request) (in, out int) {
	before, after, _ := strings.Cut(request.Header.Get(fieldTokens), ",")
	in, _ = strconv.Atoi(strings.TrimSpace(before))
	out, _ = strconv.Atoi(strings.TrimSpace(after))
	if out <= 0 {
		out = defaultOutput
	}
	return in, out
}

// pause waits for the given duration. It returns false if the context ends before.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
