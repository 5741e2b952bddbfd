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
	maxEvents               = 500                   // of one answer, or of one line of a stream
	slowClientPollInterval  = 50 * time.Millisecond // at a stream whose client is slow
	streamHeartbeatInterval = 10 * time.Second      // a line goes out on a stream at least so often
	ndjsonType              = "Content-Type: application/x-ndjson\r\n"
)

// events answers with the events after a cursor: at once where there are some,
// else when the first comes or the timeout passes; or, with stream=1, with line
// after line as they come.
func (f *Front) events(call *apiCall) {
	if _, e := f.jobs.Session(call.tenant, call.path[1]); e != nil {
		replyError(call, e)
		return
	}
	values, err := url.ParseQuery(call.query)
	if err != nil {
		replyError(call, drmaa.InvalidArgumentError("query", "%v", err))
		return
	}
	r := &eventReader{front: f, call: call, cursor: values.Get("cursor"), limit: maxEvents}
	for name := range values {
		v := values.Get(name)
		n, err := strconv.ParseFloat(v, 64)
		bad := false
		switch name {
		case "cursor":
		case "stream":
			r.stream, bad = v == "1", v != "1" && v != "0"
		case "timeout":
			r.timeout = time.Duration(n * float64(time.Second))
			bad = err != nil || !(n >= 0) || n > maxWait.Seconds()
		case "limit":
			r.limit = int(n)
			bad = err != nil || !(n >= 1) || n > maxEvents
		default:
			replyError(call, drmaa.InvalidArgumentError(name, "no such parameter"))
			return
		}
		if bad {
			replyError(call, drmaa.InvalidArgumentError(name, "%q makes no sense here", v))
			return
		}
	}
	r.start()
}

// eventReader is one client that reads events. It holds nothing but its cursor: what
// its connection does not take yet stays in the tenant's bounded stream.
type eventReader struct {
	front      *Front
	call       *apiCall
	cursor     string
	limit      int
	stream     bool
	timeout    time.Duration
	unfollow   func()
	stopped    bool
	timer      *timerqueue.Timer // when to look again
	nextLineAt time.Duration     // when a line must go out, or the wait is over
}

func (r *eventReader) start() {
	f := r.front
	first, e := f.jobs.Events(r.call.tenant, r.call.path[1], r.cursor, r.limit)
	if e != nil {
		replyError(r.call, e)
		return
	}
	if !r.stream && (len(first.Events) > 0 || first.Missed != 0 || r.timeout == 0) {
		reply(r.call, 200, first)
		return
	}
	r.nextLineAt = f.clock.Now() + r.timeout
	r.unfollow = f.jobs.Follow(r.call.tenant, func() { r.wakeAt(f.clock.Now()) })
	r.call.OnClientGone(r.stop)
	if !r.stream {
		r.cursor = first.Cursor // from now on, where there was none
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

func (r *eventReader) stop() {
	r.stopped = true
	r.unfollow()
	r.front.timers.Cancel(r.timer)
	r.timer = nil
}

// wakeAt has the reader look again at a time, or at an earlier one that is set.
func (r *eventReader) wakeAt(at time.Duration) {
	if r.stopped || r.timer != nil && r.timer.At() <= at {
		return
	}
	r.front.timers.Cancel(r.timer)
	r.timer = r.front.timers.Add(at, func() {
		r.timer = nil
		r.poll()
	})
}

// poll sends what has come since.
func (r *eventReader) poll() {
	f, now := r.front, r.front.clock.Now()
	ended := f.jobs.Stopping() || f.jobs.ByToken(r.call.hash) != r.call.tenant
	got, e := f.jobs.Events(r.call.tenant, r.call.path[1], r.cursor, r.limit)
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
		r.wakeAt(now) // there may be more
	default:
		r.cursor = got.Cursor
		r.wakeAt(r.nextLineAt)
	}
}

func (r *eventReader) writeLine(got *drmaa.Events) {
	r.cursor, r.nextLineAt = got.Cursor, r.front.clock.Now()+streamHeartbeatInterval
	line, err := json.Marshal(got)
	if err != nil {
		panic(err)
	}
	r.call.Write(append(line, '\n'))
}
