package dispatch

import (
	"errors"
	"io"
	"strconv"
	"time"

	"ospreybend/internal/dataplane/selection"
	"ospreybend/internal/dataplane/upstream"
)

// maxLoadAge is the maximum age, at the end of a stream, of the load reported in the stream's head. An older load is ignored.
const maxLoadAge = 500 * time.Millisecond

// errUnorderedEvent is the error of a resumed stream with an event that cannot be ordered relative to those already sent.
var errUnorderedEvent = errors.New("dispatch: an event of a resumed stream cannot be ordered")

// streamProgress tracks how much of a stream has been sent to the client. Another worker can resume the stream
// after the last event if all events have numeric IDs.
type streamProgress struct {
	started         bool   // part of the response has been sent
	numbered        bool   // an event with a numeric ID has been sent
	lastEventID     string // of the last event with a numeric ID
	lastEventNumber int64
	unnumbered      bool // an event without a numeric ID has been sent
	resumed         bool // the current run continues a stream begun by another run
	skipping        bool // the events being received have already been sent
}

// resumable reports whether another worker can continue after the last event sent.
func (p *streamProgress) resumable() bool { return !p.started || (p.numbered && !p.unnumbered) }

// record updates the progress with an event that is being sent.
func (p *streamProgress) record(event *upstream.Event) {
	number, err := strconv.ParseInt(event.ID, 10, 64)
	if !event.HasID || err != nil {
		p.unnumbered = p.unnumbered || !isComment(event)
		return
	}
	p.numbered = true
	p.lastEventID = event.ID
	p.lastEventNumber = number
}

// isComment reports whether an event is a comment, which carries no data.
func isComment(event *upstream.Event) bool { return len(event.Raw) > 0 && event.Raw[0] == ':' }

// beginRun prepares for the events of a run.
func (p *streamProgress) beginRun() {
	p.resumed = p.started
	p.skipping = true
}

// alreadySent reports whether an event of a resumed stream has been sent by an earlier run. An event without an
// ID is treated like the event before it.
func (p *streamProgress) alreadySent(event *upstream.Event) bool {
	if !event.HasID {
		return p.skipping
	}
	number, err := strconv.ParseInt(event.ID, 10, 64)
	return err == nil && number <= p.lastEventNumber
}

// ordered reports whether each event of a batch can be ordered relative to those already sent. In a resumed
// stream, an event whose ID is not numeric cannot.
func (p *streamProgress) ordered(batch *upstream.Batch) bool {
	if !p.resumed || !p.numbered {
		return true
	}
	for i := range batch.Events {
		event := &batch.Events[i]
		if _, err := strconv.ParseInt(event.ID, 10, 64); event.HasID && err != nil {
			return false
		}
	}
	return true
}

// unsent returns the bytes of a batch that are still to be sent and records their events.
func (p *streamProgress) unsent(batch *upstream.Batch) []byte {
	if !p.resumed || !p.numbered {
		for i := range batch.Events {
			p.record(&batch.Events[i])
		}
		return batch.Raw
	}
	var unsent []byte
	for i := range batch.Events {
		event := &batch.Events[i]
		p.skipping = p.alreadySent(event)
		if p.skipping {
			continue
		}
		unsent = append(unsent, event.Raw...)
		p.record(event)
	}
	return unsent
}

// relayEvents forwards the events of a stream until it ends or fails.
func (r *clientRequest) relayEvents(call *trackedCall, watcher *idleWatcher, response *Response) stepResult {
	defer response.Events.Close()
	if r.progress.started {
		r.dispatcher.counts.resumed.Add(1)
	}
	r.progress.beginRun()
	first := true
	for {
		if r.retryAllowed() {
			watcher.resume(r.eventTimeout(first))
		}
		batch, err := response.Events.Next()
		watcher.pause()
		if err != nil && !errors.Is(err, io.EOF) {
			return r.onStreamFailed(call, watcher, err)
		}
		if batch == nil {
			batch = &upstream.Batch{Last: true}
		}
		if !r.progress.ordered(batch) {
			return r.onStreamFailed(call, watcher, errUnorderedEvent)
		}
		if first && len(batch.Events) > 0 {
			first = false
			r.trace.recordFirstEvent(r.dispatcher.now())
			call.firstEvent()
		}
		if !r.forwardBatch(response, batch) {
			call.abandoned()
			r.dispatcher.counts.canceled.Add(1)
			r.responder.Abort()
			return requestFinished
		}
		if batch.Last {
			call.done(r.streamLoad(response))
			return requestFinished
		}
	}
}

// forwardBatch writes the unsent part of a batch and reports whether the write succeeded.
func (r *clientRequest) forwardBatch(response *Response, batch *upstream.Batch) bool {
	chunk := r.progress.unsent(batch)
	if len(chunk) == 0 && !batch.Last {
		return true
	}
	if !r.progress.started {
		r.progress.started = true
		r.status = response.Status
		if err := r.responder.WriteHeader(response.Status, fieldsForClient(response.Header)); err != nil {
			return false
		}
	}
	if batch.Last {
		return r.responder.Finish(chunk) == nil
	}
	return r.responder.WriteChunk(chunk) == nil
}

// onStreamFailed processes a stream that ended before its last event.
func (r *clientRequest) onStreamFailed(call *trackedCall, watcher *idleWatcher, err error) stepResult {
	var failure *upstream.Failure
	if !errors.As(err, &failure) {
		failure = &upstream.Failure{Result: upstream.Broken, Reason: upstream.ReadError, Err: err}
	}
	if r.ctx.Err() != nil || watcher.timedOut() {
		failure = &upstream.Failure{Result: upstream.Broken, Reason: upstream.Canceled, Err: err}
	}
	r.reportFailure(call, failure)
	r.discardIncomplete(watcher, errors.Is(err, errUnorderedEvent))
	return r.retryOrFinish(watcher)
}

// eventTimeout returns how long a stream may take until its next event before it is canceled.
func (r *clientRequest) eventTimeout(first bool) time.Duration {
	if first {
		return max(targetLatencyFactor*r.route.TargetLatency, minIdleTimeout)
	}
	return max(gapTimeoutFactor*r.route.InterTokenTarget, minIdleTimeout)
}

// streamLoad returns the load reported in the stream's head, or nil if it is older than maxLoadAge.
func (r *clientRequest) streamLoad(response *Response) *selection.Load {
	if time.Since(response.HeadReceivedAt) > maxLoadAge {
		return nil
	}
	return reportedLoad(response)
}
