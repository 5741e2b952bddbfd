package store

import (
	"context"
	"log/slog"
	"time"

	"ospreybend/internal/node/batch/jobs"
)

const (
	maxQueuedCalls = 1024 // calls queued for the store at most
	callTimeout    = 10 * time.Second
)

// task is one call of the store. then is called on the loop with its error.
type task struct {
	do   func(context.Context, jobs.Store) error
	then func(error)
}

// Executor runs calls of the store in a goroutine of its own, one after the other. It implements
// jobs.StoreExecutor. Shutdown and Wait end the goroutine.
type Executor struct {
	store    jobs.Store
	post     func(func())
	tasks    chan task
	done     chan struct{}
	shutDown bool // no further calls; owned by the loop
}

// NewExecutor starts an executor. post runs a function on the loop.
func NewExecutor(store jobs.Store, post func(func())) *Executor {
	k := &Executor{store: store, post: post, tasks: make(chan task, maxQueuedCalls), done: make(chan struct{})}
	go k.run()
	return k
}

// run runs the queued calls until Shutdown.
func (k *Executor) run() {
	defer close(k.done)
	for t := range k.tasks {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		err := t.do(ctx, k.store)
		cancel()
		if err != nil {
			slog.Error("store of record", "error", err)
		}
		k.post(func() { t.then(err) })
	}
}

// Call implements jobs.StoreExecutor. It must be called on the loop.
func (k *Executor) Call(do func(context.Context, jobs.Store) error, then func(error)) bool {
	if k.shutDown {
		return false
	}
	select {
	case k.tasks <- task{do, then}:
		return true
	default:
		return false
	}
}

// Shutdown rejects further calls. It must be called on the loop.
func (k *Executor) Shutdown() {
	if !k.shutDown {
		k.shutDown = true
		close(k.tasks)
	}
}

// Wait waits for the queued calls after Shutdown, and closes the store. It must be called off the
// loop.
func (k *Executor) Wait() error {
	<-k.done
	return k.store.Close()
}
