package httpserver

import (
	"net"
	"net/http"
	"sync"
	"time"

	"ospreybend/internal/util/http1"
)

const (
	maxCoalescedBody   = 64 << 10 // a body up to this size is copied behind the head, for one write
	initialBufferBytes = 1 << 10
	maxPooledBuffer    = 72 << 10 // a larger buffer is not reused

	minWriteTime = 250 * time.Millisecond // of a write at or after the end of SetWriteTimeout
)

// responseState is the progress of a response.
type responseState uint8

const (
	notStarted    responseState = iota // nothing was written and WriteHeader was not called
	headerPending                      // WriteHeader was called; the head waits for the first chunk
	streaming                          // the head was written, and chunks may follow
	complete                           // the response is complete
	aborted                            // the connection was closed before the response was complete
)

// ResponseWriter writes the one response to a request: with WriteResponse, or as a stream with WriteHeader, WriteChunk and Finish. Its
// methods may be called from several goroutines.
type ResponseWriter struct {
	conn           *conn
	method         string
	mu             sync.Mutex
	state          responseState
	closing        bool // the response is the last on its connection
	bodyless       bool // the response has no body: HEAD, 204, 304
	wroteBytes     bool // a write was started
	closeDelimited bool // the body is not chunked and ends with the connection: HTTP/1.0
	http10         bool // the client speaks HTTP/1.0
	pendingHead    []byte
	writeDeadline  time.Time // the socket's
	finalDeadline  time.Time // of the whole response, by SetWriteTimeout; zero: none
}

var bufferPool = sync.Pool{New: func() any { b := make([]byte, 0, initialBufferBytes); return &b }}

// putBuffer returns a buffer to the pool with the array that it has grown to.
func putBuffer(buffer *[]byte, used []byte) {
	if cap(used) > maxPooledBuffer {
		return
	}
	*buffer = used[:0]
	bufferPool.Put(buffer)
}

// WriteResponse sends a complete response in one write. It returns ErrAlreadyAnswered if bytes of a response were written; a response
// that was started without that is replaced. The server sets Content-Length, Connection, Keep-Alive and Transfer-Encoding itself and
// ignores them in fields.
func (w *ResponseWriter) WriteResponse(status int, header http1.Header, body []byte) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.checkState(notStarted, headerPending); err != nil {
		return err
	}
	w.state, w.pendingHead = complete, nil
	buffer := bufferPool.Get().(*[]byte)
	out := w.appendHead((*buffer)[:0], status, header)
	if mayHaveBody(status) {
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

// checkState returns nil if the response is in one of the allowed states, or the error that a caller of the writer gets. Any call
// after the end of the response counts as a duplicate response.
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

// WriteHeader starts a response as a stream. The head is written together with the first chunk, or by Flush.
func (w *ResponseWriter) WriteHeader(status int, header http1.Header) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.checkState(notStarted, headerPending); err != nil {
		return err
	}
	w.state = headerPending
	w.closeDelimited = w.http10
	w.closing = w.closing || w.closeDelimited
	head := w.appendHead(nil, status, header)
	if !w.closeDelimited && mayHaveBody(status) {
		head = append(head, "Transfer-Encoding: chunked\r\n"...)
	}
	w.pendingHead = append(head, "\r\n"...)
	return nil
}

// Flush writes the head of a started response, if it was not written yet.
func (w *ResponseWriter) Flush() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.checkState(headerPending, streaming); err != nil {
		return err
	}
	return w.writeChunk(nil, false)
}

// WriteChunk sends one chunk, in one write.
func (w *ResponseWriter) WriteChunk(chunk []byte) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.checkState(headerPending, streaming); err != nil {
		return err
	}
	return w.writeChunk(chunk, false)
}

// Finish completes the response with a last chunk, which may be empty, in one write.
func (w *ResponseWriter) Finish(last []byte) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.checkState(headerPending, streaming); err != nil {
		return err
	}
	return w.writeChunk(last, true)
}

// writeChunk writes the head if it is pending, a chunk, and the end if it is the last.
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

// Abort closes the connection so that the client notices that the response is not complete.
func (w *ResponseWriter) Abort() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.state == complete || w.state == aborted {
		return
	}
	w.conn.server.counts.abortedResponses.Add(1)
	w.closeConn()
}

// closeConn closes the connection; by a reset if the end of the connection would make the response look complete.
func (w *ResponseWriter) closeConn() {
	w.state = aborted
	if tcp, ok := w.conn.socket.(*net.TCPConn); ok && w.closeDelimited {
		_ = tcp.SetLinger(0)
	}
	_ = w.conn.socket.Close()
}

// abandon aborts the response as the client has hung up. It returns false if the response is complete.
func (w *ResponseWriter) abandon() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.state == complete {
		return false
	}
	w.state = aborted
	return true
}

// Written reports whether a byte of the response may have been written.
func (w *ResponseWriter) Written() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.wroteBytes
}

// finishHandler ends the response after the handler has returned.
func (w *ResponseWriter) finishHandler() {
	w.mu.Lock()
	state := w.state
	w.mu.Unlock()
	switch state {
	case notStarted:
		w.conn.server.counts.missingResponses.Add(1)
		_ = w.WriteResponse(http.StatusInternalServerError, nil, nil)
	case headerPending, streaming:
		w.Abort()
	}
}

// outcome reports how the response ended: whether the connection was closed, and whether it is to be closed.
func (w *ResponseWriter) outcome() (wasAborted, closing bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.state == aborted, w.closing
}

// mayHaveBody reports whether a final response with the status may have a body (RFC 9110, section 6.4.1).
func mayHaveBody(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}

// appendHead appends the status line and the header, without the blank line.
func (w *ResponseWriter) appendHead(out []byte, status int, header http1.Header) []byte {
	server := w.conn.server
	w.closing = w.closing || server.draining.Load()
	w.bodyless = w.method == http.MethodHead || !mayHaveBody(status)
	out = http1.AppendStatusLine(out, status)
	var hopByHop http1.HopByHop
	for i := range header {
		field := &header[i]
		if hopByHop.Contains(field.Name) || http1.EqualFold(field.Name, "Content-Length") {
			continue
		}
		if http1.IsToken(field.Name) && http1.IsFieldValue(field.Value) {
			out = http1.AppendField(out, field.Name, field.Value)
		}
	}
	if w.closing {
		return append(out, "Connection: close\r\n"...)
	}
	return w.appendKeepAlive(out)
}

// appendKeepAlive appends how long the connection may be idle, in whole seconds.
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

// writeBuffers writes a head and a body without copying the body. An error closes the connection.
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

// SetWriteTimeout limits the time of all writes to a client that does not read, from now on. A write that starts near the end or
// later still has minWriteTime, since a response may be due just then.
func (w *ResponseWriter) SetWriteTimeout(timeout time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.finalDeadline = time.Now().Add(timeout)
	w.writeDeadline = time.Time{}
}

// extendWriteDeadline sets the socket's write deadline if less than half of the write timeout is left, to save system calls.
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
