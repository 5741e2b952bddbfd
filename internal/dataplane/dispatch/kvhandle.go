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
	// maxConcurrentFrees bounds the calls in flight that free handles. Beyond it handles are left to expire.
	maxConcurrentFrees = 64
	freeTimeout        = time.Second

	kvHandlePath = "/-/kv-handle/"
	methodDelete = "DELETE"
	fieldHost    = "Host"
)

// transferFields returns the fields by which a decode worker fetches the KV cache, if it has the same weights.
func (h *kvHandle) transferFields() http1.Header {
	fields := http1.Header{{Name: fieldKVFrom, Value: h.worker.Address + "/" + h.id}}
	if h.version != "" {
		fields = append(fields, http1.HeaderField{Name: fieldVersion, Value: h.version})
	}
	return fields
}

// freeHandle frees the KV cache of a handle that no run used. It does not wait for the response.
func (r *clientRequest) freeHandle() {
	handle := r.handle
	if handle == nil {
		return
	}
	r.handle = nil
	r.dispatcher.freeAsync(handle)
}

// freeAsync frees a KV cache in a goroutine that ends within freeTimeout and that Shutdown waits for.
func (d *Dispatcher) freeAsync(handle *kvHandle) {
	select {
	case d.frees <- struct{}{}:
	default:
		d.counts.handlesDropped.Add(1)
		return
	}
	d.counts.handlesFreed.Add(1)
	go func() {
		defer func() { <-d.frees }()
		ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
		defer cancel()
		response, _ := d.workers.Do(ctx, freeCall(handle))
		closeEvents(response)
	}()
}

// Shutdown waits until no call that frees a handle is in flight, or ctx has ended. Handles are not freed after it.
func (d *Dispatcher) Shutdown(ctx context.Context) {
	for range cap(d.frees) {
		select {
		case d.frees <- struct{}{}:
		case <-ctx.Done():
			return
		}
	}
}

// freeCall returns the call that frees a handle. It has no X-Request-Id: a worker takes a call with one for the
// request itself and responds with 421.
func freeCall(handle *kvHandle) *upstream.Request {
	return &upstream.Request{
		Address: handle.worker.Address,
		Method:  methodDelete,
		Target:  kvHandlePath + handle.id,
		Header: http1.Header{
			{Name: fieldHost, Value: handle.worker.Address},
			{Name: fieldTarget, Value: handle.worker.ID},
		},
	}
}

// closeEvents closes the event stream of a response that is not used.
func closeEvents(response *Response) {
	if response != nil && response.Events != nil {
		response.Events.Close()
	}
}

// kvHandle names the KV cache of a prompt at the prefill worker that computed it.
type kvHandle struct {
	id      string
	worker  *fleetview.Worker
	version string // of the model's weights; empty: unknown
}

// parseHandle parses {"prefillHandle":ID,"generation":N,...}, and reports whether there is a valid ID.
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
			handle.version = integerText(version.String())
		default:
			err = decoder.Skip()
		}
		return err
	})
	return handle, err == nil && validHandleID(handle.id)
}

// integerText returns a text that is a decimal integer, and an empty one for any other.
func integerText(text string) string {
	if _, err := strconv.ParseUint(text, 10, 63); err != nil {
		return ""
	}
	return text
}

// validHandleID reports whether an ID can be part of a header field and of a path.
func validHandleID(id string) bool {
	for i := range len(id) {
		c := id[i]
		if c <= ' ' || c >= 0x7f || c == '/' || c == '?' || c == '#' {
			return false
		}
	}
	return id != ""
}
