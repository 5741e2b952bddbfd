// Package fakeplatform fakes the services around a node on loopback, with the platform's published protocol: prep workers
// and discovery. Scripts make a worker slow, silent or failing, or cut its response between two bytes; a worker can also
// crash and be started again. The package is for tests, demonstrations and measurements; no deployed node uses it.
package fakeplatform

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"
)

// Job is a request as a worker receives it.
type Job struct {
	ID       string // Req-Id
	Class    string
	Path     string
	Body     []byte
	Deadline time.Duration // 0: none
}

// Kind is what a worker does with a job.
type Kind uint8

// What a worker does with a job.
const (
	Serve    Kind = iota // starts it, runs it and reports the result
	Fail                 // starts it, runs it and reports a failure
	GiveBack             // returns it without starting it
	Reject               // responds with status 400
	Silent               // accepts it and sends nothing
	Hang                 // reports the start and nothing more
	Cut                  // resets the connection after Act.Bytes bytes of the result
)

// Act is what a worker does with one job.
type Act struct {
	Kind  Kind
	Run   time.Duration
	Until <-chan struct{} // nil: the job runs for Run; otherwise until the channel is closed
	Slots float64         // that the job occupies; below 1: one
	Bytes int             // of the result that Cut sends, after the report of the start
}

// wait waits for the end of the job's run. It returns false if the node cancels the job before.
func (a Act) wait(ctx context.Context) bool {
	end := a.Until
	if end == nil {
		timer := make(chan struct{})
		defer time.AfterFunc(a.Run, func() { close(timer) }).Stop()
		end = timer
	}
	select {
	case <-ctx.Done():
		return false
	case <-end:
		return true
	}
}

// Script decides what a worker does with a job. Workers that share a script call it concurrently.
type Script func(Job) Act

// FixedRunTime returns a script that serves every job and runs it for the given time.
func FixedRunTime(run time.Duration) Script { return func(Job) Act { return Act{Run: run} } }

// Worker is a fake prep worker with a number of slots and a FIFO queue.
type Worker struct {
	Name  string
	Slots int

	mu        sync.Mutex
	script    Script
	server    *http.Server
	address   string
	freeSlots *semaphore.Weighted // acquired in the order of arrival
	waiting   int                 // jobs in the queue
	used      float64             // slots of running jobs
	starts    map[string]int      // starts by Req-Id without the attempt number
	received  int
	served    int
	busy      time.Duration // run time multiplied by slots
}

// NewWorker creates a worker that does not listen before Start.
func NewWorker(name string, slots int, script Script) *Worker {
	return &Worker{Name: name, Slots: slots, script: script, freeSlots: semaphore.NewWeighted(int64(slots)), starts: map[string]int{}}
}

// Start makes the worker listen, at the address of its previous start if there was one.
func (w *Worker) Start() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	address := w.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	w.address = l.Addr().String()
	w.server = &http.Server{Handler: http.HandlerFunc(w.serve)}
	go func(s *http.Server) { _ = s.Serve(l) }(w.server)
	return nil
}

// Address returns the address of the last start; empty: none yet.
func (w *Worker) Address() string { w.mu.Lock(); defer w.mu.Unlock(); return w.address }

// Crash stops the worker as a crash of its process would: its connections break, and its running jobs are lost. Start restarts it.
func (w *Worker) Crash() {
	w.mu.Lock()
	s := w.server
	w.server = nil
	w.mu.Unlock()
	if s != nil {
		_ = s.Close()
	}
}

// SetScript replaces the worker's script.
func (w *Worker) SetScript(s Script) { w.mu.Lock(); w.script = s; w.mu.Unlock() }

// StartCounts returns how often each job was started. The attempts of a job of the batch API count as one job.
func (w *Worker) StartCounts() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return maps.Clone(w.starts)
}

// Totals returns how many jobs arrived, how many were served, and the sum of run time multiplied by slots.
func (w *Worker) Totals() (received, served int, busy time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.received, w.served, w.busy
}

// BaseID returns a Req-Id of the batch API without the attempt number.
func BaseID(id string) string {
	if i := strings.LastIndexByte(id, '-'); i > 0 {
		return id[:i]
	}
	return id
}

