package store

import (
	"context"
	"log/slog"
	"time"

	"ospreybend/internal/node/batch/jobs"
)

const (
	maxQueuedCalls = 1024             // calls that wait for the store at most
	callTimeout    = 10 * time.Second // a call that takes longer has failed
)

// task is one call of the store. then runs on the loop afterwards.
type task struct {
	do   func(context.Context, jobs.Store) error
	then func(error)
}

// Executor calls the store of record, one call after the other, off the loop.
type Executor struct {
	store    jobs.Store
	post     func(func())
	tasks    chan task
	done     chan struct{}
	shutDown bool // the loop's: no more calls
}

// NewExecutor starts a keeper. post brings results to the loop.
func NewExecutor(store jobs.Store, post func(func())) *Executor {
	k := &Executor{store: store, post: post, tasks: make(chan task, maxQueuedCalls), done: make(chan struct{})}
	go k.run()
	return k
}

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

// Call hands a call over, from the loop. It returns false, at once, where too
// many wait.
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

// Shutdown ends the taking of calls, from the loop.
func (k *Executor) Shutdown() {
	if !k.shutDown {
		k.shutDown = true
		close(k.tasks)
	}
}

// Wait waits, off the loop and after Shut, for the calls handed over, and
// closes the store.
func (k *Executor) Wait() error {
	<-k.done
	return k.store.Close()
}
