package protocol

import (
	"time"

	"ospreybend/internal/node/eventloop"
	"ospreybend/internal/node/slottable"
	"ospreybend/internal/node/timerqueue"
)

// frontSocket is the client's side of a connection.
type frontSocket struct {
	server  *Server
	conn    *eventloop.Conn
	ref     slottable.Handle
	call    *Call             // whose answer is owed; nil: none
	reader  requestReader     // of the request that is coming
	began   time.Duration     // when it began to come, or the connection
	limit   *timerqueue.Timer // by which it must be whole
	heard   time.Duration     // when the last of it came
	pieces  bool              // it has come in more than one
	held    int               // bytes of input held for it
	asked   bool              // has brought a whole request
	since   time.Duration     // the last answer
	told100 bool
}

// await sets the time limit for the request that is to come or is coming.
func (f *frontSocket) await() {
	if f.limit == nil {
		f.began = f.server.loop.Now()
		f.limit = f.server.loop.Timers.Add(f.began+requestWithin, f.late)
	}
}

// late ends a connection whose request has not come whole in time.
func (f *frontSocket) late() {
	f.limit = nil
	if !f.conn.Quiet() {
		f.limit = f.server.loop.Timers.Add(f.server.loop.Now()+readSoon, f.late) // it is to be read first
		return
	}
	if f.held == 0 {
		f.server.counts.Silent++
		f.close()
		return
	}
	f.refuse(&Fault{Status: 408, Reason: "the request did not come in time"})
}

func (f *frontSocket) close() {
	f.conn.Close()
	f.forget()
}

// forget drops the socket and tells whoever works on its call.
func (f *frontSocket) forget() {
	if !f.server.sockets.Remove(f.ref) {
		return
	}
	f.release()
	if c := f.call; c != nil {
		f.call = nil
		f.server.held -= c.size
		if c.gone != nil {
			c.gone()
		}
	}
	f.server.check()
}

// release gives back what the request that was coming took up.
func (f *frontSocket) release() {
	f.server.loop.Timers.Cancel(f.limit)
	f.limit = nil
	f.server.held -= f.held
	f.held = 0
}

// Closed is the client's going away.
func (f *frontSocket) Closed(*eventloop.Conn) { f.forget() }

// Data takes in what a client sends: one request at a time.
func (f *frontSocket) Data(conn *eventloop.Conn, in []byte) int {
	f.heard, f.pieces = f.server.loop.Now(), f.held > 0
	used := 0
	for f.call == nil && conn.Open() && used < len(in) {
		if conn.Unsent() > mostUnread {
			f.server.counts.Shed++
			f.finish() // it has what it reads of the answers until then
			break
		}
		m, n, err := f.reader.read(in[used:])
		if err != nil {
			f.refuse(err)
			break
		}
		if n == 0 {
			if f.reader.expects && !f.told100 {
				f.told100 = true
				conn.Send([]byte(continueLine))
			}
			break
		}
		used += n
		f.take(m)
	}
	switch {
	case !conn.Open():
		return len(in)
	case f.call != nil && (f.call.last || len(in)-used > mostAhead):
		// Nobody sends so far ahead in good faith. What is in work is answered,
		// and the connection ends with that.
		f.call.last = true
		used = len(in)
	case f.call == nil && used < len(in):
		f.await()
	}
	f.hold(len(in) - used)
	return used
}

// take has a whole request served.
func (f *frontSocket) take(m Message) {
	s := f.server
	f.release()
	f.reader, f.told100, f.asked = requestReader{}, false, true
	if s.held+len(m.Body) > s.memory {
		s.counts.Shed++
		f.complain(503, noRoom, nil)
		return
	}
	f.call = &Call{Message: m, socket: f, last: m.Close || s.stopping, size: len(m.Body)}
	s.held += f.call.size
	s.serve(f.call)
}

// refuse answers what cannot be read, and ends the connection.
func (f *frontSocket) refuse(why *Fault) {
	f.server.rejected(why.Reason)
	f.complain(why.Status, why.Reason, []byte(why.Reason+"\n"))
}

// complain answers what never becomes a call, and ends the connection.
func (f *frontSocket) complain(status int, text string, plain []byte) {
	extra := ""
	if f.server.Complain != nil {
		extra, plain = f.server.Complain(status, text)
	}
	if status == 503 {
		extra += RetryAfter(time.Second)
	}
	f.reply(status, extra, plain, true)
}

// reply answers on the connection.
func (f *frontSocket) reply(status int, extra string, body []byte, last bool) {
	f.since = f.server.loop.Now()
	if !f.conn.Send(AppendResponse(nil, status, extra, body, last)) {
		f.forget()
		return
	}
	if last {
		f.finish()
	}
}

// finish ends a connection that has had its last answer.
func (f *frontSocket) finish() {
	f.release()
	f.server.sockets.Remove(f.ref)
	f.server.linger(f.conn)
	f.server.check()
}
