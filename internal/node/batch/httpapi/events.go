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
	mostEvents  = 500                   // of one answer, or of one line of a stream
	lookAgain   = 50 * time.Millisecond // at a stream whose client is slow
	beatEvery   = 10 * time.Second      // a line goes out on a stream at least so often
	ndjsonLines = "Content-Type: application/x-ndjson\r\n"
)

// events answers with the events after a cursor: at once where there are some,
// else when the first comes or the timeout passes; or, with stream=1, with line
// after line as they come.
func (f *Front) events(c *call) {
	if _, e := f.jobs.Session(c.tenant, c.path[1]); e != nil {
		refuse(c, e)
		return
	}
	values, err := url.ParseQuery(c.query)
	if err != nil {
		refuse(c, drmaa.Bad("query", "%v", err))
		return
	}
	r := &reader{front: f, call: c, cursor: values.Get("cursor"), limit: mostEvents}
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
			bad = err != nil || !(n >= 0) || n > longestWait.Seconds()
		case "limit":
			r.limit = int(n)
			bad = err != nil || !(n >= 1) || n > mostEvents
		default:
			refuse(c, drmaa.Bad(name, "no such parameter"))
			return
		}
		if bad {
			refuse(c, drmaa.Bad(name, "%q makes no sense here", v))
			return
		}
	}
	r.start()
}

// reader is one client that reads events. It holds nothing but its cursor: what
// its connection does not take yet stays in the tenant's bounded stream.
type reader struct {
	front   *Front
	call    *call
	cursor  string
	limit   int
	stream  bool
	timeout time.Duration
	leave   func()
	over    bool
	next    *timerqueue.Timer // when to look again
	beat    time.Duration     // when a line must go out, or the wait is over
}

func (r *reader) start() {
	f := r.front
	first, e := f.jobs.Events(r.call.tenant, r.call.path[1], r.cursor, r.limit)
	if e != nil {
		refuse(r.call, e)
		return
	}
	if !r.stream && (len(first.Events) > 0 || first.Missed != 0 || r.timeout == 0) {
		reply(r.call, 200, first)
		return
	}
	r.beat = f.clock.Now() + r.timeout
	r.leave = f.jobs.Follow(r.call.tenant, func() { r.at(f.clock.Now()) })
	r.call.OnClientGone(r.stop)
	if !r.stream {
		r.cursor = first.Cursor // from now on, where there was none
		r.at(r.beat)
		return
	}
	if !r.call.BeginStream(200, ndjsonLines) {
		r.stop()
		refuse(r.call, &drmaa.Error{Status: 400, Name: drmaa.InvalidArgument, Attribute: "stream", Message: "stream: wants HTTP/1.1"})
		return
	}
	r.put(first)
	r.look()
}

func (r *reader) stop() {
	r.over = true
	r.leave()
	r.front.due.Cancel(r.next)
	r.next = nil
}

// at has the reader look again at a time, or at an earlier one that is set.
func (r *reader) at(at time.Duration) {
	if r.over || r.next != nil && r.next.At() <= at {
		return
	}
	r.front.due.Cancel(r.next)
	r.next = r.front.due.Add(at, func() {
		r.next = nil
		r.look()
	})
}

// look sends what has come since.
func (r *reader) look() {
	f, now := r.front, r.front.clock.Now()
	ended := f.jobs.Stopping() || f.jobs.ByToken(r.call.hash) != r.call.tenant
	got, e := f.jobs.Events(r.call.tenant, r.call.path[1], r.cursor, r.limit)
	switch {
	case e != nil || !r.stream && (ended || len(got.Events) > 0 || got.Missed != 0 || now >= r.beat):
		r.stop()
		if e != nil {
			refuse(r.call, e)
			return
		}
		reply(r.call, 200, got)
	case !r.stream:
		r.cursor = got.Cursor
		r.at(r.beat)
	case ended:
		r.stop()
		r.call.EndStream()
	case !r.call.Flushed():
		r.at(now + lookAgain)
	case len(got.Events) > 0 || got.Missed != 0 || now >= r.beat:
		r.put(got)
		r.at(now) // there may be more
	default:
		r.cursor = got.Cursor
		r.at(r.beat)
	}
}

func (r *reader) put(got *drmaa.Events) {
	r.cursor, r.beat = got.Cursor, r.front.clock.Now()+beatEvery
	line, err := json.Marshal(got)
	if err != nil {
		panic(err)
	}
	r.call.Write(append(line, '\n'))
}
