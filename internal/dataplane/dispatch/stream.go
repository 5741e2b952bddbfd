package dispatch

import (
	"errors"
	"io"
	"strconv"
	"time"

	"ospreybend/internal/dataplane/selection"
	"ospreybend/internal/dataplane/upstream"
)

// maxLoadAge is how old the load that a stream's head told may be when the stream ends.
const maxLoadAge = 500 * time.Millisecond

// errUnorderedEvent is why a stream is cut that goes on with an event of which nobody can tell whether it was passed on.
var errUnorderedEvent = errors.New("dispatch: an event of a resumed stream has no place")

// streamProgress is how far a stream has been passed on.
type streamProgress struct {
	started         bool   // a part of the answer was written to the client
	numbered        bool   // an event with an ID was passed on
	lastEventID     string // of the last event passed on
	lastEventNumber int64
	unnumbered      bool // an event was passed on whose ID is missing or no number
	resumed         bool // another worker than the first goes on
	skipping        bool // the events that come were passed on already
}

// resumable tells whether another worker can go on behind the last event passed on.
func (p *streamProgress) resumable() bool { return !p.started || (p.numbered && !p.unnumbered) }

// record takes an event that is passed on.
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

// isComment tells whether an event carries nothing.
func isComment(event *upstream.Event) bool { return len(event.Raw) > 0 && event.Raw[0] == ':' }

// beginResume prepares for the events of another worker.
func (p *streamProgress) beginResume() {
	p.resumed = p.started
	p.skipping = true
}

// alreadySent tells whether an event of a later worker was passed on already. One without an ID belongs to
// the event before it.
func (p *streamProgress) alreadySent(event *upstream.Event) bool {
	if !event.HasID {
		return p.skipping
	}
	number, err := strconv.ParseInt(event.ID, 10, 64)
	return err == nil && number <= p.lastEventNumber
}

// ordered tells whether each event of a batch has a place among those passed on: one of a later worker whose ID is no number
// has none.
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

// unsent returns the bytes of a batch that are to be passed on, and notes its events.
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

// relayEvents passes a stream on. It tells whether another step is to follow.
func (r *clientRequest) relayEvents(call *trackedCall, watcher *idleWatcher, answer *Answer) bool {
	defer answer.Events.Close()
	if r.progress.started {
		r.dispatcher.counts.resumed.Add(1)
	}
	r.progress.beginResume()
	first := true
	for {
		watcher.resume(r.eventTimeout(first))
		batch, err := answer.Events.Next()
		watcher.pause()
		if err != nil && !errors.Is(err, io.EOF) {
			return r.streamFailed(call, watcher, err)
		}
		if batch == nil {
			batch = &upstream.Batch{Last: true}
		}
		if !r.progress.ordered(batch) {
			return r.streamFailed(call, watcher, errUnorderedEvent)
		}
		if first && len(batch.Events) > 0 {
			first = false
			r.trace.recordFirstEvent(r.dispatcher.now())
			call.firstEvent()
		}
		if !r.forwardBatch(answer, batch) {
			call.abandoned()
			r.dispatcher.counts.cancelled.Add(1)
			r.responder.Abort()
			return false
		}
		if batch.Last {
			call.done(r.streamLoad(answer))
			return false
		}
	}
}

// forwardBatch writes what is new of a batch, and tells whether the client took it.
func (r *clientRequest) forwardBatch(answer *Answer, batch *upstream.Batch) bool {
	chunk := r.progress.unsent(batch)
	if len(chunk) == 0 && !batch.Last {
		return true
	}
	if !r.progress.started {
		r.progress.started = true
		r.status = answer.Status
		if err := r.responder.WriteHeader(answer.Status, fieldsForClient(answer.Header)); err != nil {
			return false
		}
	}
	if batch.Last {
		return r.responder.Finish(chunk) == nil
	}
	return r.responder.WriteChunk(chunk) == nil
}

// streamFailed follows a stream that ended before its last piece.
func (r *clientRequest) streamFailed(call *trackedCall, watcher *idleWatcher, err error) bool {
	var failure *upstream.Failure
	if !errors.As(err, &failure) {
		failure = &upstream.Failure{Result: upstream.Broken, Reason: upstream.ReadError, Err: err}
	}
	if r.ctx.Err() != nil || watcher.timedOut() {
		failure = &upstream.Failure{Result: upstream.Broken, Reason: upstream.Canceled, Err: err}
	}
	r.reportFailure(call, failure)
	return r.afterFailedRun(watcher)
}

// eventTimeout is how long a worker may be silent before its next event.
func (r *clientRequest) eventTimeout(first bool) time.Duration {
	if first {
		return max(targetLatencyFactor*r.route.TargetLatency, minIdleTimeout)
	}
	return max(gapTimeoutFactor*r.route.InterTokenTarget, minIdleTimeout)
}

// streamLoad is the load that the stream's head told, unless that was long ago.
func (r *clientRequest) streamLoad(answer *Answer) *selection.Load {
	if time.Since(answer.HeadReceivedAt) > maxLoadAge {
		return nil
	}
	return reportedLoad(answer)
}
