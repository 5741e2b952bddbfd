package httpserver

import (
	"net"
	"sync"
	"time"

	"ospreybend/internal/util/http1"
)

const (
	maxCoalescedBody   = 64 << 10 // bytes of a body that are copied behind the head
	initialBufferBytes = 1 << 10  // bytes of a new buffer
	maxPooledBuffer    = 72 << 10 // bytes of a buffer that is kept for the next answer

	minWriteTime = 250 * time.Millisecond // of a write at or after the end of the request's time
)

type responseState uint8

const (
	notStarted    responseState = iota // no byte was written and no answer begun
	headerPending                      // the head of an answer in pieces waits for the first piece
	streaming                          // the head of an answer in pieces was written
	complete                           // the answer is complete
	aborted                            // the connection was closed before the answer was complete
)

// ResponseWriter takes the one answer to a request. Its methods may be called from several goroutines.
type ResponseWriter struct {
	conn           *conn
	method         string
	mu             sync.Mutex
	state          responseState
	closing        bool // the answer is the last of its connection
	bodyless       bool // the answer has no body: HEAD, 204, 304
	wroteBytes     bool // a write was begun
	closeDelimited bool // the pieces go without chunks, to the connection's end: HTTP/1.0
	http10         bool // the client speaks HTTP/1.0
	pendingHead    []byte
	writeDeadline  time.Time // deadline of writing that is set
	finalDeadline  time.Time // of all writing; zero: none
}

var bufferPool = sync.Pool{New: func() any { b := make([]byte, 0, initialBufferBytes); return &b }}

func putBuffer(buffer *[]byte, used []byte) {
	if cap(used) > maxPooledBuffer {
		return
	}
	*buffer = used[:0]
	bufferPool.Put(buffer)
}

// WriteResponse sends a whole answer in one write. It is refused with ErrAnswered where a byte of an answer has been written;
// an answer begun of which nothing was written is replaced.
// Content-Length, Connection, Keep-Alive and Transfer-Encoding are set by the server and left out of the fields given.
func (w *ResponseWriter) WriteResponse(status int, fields http1.Header, body []byte) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.checkState(notStarted, headerPending); err != nil {
		return err
	}
	w.state, w.pendingHead = complete, nil
	buffer := bufferPool.Get().(*[]byte)
	out := w.appendHead((*buffer)[:0], status, fields)
	if status != 204 && status != 304 {
		out = http1.AppendIntField(out, "Content-Length", len(body))
	}
	out = append(out, "\r\n"...)
	var err error
	switch {
	case w.bodyless:
		err = w.write(out)
	case len(body) <= maxCoalescedBody:
		out = append(out, body...)
		err = w.write(out)
	default:
		err = w.writeBuffers(out, body)
	}
	putBuffer(buffer, out)
	return err
}

// checkState checks that the answer is in one of the states given. Anything after the answer's end counts as a second answer.
func (w *ResponseWriter) checkState(allowed ...responseState) error {
	for _, state := range allowed {
		if w.state == state {
			return nil
		}
	}
	switch w.state {
	case aborted:
		return ErrClientGone
	case notStarted:
		return ErrNotStarted
	}
	w.conn.server.counts.duplicateResponses.Add(1)
	return ErrAlreadyAnswered
}

// WriteHeader starts an answer that comes in pieces. Its head is written together with the first piece, or by Flush.
func (w *ResponseWriter) WriteHeader(status int, fields http1.Header) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.checkState(notStarted, headerPending); err != nil {
		return err
	}
	w.state = headerPending
	w.closeDelimited = w.http10
	w.closing = w.closing || w.closeDelimited
	head := w.appendHead(nil, status, fields)
	if !w.closeDelimited && status != 204 && status != 304 {
		head = append(head, "Transfer-Encoding: chunked\r\n"...)
	}
	w.pendingHead = append(head, "\r\n"...)
	return nil
}

// Flush writes the head of an answer begun, if it was not written yet.
func (w *ResponseWriter) Flush() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.checkState(headerPending, streaming); err != nil {
		return err
	}
	return w.writeChunk(nil, false)
}

// WriteChunk writes one piece at once, in one write.
func (w *ResponseWriter) WriteChunk(chunk []byte) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.checkState(headerPending, streaming); err != nil {
		return err
	}
	return w.writeChunk(chunk, false)
}

