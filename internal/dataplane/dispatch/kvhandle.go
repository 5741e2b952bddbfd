package dispatch

import (
	"context"
	"strconv"
	"time"

	"github.com/go-faster/jx"

	"ospreybend/internal/dataplane/fleetview"
	"ospreybend/internal/dataplane/upstream"
	"ospreybend/internal/util/http1"
)

const (
	// maxConcurrentFrees limits the concurrent calls that free handles. Beyond it, handles are left to expire at the worker.
	maxConcurrentFrees = 64
	freeTimeout        = time.Second

	kvHandlePath = "/-/kv-handle/"
	methodDelete = "DELETE"
	fieldHost    = "Host"
)

// transferFields returns the header fields that make a decode worker fetch the KV cache. Expect-Version makes a worker with
// other model weights reject the call.
func (h *kvHandle) transferFields() http1.Header {
	fields := http1.Header{{Name: fieldKVFrom, Value: h.worker.Address + "/" + h.id}}
	if h.version != "" {
		fields = append(fields, http1.HeaderField{Name: fieldExpectVersion, Value: h.version})
	}
	return fields
}

// freeHandle frees the KV cache of the request's handle if no run has used it. It does not wait for the response.
func (r *clientRequest) freeHandle() {
	handle := r.handle
	if handle == nil {
		return
	}
	r.handle = nil
	r.dispatcher.freeAsync(handle)
}

// freeAsync frees a KV cache in a goroutine that ends within freeTimeout. Shutdown waits for it.
func (d *Dispatcher) freeAsync(handle *kvHandle) {
	select {
	case d.freeSemaphore <- struct{}{}:
	default:
		d.counts.handlesDropped.Add(1)
		return
	}
	d.counts.handlesFreed.Add(1)
	go func() {
		defer func() { <-d.freeSemaphore }()
		ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
		defer cancel()
		response, _ := d.workerClient.Do(ctx, freeRequest(handle))
		closeEvents(response)
	}()
}

// Shutdown waits until no call that frees a handle is in flight or ctx ends. Handles are no longer freed after it has waited
// for all calls.
func (d *Dispatcher) Shutdown(ctx context.Context) {
	for range cap(d.freeSemaphore) {
		select {
		case d.freeSemaphore <- struct{}{}:
		case <-ctx.Done():
			return
		}
	}
}

// freeRequest returns the call that frees a handle. It has no X-Request-Id: a worker treats a call with one as a
// client request and responds with 421.
func freeRequest(handle *kvHandle) *upstream.Request {
	return &upstream.Request{
		Address: handle.worker.Address,
		Method:  methodDelete,
		Target:  kvHandlePath + handle.id,
		Header: http1.Header{
			{Name: fieldHost, Value: handle.worker.Address},
			{Name: fieldTargetInstance, Value: handle.worker.ID},
		},
	}
}

// closeEvents closes the event stream, if any, of a response that is not used.
func closeEvents(response *Response) {
	if response != nil && response.Events != nil {
		response.Events.Close()
	}
}

// kvHandle identifies the KV cache of a prompt at the prefill worker that computed it.
type kvHandle struct {
	id      string
	worker  *fleetview.Worker
	version string // of the model's weights; empty if unknown
}

// parseHandle parses {"prefillHandle":ID,"generation":N,...} and reports whether it has a valid ID.
func parseHandle(body []byte) (kvHandle, bool) {
	var handle kvHandle
	err := jx.DecodeBytes(body).Obj(func(decoder *jx.Decoder, key string) error {
		var err error
		switch {
		case key == "prefillHandle":
			handle.id, err = decoder.Str()
		case key == "generation" && decoder.Next() == jx.Number:
			var version jx.Num
			version, err = decoder.Num()
			handle.version = decimalOrEmpty(version.String())
		default:
			err = decoder.Skip()
		}
		return err
	})
	return handle, err == nil && validHandleID(handle.id)
}

// decimalOrEmpty returns text if it is a non-negative decimal integer, and an empty string otherwise.
func decimalOrEmpty(text string) string {
	if _, err := strconv.ParseUint(text, 10, 63); err != nil {
		return ""
	}
	return text
}

// validHandleID reports whether an ID can be used in a header field and in a path.
func validHandleID(id string) bool {
	for i := range len(id) {
		c := id[i]
		if c <= ' ' || c >= 0x7f || c == '/' || c == '?' || c == '#' {
			return false
		}
	}
	return id != ""
}