// loadReport is the load that a worker reports in its responses.
type loadReport struct {
	Queue     int     `json:"queue"`
	FreeSlots float64 `json:"x0"`
}

// load returns the current load.
func (w *Worker) load() loadReport {
	w.mu.Lock()
	defer w.mu.Unlock()
	return loadReport{Queue: w.waiting, FreeSlots: float64(w.Slots) - w.used}
}

// serve responds to a GET with the load and runs the job of any other request.
func (w *Worker) serve(out http.ResponseWriter, in *http.Request) {
	if in.Method == http.MethodGet {
		_ = json.NewEncoder(out).Encode(w.load())
		return
	}
	body, err := io.ReadAll(in.Body)
	job := Job{ID: in.Header.Get("Req-Id"), Path: in.URL.Path, Body: body}
	if err != nil || job.ID == "" {
		http.Error(out, "the request has no Req-Id or its body cannot be read", http.StatusBadRequest)
		return
	}
	if seconds, err := strconv.ParseFloat(in.Header.Get("Req-Deadline"), 64); err == nil {
		job.Deadline = time.Duration(seconds * float64(time.Second))
	}
	job.Class, _, _ = strings.Cut(strings.TrimPrefix(job.Path, "/"), "/")
	w.mu.Lock()
	w.received++
	act := w.script(job)
	w.mu.Unlock()
	w.run(out, in, job, act)
}

// run does with the job what the script decided.
func (w *Worker) run(out http.ResponseWriter, in *http.Request, job Job, act Act) {
	send := func(line map[string]any) {
		line["id"], line["from"] = job.ID, w.Name
		_ = json.NewEncoder(out).Encode(line)
		out.(http.Flusher).Flush()
	}
	ctx := in.Context()
	switch act.Kind {
	case Reject:
		http.Error(out, "the script rejects this job", http.StatusBadRequest)
		return
	case GiveBack:
		send(map[string]any{"state": "returned", "load": w.load()})
		return
	case Silent:
		<-ctx.Done()
		return
	}
	slots := max(act.Slots, 1)
	if !w.acquireSlots(ctx, slots) {
		return // the node canceled the job while it was queued
	}
	defer w.releaseSlots(slots, time.Now())
	w.mu.Lock()
	w.starts[BaseID(job.ID)]++
	w.mu.Unlock()
	send(map[string]any{"state": "started"})
	if act.Kind == Hang {
		<-ctx.Done()
		return
	}
	if !act.wait(ctx) {
		return
	}
	switch act.Kind {
	case Cut:
		w.cut(out, act.Bytes)
	case Fail:
		send(map[string]any{"state": "failed", "load": w.load()})
	default:
		send(map[string]any{"state": "done", "load": w.load(), "result": fmt.Sprintf("%s did %s with %d bytes\n", w.Name, job.Path, len(job.Body))})
		w.mu.Lock()
		w.served++
		w.mu.Unlock()
	}
}

// acquireSlots waits in the queue for the slots. It returns false if the context ends before.
func (w *Worker) acquireSlots(ctx context.Context, slots float64) bool {
	w.mu.Lock()
	w.waiting++
	w.mu.Unlock()
	err := w.freeSlots.Acquire(ctx, int64(slots+0.999))
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waiting--
	if err != nil {
		return false
	}
	w.used += slots
	return true
}

// releaseSlots releases the slots of a job that has occupied them since the given time.
func (w *Worker) releaseSlots(slots float64, since time.Time) {
	w.freeSlots.Release(int64(slots + 0.999))
	w.mu.Lock()
	w.used -= slots
	w.busy += time.Duration(slots * float64(time.Since(since)))
	w.mu.Unlock()
}

// cut sends the given number of bytes of a chunk with the result, and resets the connection.
func (w *Worker) cut(out http.ResponseWriter, bytes int) {
	conn, _, err := out.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	line := `{"state":"done","result":"cut"}` + "\n"
	chunk := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(line), line)
	_, _ = io.WriteString(conn, chunk[:min(max(bytes, 0), len(chunk))])
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
