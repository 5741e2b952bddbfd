package store

import (
	"context"
	"log/slog"
	"time"

	"ospreybend/internal/node/batch/jobs"
)

const (
	maxQueuedCalls = 1024 // maximum queued calls
	callTimeout    = 10 * time.Second
)

// storeCall is one queued call of the store. then is called on the loop with the error of do.
type storeCall struct {
	do   func(context.Context, jobs.Store) error
	then func(error)
}

// Executor runs calls of the store in its own goroutine, one at a time. It implements
// jobs.StoreExecutor. Shutdown and Wait end the goroutine.
type Executor struct {
	store    jobs.Store
	post     func(func())
	calls    chan storeCall
	done     chan struct{}
	shutDown bool // accept no further calls; belongs to the loop
}

// NewExecutor starts an executor. post schedules a function on the loop.
func NewExecutor(store jobs.Store, post func(func())) *Executor {
	e := &Executor{store: store, post: post, calls: make(chan storeCall, maxQueuedCalls), done: make(chan struct{})}
	go e.run()
	return e
}

// run runs the queued calls until Shutdown.
func (e *Executor) run() {
	defer close(e.done)
	for call := range e.calls {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		err := call.do(ctx, e.store)
		cancel()
		if err != nil {
			slog.Error("store of record", "error", err)
		}
		e.post(func() { call.then(err) })
	}
}

// Call implements jobs.StoreExecutor. It must be called on the loop.
func (e *Executor) Call(do func(context.Context, jobs.Store) error, then func(error)) bool {
	if e.shutDown {
		return false
	}
	select {
	case e.calls <- storeCall{do, then}:
		return true
	default:
		return false
	}
}

// Shutdown rejects further calls. It must be called on the loop.
func (e *Executor) Shutdown() {
	if !e.shutDown {
		e.shutDown = true
		close(e.calls)
	}
}

// Wait waits for the queued calls to finish and closes the store. It must be called after Shutdown
// and off the loop.
func (e *Executor) Wait() error {
	<-e.done
	return e.store.Close()
}
