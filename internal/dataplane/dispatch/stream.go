package dispatch

import (
	"errors"
	"io"
	"strconv"
	"time"

	"ospreybend/internal/dataplane/selection"
	"ospreybend/internal/dataplane/upstream"
)

// freshLoad is how old the load that a stream's head told may be when the stream ends.
const freshLoad = 500 * time.Millisecond

// errNoPlace is why a stream is cut that goes on with an event of which nobody can tell whether it was passed on.
var errNoPlace = errors.New("dispatch: an event of a resumed stream has no place")

// relay is how far a stream has been passed on.
type relay struct {
	begun      bool   // a part of the answer was written to the client
	passed     bool   // an event with an ID was passed on
	lastID     string // of the last event passed on
	lastNumber int64
	unnumbered bool // an event was passed on whose ID is missing or no number
	again      bool // another worker than the first goes on
	skipping   bool // the events that come were passed on already
}

// resumable tells whether another worker can go on behind the last event passed on.
func (r *relay) resumable() bool { return !r.begun || (r.passed && !r.unnumbered) }

// note takes an event that is passed on.
func (r *relay) note(event *upstream.Event) {
	number, err := strconv.ParseInt(event.ID, 10, 64)
	if !event.HasID || err != nil {
		r.unnumbered = r.unnumbered || !isComment(event)
		return
	}
	r.passed = true
	r.lastID = event.ID
	r.lastNumber = number
}

// isComment tells whether an event carries nothing.
func isComment(event *upstream.Event) bool { return len(event.Raw) > 0 && event.Raw[0] == ':' }

// takeUp prepares for the events of another worker.
func (r *relay) takeUp() {
	r.again = r.begun
	r.skipping = true
}

// known tells whether an event of a later worker was passed on already. One without an ID belongs to
// the event before it.
func (r *relay) known(event *upstream.Event) bool {
	if !event.HasID {
		return r.skipping
	}
	number, err := strconv.ParseInt(event.ID, 10, 64)
	return err == nil && number <= r.lastNumber
}

// places tells whether each event of a batch has a place among those passed on: one of a later worker whose ID is no number
// has none.
func (r *relay) places(batch *upstream.Batch) bool {
	if !r.again || !r.passed {
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

// fresh returns the bytes of a batch that are to be passed on, and notes its events.
func (r *relay) fresh(batch *upstream.Batch) []byte {
	if !r.again || !r.passed {
		for i := range batch.Events {
			r.note(&batch.Events[i])
		}
		return batch.Raw
	}
	var kept []byte
	for i := range batch.Events {
		event := &batch.Events[i]
		r.skipping = r.known(event)
		if r.skipping {
			continue
		}
		kept = append(kept, event.Raw...)
		r.note(event)
	}
	return kept
}

// relayEvents passes a stream on. It tells whether another step is to follow.
func (t *try) relayEvents(ticket *ticket, w *watch, answer *Answer) bool {
	defer answer.Events.Close()
	if t.relay.begun {
		t.d.counts.resumed.Add(1)
	}
	t.relay.takeUp()
	first := true
	for {
		w.resume(t.gapSilence(first))
		batch, err := answer.Events.Next()
		w.pause()
		if err != nil && !errors.Is(err, io.EOF) {
			return t.streamCut(ticket, w, err)
		}
		if batch == nil {
			batch = &upstream.Batch{Last: true}
		}
		if !t.relay.places(batch) {
			return t.streamCut(ticket, w, errNoPlace)
		}
		if first && len(batch.Events) > 0 {
			first = false
			t.trace.noteFirst(t.d.now())
			ticket.firstEvent()
		}
		if !t.passBatch(answer, batch) {
			ticket.abandoned()
			t.d.counts.left.Add(1)
			t.responder.Abort()
			return false
		}
		if batch.Last {
			ticket.done(t.streamLoad(answer))
			return false
		}
	}
}

// passBatch writes what is new of a batch, and tells whether the client took it.
func (t *try) passBatch(answer *Answer, batch *upstream.Batch) bool {
	piece := t.relay.fresh(batch)
	if len(piece) == 0 && !batch.Last {
		return true
	}
	if !t.relay.begun {
		t.relay.begun = true
		t.status = answer.Status
		if err := t.responder.WriteHeader(answer.Status, clientFields(answer.Header)); err != nil {
			return false
		}
	}
	if batch.Last {
		return t.responder.Finish(piece) == nil
	}
	return t.responder.WriteChunk(piece) == nil
}

// streamCut follows a stream that ended before its last piece.
func (t *try) streamCut(ticket *ticket, w *watch, err error) bool {
	var failure *upstream.Failure
	if !errors.As(err, &failure) {
		failure = &upstream.Failure{Result: upstream.Broken, Reason: upstream.ReadError, Err: err}
	}
	if t.ctx.Err() != nil || w.silent() {
		failure = &upstream.Failure{Result: upstream.Broken, Reason: upstream.Canceled, Err: err}
	}
	t.endFailed(ticket, failure)
	return t.afterLoss(w)
}

// gapSilence is how long a worker may be silent before its next event.
func (t *try) gapSilence(first bool) time.Duration {
	if first {
		return max(objectivePatience*t.route.TargetLatency, leastSilence)
	}
	return max(gapPatience*t.route.InterTokenTarget, leastSilence)
}

// streamLoad is the load that the stream's head told, unless that was long ago.
func (t *try) streamLoad(answer *Answer) *selection.Load {
	if time.Since(answer.HeadReceivedAt) > freshLoad {
		return nil
	}
	return loadOf(answer)
}
