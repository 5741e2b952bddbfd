package httpapi

import (
	"encoding/json"
	"net/url"
	"strconv"
	"time"

	"ospreybend/drmaa"
	"ospreybend/internal/node/timerqueue"
)

const (
	maxEvents               = 500                   // in one response, or in one line of a stream
	slowClientPollInterval  = 50 * time.Millisecond // between two checks whether a slow client has read the last line
	streamHeartbeatInterval = 10 * time.Second      // maximum time between two lines of a stream
	ndjsonType              = "Content-Type: application/x-ndjson\r\n"
)

// readEvents responds with the events after a cursor: at once if there are any, otherwise as soon as there
// is one or at the timeout. With stream=1 it responds with a stream that has a line for each batch of
// events.
func (h *Handler) readEvents(call *apiCall) {
	if _, e := h.jobs.Session(call.tenant, call.path[1]); e != nil {
		replyError(call, e)
		return
	}
	values, err := url.ParseQuery(call.query)
	if err != nil {
		replyError(call, drmaa.InvalidArgumentError("query", "%v", err))
		return
	}
	r := &eventReader{handler: h, call: call, cursor: values.Get("cursor"), limit: maxEvents}
	for name := range values {
		v := values.Get(name)
		n, err := strconv.ParseFloat(v, 64)
		invalid := false
		switch name {
		case "cursor":
		case "stream":
			r.stream, invalid = v == "1", v != "1" && v != "0"
		case "timeout":
			r.timeout = time.Duration(n * float64(time.Second))
			invalid = err != nil || !(n >= 0) || n > maxWait.Seconds()
		case "limit":
			r.limit = int(n)
			invalid = err != nil || !(n >= 1) || n > maxEvents
		default:
			replyError(call, drmaa.InvalidArgumentError(name, "no such parameter"))
			return
		}
		if invalid {
			replyError(call, drmaa.InvalidArgumentError(name, "%q makes no sense here", v))
			return
		}
	}
	r.start()
}

// eventReader is a client that reads events. It holds a cursor but buffers no events: those that its
// connection cannot take yet stay in the tenant's bounded stream.
type eventReader struct {
	handler      *Handler
	call         *apiCall
	cursor       string
	limit        int
	stream       bool
	timeout      time.Duration
	cancelFollow func()
	stopped      bool
	timer        *timerqueue.Timer // the next poll
	nextLineAt   time.Duration     // when a line must be sent, or the wait ends
}

// start responds at once, or starts a wait or a stream.
func (r *eventReader) start() {
	h := r.handler
	first, e := h.jobs.Events(r.call.tenant, r.call.path[1], r.cursor, r.limit)
	if e != nil {
		replyError(r.call, e)
		return
	}
	if !r.stream && (len(first.Events) > 0 || first.Missed != 0 || r.timeout == 0) {
		reply(r.call, 200, first)
		return
	}
	r.nextLineAt = h.clock.Now() + r.timeout
	r.cancelFollow = h.jobs.Follow(r.call.tenant, func() { r.wakeAt(h.clock.Now()) })
	r.call.OnClientGone(r.stop)
	if !r.stream {
		r.cursor = first.Cursor // the current position, if the client gave no cursor
		r.wakeAt(r.nextLineAt)
		return
	}
	if !r.call.BeginStream(200, ndjsonType) {
		r.stop()
		replyError(r.call, &drmaa.Error{Status: 400, Name: drmaa.InvalidArgument, Attribute: "stream", Message: "stream: wants HTTP/1.1"})
		return
	}
	r.writeLine(first)
	r.poll()
}

// stop ends the wait or the stream.
func (r *eventReader) stop() {
	r.stopped = true
	r.cancelFollow()
	r.handler.timers.Cancel(r.timer)
	r.timer = nil
}

// wakeAt schedules the next poll, unless an earlier one is scheduled.
func (r *eventReader) wakeAt(at time.Duration) {
	if r.stopped || r.timer != nil && r.timer.At() <= at {
		return
	}
	r.handler.timers.Cancel(r.timer)
	r.timer = r.handler.timers.Add(at, func() {
		r.timer = nil
		r.poll()
	})
}

// poll sends the events since the cursor, or ends the wait or the stream.
func (r *eventReader) poll() {
	h, now := r.handler, r.handler.clock.Now()
	ended := h.jobs.Stopping() || h.jobs.ByToken(r.call.hash) != r.call.tenant
	got, e := h.jobs.Events(r.call.tenant, r.call.path[1], r.cursor, r.limit)
	switch {
	case e != nil || !r.stream && (ended || len(got.Events) > 0 || got.Missed != 0 || now >= r.nextLineAt):
		r.stop()
		if e != nil {
			replyError(r.call, e)
			return
		}
		reply(r.call, 200, got)
	case !r.stream:
		r.cursor = got.Cursor
		r.wakeAt(r.nextLineAt)
	case ended:
		r.stop()
		r.call.EndStream()
	case !r.call.Flushed():
		r.wakeAt(now + slowClientPollInterval)
	case len(got.Events) > 0 || got.Missed != 0 || now >= r.nextLineAt:
		r.writeLine(got)
		r.wakeAt(now) // there may be more events
	default:
		r.cursor = got.Cursor
		r.wakeAt(r.nextLineAt)
	}
}

// writeLine sends a batch of events as one line of a stream.
func (r *eventReader) writeLine(got *drmaa.Events) {
	r.cursor, r.nextLineAt = got.Cursor, r.handler.clock.Now()+streamHeartbeatInterval
	line, err := json.Marshal(got)
	if err != nil {
		panic(err)
	}
	r.call.Write(append(line, '\n'))
}