// Finish ends the answer as complete, with a last piece that may be empty, in one write.
func (w *ResponseWriter) Finish(last []byte) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.checkState(headerPending, streaming); err != nil {
		return err
	}
	return w.writeChunk(last, true)
}

// writeChunk writes the head, if it is still to be written, a piece and the end.
func (w *ResponseWriter) writeChunk(chunk []byte, last bool) error {
	buffer := bufferPool.Get().(*[]byte)
	out := append((*buffer)[:0], w.pendingHead...)
	w.pendingHead = nil
	w.state = streaming
	switch {
	case w.bodyless:
	case w.closeDelimited:
		out = append(out, chunk...)
	default:
		out = http1.AppendChunk(out, chunk)
		if last {
			out = append(out, http1.LastChunk...)
		}
	}
	if last {
		w.state = complete
	}
	var err error
	if len(out) > 0 {
		err = w.write(out)
	}
	putBuffer(buffer, out)
	return err
}

// Abort closes the connection so that the client sees that the answer is not complete.
func (w *ResponseWriter) Abort() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.state == complete || w.state == aborted {
		return
	}
	w.conn.server.counts.abortedResponses.Add(1)
	w.closeConn()
}

// closeConn closes the connection. One whose answer would look complete by that is reset.
func (w *ResponseWriter) closeConn() {
	w.state = aborted
	if tcp, ok := w.conn.socket.(*net.TCPConn); ok && w.closeDelimited {
		_ = tcp.SetLinger(0)
	}
	_ = w.conn.socket.Close()
}

// abandon notes that the client has left. It returns false where the answer is complete.
func (w *ResponseWriter) abandon() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.state == complete {
		return false
	}
	w.state = aborted
	return true
}

// Written tells whether a byte of the answer was given to the connection.
func (w *ResponseWriter) Written() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.wroteBytes
}

// finishHandler finishes the request after its handler.
func (w *ResponseWriter) finishHandler() {
	w.mu.Lock()
	state := w.state
	w.mu.Unlock()
	switch state {
	case notStarted:
		w.conn.server.counts.missingResponses.Add(1)
		_ = w.WriteResponse(500, nil, nil)
	case headerPending, streaming:
		w.Abort()
	}
}

// connState tells how the answer ended: whether the connection was closed with it, and whether it is to be.
func (w *ResponseWriter) connState() (wasAborted, closing bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.state == aborted, w.closing
}

// appendHead appends the status line and the fields, without the blank line.
func (w *ResponseWriter) appendHead(out []byte, status int, fields http1.Header) []byte {
	s := w.conn.server
	w.closing = w.closing || s.draining.Load()
	w.bodyless = w.method == "HEAD" || status == 204 || status == 304
	out = http1.AppendStatusLine(out, status)
	var hopByHop http1.HopByHop
	for i := range fields {
		f := &fields[i]
		if hopByHop.Contains(f.Name) || http1.EqualFold(f.Name, "Content-Length") {
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
	if w.http10 {
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
	w.wroteBytes = true
	w.extendWriteDeadline()
	_, err := w.conn.socket.Write(out)
	if err != nil {
		w.closeConn()
	}
	return err
}

func (w *ResponseWriter) writeBuffers(head, body []byte) error {
	w.wroteBytes = true
	w.extendWriteDeadline()
	parts := net.Buffers{head, body}
	_, err := parts.WriteTo(w.conn.socket)
	if err != nil {
		w.closeConn()
	}
	return err
}

// SetWriteTimeout bounds writing to a client that does not read: a write fails that is not done by then. One that begins later has
// leastWriteTime: an answer may be due just then.
func (w *ResponseWriter) SetWriteTimeout(timeout time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.finalDeadline = time.Now().Add(timeout)
	w.writeDeadline = time.Time{}
}

// extendWriteDeadline sets the deadline of writing, where less than half of its time is left.
func (w *ResponseWriter) extendWriteDeadline() {
	limit := w.conn.server.writeTimeout
	now := time.Now()
	if w.writeDeadline.Sub(now) > limit/2 {
		return
	}
	w.writeDeadline = now.Add(limit)
	if !w.finalDeadline.IsZero() && w.writeDeadline.After(w.finalDeadline) {
		w.writeDeadline = w.finalDeadline
		if earliest := now.Add(min(minWriteTime, limit)); w.writeDeadline.Before(earliest) {
			w.writeDeadline = earliest
		}
	}
	_ = w.conn.socket.SetWriteDeadline(w.writeDeadline)
}
