package httpserver

import (
	"net"
	"sync"
	"time"

	"ospreybend/internal/util/http1"
)

const (
	wholeWrite = 64 << 10 // bytes of a body that are copied behind the head
	firstWrite = 1 << 10  // bytes of a new buffer
	keepPooled = 72 << 10 // bytes of a buffer that is kept for the next answer

	leastWriteTime = 250 * time.Millisecond // of a write at or after the end of the request's time
)

type writeState uint8

const (
	nothing  writeState = iota // no byte was written and no answer begun
	begun                      // the head of an answer in pieces waits for the first piece
	streamed                   // the head of an answer in pieces was written
	whole                      // the answer is complete
	cut                        // the connection was closed before the answer was complete
)

// ResponseWriter takes the one answer to a request. Its methods may be called from several goroutines.
type ResponseWriter struct {
	conn    *conn
	method  string
	mu      sync.Mutex
	state   writeState
	closing bool // the answer is the last of its connection
	bare    bool // the answer has no body: HEAD, 204, 304
	wrote   bool // a write was begun
	plain   bool // the pieces go without chunks, to the connection's end: HTTP/1.0
	old     bool // the client speaks HTTP/1.0
	head    []byte
	until   time.Time // deadline of writing that is set
	endBy   time.Time // of all writing; zero: none
}

var buffers = sync.Pool{New: func() any { b := make([]byte, 0, firstWrite); return &b }}

func keepBuffer(b *[]byte, used []byte) {
	if cap(used) > keepPooled {
		return
	}
	*b = used[:0]
	buffers.Put(b)
}

// Answer sends a whole answer in one write. It is refused with ErrAnswered where a byte of an answer has been written;
// an answer begun of which nothing was written is replaced.
// Content-Length, Connection, Keep-Alive and Transfer-Encoding are set by the server and left out of the fields given.
func (w *ResponseWriter) Answer(status int, fields http1.Header, body []byte) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.open(nothing, begun); err != nil {
		return err
	}
	w.state, w.head = whole, nil
	buffer := buffers.Get().(*[]byte)
	out := w.appendHead((*buffer)[:0], status, fields)
	if status != 204 && status != 304 {
		out = http1.AppendIntField(out, "Content-Length", len(body))
	}
	out = append(out, "\r\n"...)
	var err error
	switch {
	case w.bare:
		err = w.write(out)
	case len(body) <= wholeWrite:
		out = append(out, body...)
		err = w.write(out)
	default:
		err = w.writeBoth(out, body)
	}
	keepBuffer(buffer, out)
	return err
}

// open checks that the answer is in one of the states given. Anything after the answer's end counts as a second answer.
func (w *ResponseWriter) open(states ...writeState) error {
	for _, state := range states {
		if w.state == state {
			return nil
		}
	}
	switch w.state {
	case cut:
		return ErrGone
	case nothing:
		return ErrNotBegun
	}
	w.conn.server.counts.second.Add(1)
	return ErrAnswered
}

// Begin starts an answer that comes in pieces. Its head is written together with the first piece, or by Flush.
func (w *ResponseWriter) Begin(status int, fields http1.Header) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.open(nothing, begun); err != nil {
		return err
	}
	w.state = begun
	w.plain = w.old
	w.closing = w.closing || w.plain
	head := w.appendHead(nil, status, fields)
	if !w.plain && status != 204 && status != 304 {
		head = append(head, "Transfer-Encoding: chunked\r\n"...)
	}
	w.head = append(head, "\r\n"...)
	return nil
}

// Flush writes the head of an answer begun, if it was not written yet.
func (w *ResponseWriter) Flush() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.open(begun, streamed); err != nil {
		return err
	}
	return w.writePiece(nil, false)
}

// Event writes one piece at once, in one write.
func (w *ResponseWriter) Event(piece []byte) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.open(begun, streamed); err != nil {
		return err
	}
	return w.writePiece(piece, false)
}

// Finish ends the answer as complete, with a last piece that may be empty, in one write.
func (w *ResponseWriter) Finish(last []byte) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.open(begun, streamed); err != nil {
		return err
	}
	return w.writePiece(last, true)
}

