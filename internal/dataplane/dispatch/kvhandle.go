package dispatch

import (
	"context"
	"time"

	"ospreybend/internal/dataplane/upstream"
	"ospreybend/internal/util/http1"
)

const (
	// maxFreeing is the most calls under way at once that free handles. Beyond it handles lapse by themselves.
	maxFreeing  = 64
	freeTimeout = time.Second

	handlePath   = "/-/kv-handle/"
	methodDelete = "DELETE"
	fieldHost    = "Host"
)

// fields hand the memory over to the worker that is to run the request, and only to one with the same weights.
func (h *handle) fields() http1.Header {
	fields := http1.Header{{Name: fieldKVFrom, Value: h.worker.Address + "/" + h.id}}
	if h.version != "" {
		fields = append(fields, http1.HeaderField{Name: fieldVersion, Value: h.version})
	}
	return fields
}

// freeHandle frees the memory of a handle that no worker took. It does not wait for the answer.
func (t *try) freeHandle() {
	held := t.held
	if held == nil {
		return
	}
	t.held = nil
	t.d.free(held)
}

func (d *Dispatcher) free(held *handle) {
	select {
	case d.freeing <- struct{}{}:
	default:
		d.counts.handlesDropped.Add(1)
		return
	}
	d.counts.handlesFreed.Add(1)
	go func() {
		defer func() { <-d.freeing }()
		ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
		defer cancel()
		answer, _ := d.workers.Do(ctx, freeCall(held))
		closeEvents(answer)
	}()
}

// Settle waits until no call that frees a handle is under way, or ctx has ended. No handle can be freed after it.
func (d *Dispatcher) Settle(ctx context.Context) {
	for range cap(d.freeing) {
		select {
		case d.freeing <- struct{}{}:
		case <-ctx.Done():
			return
		}
	}
}

// freeCall makes the call that frees a handle. It carries no X-Request-Id: a worker takes a call with one for the
// request itself and answers 421.
func freeCall(held *handle) *upstream.Request {
	return &upstream.Request{
		Address: held.worker.Address,
		Method:  methodDelete,
		Target:  handlePath + held.id,
		Header: http1.Header{
			{Name: fieldHost, Value: held.worker.Address},
			{Name: fieldTarget, Value: held.worker.ID},
		},
	}
}

// closeEvents gives up the events of an answer that is not wanted.
func closeEvents(answer *Answer) {
	if answer != nil && answer.Events != nil {
		answer.Events.Close()
	}
}