// writePiece writes the head, if it is still to be written, a piece and the end.
func (w *ResponseWriter) writePiece(piece []byte, last bool) error {
	buffer := buffers.Get().(*[]byte)
	out := append((*buffer)[:0], w.head...)
	w.head = nil
	w.state = streamed
	switch {
	case w.bare:
	case w.plain:
		out = append(out, piece...)
	default:
		out = http1.AppendChunk(out, piece)
		if last {
			out = append(out, http1.LastChunk...)
		}
	}
	if last {
		w.state = whole
	}
	var err error
	if len(out) > 0 {
		err = w.write(out)
	}
	keepBuffer(buffer, out)
	return err
}

// Break closes the connection so that the client sees that the answer is not complete.
func (w *ResponseWriter) Break() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.state == whole || w.state == cut {
		return
	}
	w.conn.server.counts.broken.Add(1)
	w.cut()
}

// cut closes the connection. One whose answer would look complete by that is reset.
func (w *ResponseWriter) cut() {
	w.state = cut
	if tcp, ok := w.conn.socket.(*net.TCPConn); ok && w.plain {
		_ = tcp.SetLinger(0)
	}
	_ = w.conn.socket.Close()
}

// abandon notes that the client has left. It returns false where the answer is complete.
func (w *ResponseWriter) abandon() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.state == whole {
		return false
	}
	w.state = cut
	return true
}

// Written tells whether a byte of the answer was given to the connection.
func (w *ResponseWriter) Written() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.wrote
}

// end finishes the request after its handler.
func (w *ResponseWriter) end() {
	w.mu.Lock()
	state := w.state
	w.mu.Unlock()
	switch state {
	case nothing:
		w.conn.server.counts.unanswered.Add(1)
		_ = w.Answer(500, nil, nil)
	case begun, streamed:
		w.Break()
	}
}

// ending tells how the answer ended: whether the connection was closed with it, and whether it is to be.
func (w *ResponseWriter) ending() (broken, closing bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.state == cut, w.closing
}

// appendHead appends the status line and the fields, without the blank line.
func (w *ResponseWriter) appendHead(out []byte, status int, fields http1.Header) []byte {
	s := w.conn.server
	w.closing = w.closing || s.draining.Load()
	w.bare = w.method == "HEAD" || status == 204 || status == 304
	out = http1.AppendStatusLine(out, status)
	var hops http1.HopByHop
	for i := range fields {
		f := &fields[i]
		if hops.Contains(f.Name) || http1.EqualFold(f.Name, "Content-Length") {
			continue
		}
		if http1.IsToken(f.Name) && http1.IsFieldValue(f.Value) {
			out = http1.AppendField(out, f.Name, f.Value)
		}
	}
	if w.closing {
		return append(out, "Connection: close\r\n"...)
	}
	return w.appendKeepAlive(out)
}

// appendKeepAlive tells for how long the connection may rest, in whole seconds.
func (w *ResponseWriter) appendKeepAlive(out []byte) []byte {
	if w.old {
		out = append(out, "Connection: keep-alive\r\n"...)
	}
	seconds := int(w.conn.server.limits().IdleTimeout / time.Second)
	if seconds < 1 {
		return out
	}
	out = append(out, "Keep-Alive: timeout="...)
	out = appendInt(out, seconds)
	return append(out, "\r\n"...)
}

// write writes once. An error closes the connection.
func (w *ResponseWriter) write(out []byte) error {
	w.wrote = true
	w.bound()
	_, err := w.conn.socket.Write(out)
	if err != nil {
		w.cut()
	}
	return err
}

func (w *ResponseWriter) writeBoth(head, body []byte) error {
	w.wrote = true
	w.bound()
	parts := net.Buffers{head, body}
	_, err := parts.WriteTo(w.conn.socket)
	if err != nil {
		w.cut()
	}
	return err
}

// EndBy bounds writing to a client that does not read: a write fails that is not done by then. One that begins later has
// leastWriteTime: an answer may be due just then.
func (w *ResponseWriter) EndBy(after time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endBy = time.Now().Add(after)
	w.until = time.Time{}
}

// bound sets the deadline of writing, where less than half of its time is left.
func (w *ResponseWriter) bound() {
	limit := w.conn.server.writeTime
	now := time.Now()
	if w.until.Sub(now) > limit/2 {
		return
	}
	w.until = now.Add(limit)
	if !w.endBy.IsZero() && w.until.After(w.endBy) {
		w.until = w.endBy
		if least := now.Add(min(leastWriteTime, limit)); w.until.Before(least) {
			w.until = least
		}
	}
	_ = w.conn.socket.SetWriteDeadline(w.until)
}
